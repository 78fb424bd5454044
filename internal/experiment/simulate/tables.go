package simulate

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Tables writes Markdown tables. After a failed write it writes nothing more.
type Tables struct {
	w   io.Writer
	err error
}

// NewTables returns Tables that write to w.
func NewTables(w io.Writer) *Tables { return &Tables{w: w} }

// Err returns the first error of a write.
func (t *Tables) Err() error { return t.err }

// Section writes a heading and the paragraphs below it.
func (t *Tables) Section(heading string, paragraphs ...string) {
	t.printf("\n### %s\n", heading)
	for _, paragraph := range paragraphs {
		t.printf("\n%s\n", paragraph)
	}
}

// Header starts a table with its header row. The first textColumns columns are
// aligned to the left, the others to the right.
func (t *Tables) Header(textColumns int, columns ...string) {
	t.printf("\n")
	t.Row(columns...)
	t.printf("|%s%s\n", strings.Repeat("---|", textColumns), strings.Repeat("---:|", len(columns)-textColumns))
}

// Row writes one row of a table.
func (t *Tables) Row(cells ...string) {
	t.printf("| %s |\n", strings.Join(cells, " | "))
}

func (t *Tables) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format, args...)
	}
}

// FormatRange formats the mean, the least and the greatest of values.
func FormatRange(values []float64) string {
	s := Summarize(values)
	return fmt.Sprintf("%.0f (%.0f to %.0f)", s.Mean, s.Min, s.Max)
}

// FormatDeviation formats the mean and the standard deviation of values.
func FormatDeviation(values []float64) string {
	mean := Summarize(values).Mean
	squares := 0.0
	for _, x := range values {
		squares += (x - mean) * (x - mean)
	}
	return fmt.Sprintf("%.1f ± %.1f", mean, math.Sqrt(squares/float64(len(values))))
}

// Values applies value to each run and returns the results in order.
func Values[T any](runs []T, value func(T) float64) []float64 {
	var values []float64
	for _, run := range runs {
		values = append(values, value(run))
	}
	return values
}
