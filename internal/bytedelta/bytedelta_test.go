package bytedelta

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const maxTestBytes = 16 << 20

// document returns a document of the given routes.
func document(routes ...int) []byte {
	var doc bytes.Buffer
	doc.WriteString(`{"routes":[`)
	for _, r := range routes {
		fmt.Fprintf(&doc, `{"route_id":"r-%06x","prefix":"/p%06x/","service":"service-%d","route_type":"idempotent","timeout_ms":5000,"max_attempts":2},`, r*7919, r*104729, r%3)
	}
	doc.WriteString(`]}`)
	return doc.Bytes()
}

func numbers(from, to int) (list []int) {
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}

func TestDeltaOfADocumentIsSmall(t *testing.T) {
	base := document(numbers(0, 4000)...)
	tests := []struct {
		desc     string
		target   []byte
		maxBytes int
	}{
		{"the same", base, 40},
		{"one value", bytes.Replace(base, []byte(`"timeout_ms":5000`), []byte(`"timeout_ms":90`), 1), 100},
		{"a value of every route", bytes.ReplaceAll(base, []byte(`"timeout_ms":5000`), []byte(`"timeout_ms":5001`)), 9 * 4000},
		{"a route added in the middle", document(append(append(numbers(0, 2000), 9000), numbers(2000, 4000)...)...), 200},
		{"routes removed at the start", document(numbers(500, 4000)...), 100},
		{"routes added at the end", document(numbers(0, 4010)...), 1500},
		{"two halves exchanged", document(append(numbers(2000, 4000), numbers(0, 2000)...)...), 500},
		{"nothing left", nil, 40},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			delta := Encode(base, test.target)
			got, err := Apply(base, delta, maxTestBytes)
			is.NoErr(err)
			is.True(bytes.Equal(got, test.target))
			if len(delta) > test.maxBytes {
				t.Errorf("the delta of %d bytes has %d bytes, %d are permitted", len(test.target), len(delta), test.maxBytes)
			}
		})
	}
}

func TestDeltaOfAnyVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alphabet := rapid.SampledFrom([]byte("ab\x00"))
		parts := rapid.SliceOfN(rapid.SliceOfN(alphabet, 0, 100), 1, 6).Draw(t, "parts")
		pick := func(label string) []byte {
			var b []byte
			for _, i := range rapid.SliceOf(rapid.IntRange(0, len(parts)-1)).Draw(t, label) {
				b = append(b, parts[i]...)
			}
			return b
		}
		base, target := pick("base"), pick("target")
		got, err := Apply(base, Encode(base, target), maxTestBytes)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("%q, %v in place of %q", got, err, target)
		}
	})
}

func TestDeltaIsAppliedToItsBaseOnly(t *testing.T) {
	is := is.New(t)
	base, target := document(1, 2, 3), document(1, 2, 4)
	delta := Encode(base, target)
	_, err := Apply(document(1, 2, 5), delta, maxTestBytes)
	is.True(errors.Is(err, ErrOtherBase))
	_, err = Apply(base, delta, len(target)-1)
	is.True(errors.Is(err, ErrCorrupt))
}

func TestDamagedDeltaIsRejected(t *testing.T) {
	base, target := document(1, 2, 3), document(1, 2, 4)
	delta := Encode(base, target)
	for i := range delta {
		damaged := bytes.Clone(delta)
		damaged[i] ^= 0x55
		if got, err := Apply(base, damaged, maxTestBytes); err == nil && !bytes.Equal(got, target) {
			t.Errorf("byte %d of the delta changed: %q", i, got)
		}
		if got, err := Apply(base, delta[:i], maxTestBytes); err == nil && !bytes.Equal(got, target) {
			t.Errorf("%d bytes of the delta: %q", i, got)
		}
	}
}

func FuzzApply(f *testing.F) {
	base := document(1, 2, 3)
	f.Add(Encode(base, document(1, 2, 4)))
	f.Fuzz(func(t *testing.T, delta []byte) {
		_, _ = Apply(base, delta, 1<<16) // must neither fail otherwise than by an error nor allocate more
	})
}

func BenchmarkEncode(b *testing.B) {
	base, target := document(numbers(0, 4250)...), document(append(numbers(0, 2000), numbers(2001, 4251)...)...)
	b.SetBytes(int64(len(target)))
	for b.Loop() {
		Encode(base, target)
	}
}

func BenchmarkApply(b *testing.B) {
	base, target := document(numbers(0, 4250)...), document(append(numbers(0, 2000), numbers(2001, 4251)...)...)
	delta := Encode(base, target)
	b.SetBytes(int64(len(target)))
	for b.Loop() {
		if _, err := Apply(base, delta, maxTestBytes); err != nil {
			b.Fatal(err)
		}
	}
}
