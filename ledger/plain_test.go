package ledger

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anyBill returns a generator of bills with arbitrary values in all fields.
func anyBill() *rapid.Generator[Bill] {
	text, count := rapid.String(), rapid.IntMin(0)
	step := rapid.Custom(func(t *rapid.T) Step {
		return Step{Model: text.Draw(t, "model"), Version: text.Draw(t, "version"), Upstream: text.Draw(t, "upstream"),
			PromptTokens: count.Draw(t, "prompt"), CompletionTokens: count.Draw(t, "completion"), CostMicro: rapid.Int64().Draw(t, "cost")}
	})
	return rapid.Custom(func(t *rapid.T) Bill {
		s := step.Draw(t, "own")
		b := Bill{ID: rapid.StringN(1, -1, -1).Draw(t, "id"), Account: text.Draw(t, "account"), RequestID: text.Draw(t, "request"),
			Model: s.Model, Version: s.Version, Service: text.Draw(t, "service"), Upstream: s.Upstream, Class: text.Draw(t, "class"),
			Epoch: rapid.Uint64().Draw(t, "epoch"), Code: count.Draw(t, "code"), RunState: text.Draw(t, "state"), Attempts: count.Draw(t, "attempts"),
			PromptTokens: s.PromptTokens, CompletionTokens: s.CompletionTokens, CostMicro: s.CostMicro,
			At: time.Unix(0, rapid.Int64Range(0, math.MaxInt64).Draw(t, "at")).UTC()}
		if rapid.Bool().Draw(t, "same id") && b.RequestID != "" {
			b.ID = b.RequestID
		}
		b.Steps = rapid.SliceOfN(step, 0, 3).Draw(t, "steps")
		if rapid.Bool().Draw(t, "own step") {
			b.Steps = []Step{s}
		}
		b, err := normalize(b)
		if err != nil {
			t.Fatal(err)
		}
		return b
	})
}

func TestBillsSurviveEitherEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bills := rapid.SliceOfN(anyBill(), 1, 2*maxUncompressedBills).Draw(t, "bills")
		data, err := EncodeBills(bills)
		if err != nil {
			t.Fatal(err)
		}
		if plain := data[0] == uncompressedVersion; plain != (len(bills) <= maxUncompressedBills) {
			t.Fatalf("%d bills have version %d", len(bills), data[0])
		}
		got, err := DecodeBills(data)
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(got, bills)
	})
}

func TestCorruptPlainBills(t *testing.T) {
	good, err := EncodeBills([]Bill{testBill("1")})
	is.New(t).NoErr(err)
	tests := []struct{ desc, text string }{
		{"truncated data", string(good[1 : len(good)-4])},
		{"no array", `{}`},
		{"too few values", `[["a","b"]]`},
		{"too many values", string(good[1:len(good)-2]) + `,1]]`},
		{"a value of another type", `[[` + `1` + string(good[4:])},
		{"trailing data", string(good[1:]) + `x`},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := DecodeBills(append([]byte{uncompressedVersion}, tt.text...))
			is.New(t).True(errors.Is(err, ErrCorrupt))
		})
	}
}
