package ratelease_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

func TestParseLimit(t *testing.T) {
	tests := []struct {
		values []string
		limit  ratelease.Limit
		ok     bool
	}{
		{nil, 0, false},
		{[]string{"1.9"}, 1.9, true},
		{[]string{" 2 "}, 2, true},
		{[]string{"0"}, 0, true},
		{[]string{"0.0"}, 0, true},
		{[]string{".5"}, 0.5, true},
		{[]string{""}, 0, false},
		{[]string{"."}, 0, false},
		{[]string{"1.2.3"}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"+1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"1e3"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"3/s"}, 0, false},
		{[]string{"3, 2"}, 0, false},
		{[]string{strings.Repeat("9", 400)}, ratelease.Limit(math.Inf(1)), true},
		{[]string{"3", "2"}, 2, true},
		{[]string{"none", "4"}, 4, true},
	}
	for _, test := range tests {
		is := is.New(t)
		limit, ok := ratelease.ParseLimit(test.values)
		is.Equal(ok, test.ok)
		if ok {
			is.Equal(limit, test.limit)
		}
	}
}
