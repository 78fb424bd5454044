package path

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSummaryPrintsMedianAndRange(t *testing.T) {
	is := is.New(t)
	var s Summary
	for _, v := range []float64{3, 1234.6, 0.12345} {
		s.Add([]Figure{{Name: "a", Value: v}, {Name: "b", Value: -v}})
	}
	var out strings.Builder
	s.Print(&out)
	_, rows, _ := strings.Cut(out.String(), "---|\n")
	is.Equal(rows, "| a | 3 | 0.123 | 1235 | 3 |\n| b | -3 | -1235 | -0.123 | 3 |\n")
}
