package ledger

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestSplitJoined(t *testing.T) {
	is := is.New(t)
	joined := joinBatches([][]byte{{1, 2}, {}, {3}})
	var got [][]byte
	for part, err := range splitBatches(joined) {
		is.NoErr(err)
		got = append(got, part)
	}
	is.Equal(got, [][]byte{{1, 2}, {}, {3}})
	for _, err := range splitBatches(joined[:len(joined)-1]) {
		if err != nil {
			is.True(errors.Is(err, ErrCorrupt))
			return
		}
	}
	t.Error("split returned no error for a truncated object")
}

func TestCorruptSegments(t *testing.T) {
	good, err := EncodeBills([]Bill{testBill("1")})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		desc string
		data []byte
	}{
		{"empty", nil},
		{"other version", append([]byte{9}, good[1:]...)},
		{"truncated data", good[:len(good)-4]},
		{"not compressed", []byte{compressedVersion, 0xff, 0xff, 0xff}},
		{"joined", joinBatches([][]byte{good})},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := DecodeBills(tc.data)
			is.New(t).True(errors.Is(err, ErrCorrupt))
		})
	}
}
