package manifest_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/manifest"
)

func TestDeltaReproducesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", "a\n", "b\n", "c,\n", "\n", "d"}))
		join := func(list []string) (text []byte) {
			for _, s := range list {
				text = append(text, s...)
			}
			return text
		}
		base, target := join(lines.Draw(t, "base")), join(lines.Draw(t, "target"))
		got, err := manifest.ApplyDelta(base, manifest.Delta(base, target))
		is.NoErr(err)
		is.Equal(string(got), string(target))
	})
}

func TestApplyDeltaRejectsInvalidDelta(t *testing.T) {
	for _, tc := range []struct{ desc, delta string }{
		{"no JSON", `{`},
		{"line below zero", `{"steps":[{"from":-1,"to":1}]}`},
		{"line above the last", `{"steps":[{"from":0,"to":9}]}`},
		{"end before start", `{"steps":[{"from":1,"to":0}]}`},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := manifest.ApplyDelta([]byte("a\nb\n"), []byte(tc.delta))
			is.New(t).True(errors.Is(err, manifest.ErrInvalidDelta))
		})
	}
}

// BenchmarkDelta measures the delta of a change to one of 1,000 accounts.
func BenchmarkDelta(b *testing.B) {
	doc := sizedDocument(1000, 16, 4)
	base := manifest.Encode(doc)
	doc.Parent = manifest.DigestCanonical(base)
	doc.Accounts[500].Weight = 2
	target := manifest.Encode(doc)
	var delta []byte
	for b.Loop() {
		delta = manifest.Delta(base, target)
		if _, err := manifest.ApplyDelta(base, delta); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(delta)), "delta-B")
	b.ReportMetric(float64(len(target)), "text-B")
}
