package notice

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

var testNames = Headers{Leaving: "T-Leaving", RetryAfter: "T-Retry-After"}

func TestLeavingValues(t *testing.T) {
	tests := []struct {
		desc       string
		values     []string
		leaving    bool
		unreadable int
	}{
		{"missing", nil, false, 0},
		{"empty", []string{""}, false, 0},
		{"set", []string{"1"}, true, 0},
		{"with spaces", []string{" 1 "}, true, 0},
		{"zero", []string{"0"}, false, 0},
		{"a fraction", []string{"0.5"}, false, 1},
		{"negative", []string{"-1"}, false, 1},
		{"huge", []string{"99999999999999999999999999"}, false, 1},
		{"a date", []string{"Sun, 06 Nov 1994 08:49:37 GMT"}, false, 1},
		{"twice", []string{"1", "1"}, true, 0},
		{"contradicting", []string{"0", "1"}, true, 0},
		{"garbage twice", []string{"\x00\xff", "yes"}, false, 1},
		{"garbage beside a value", []string{"yes", "1"}, true, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			got := Read(http.StatusOK, http.Header{"T-Leaving": test.values}, testNames)
			is.Equal(got.Leaving, test.leaving)
			is.Equal(len(got.Unreadable), test.unreadable)
			is.Equal(got.IsZero(), !test.leaving && test.unreadable == 0)
		})
	}
}
