package simulate

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Tables writes tables in Markdown and keeps the first error.
type Tables struct {
	w   io.Writer
	err error
}

// NewTables returns Tables that write to w.
func NewTables(w io.Writer) *Tables { return &Tables{w: w} }

// Err returns the first error of a write.
func (t *Tables) Err() error { return t.err }

// Title starts a section with notes, each a paragraph.
func (t *Tables) Title(title string, notes ...string) {
	t.printf("\n### %s\n", title)
	for _, note := range notes {
		t.printf("\n%s\n", note)
	}
}

// Head starts a table. The first columns, texts in number, are aligned to the
// left, the others to the right.
func (t *Tables) Head(texts int, columns ...string) {
	t.printf("\n")
	t.Row(columns...)
	t.printf("|%s%s\n", strings.Repeat("---|", texts), strings.Repeat("---:|", len(columns)-texts))
}

// Row writes one row.
func (t *Tables) Row(cells ...string) {
	t.printf("| %s |\n", strings.Join(cells, " | "))
}

func (t *Tables) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format, args...)
	}
}

// Spread writes a value of each run as its mean, least and greatest.
func Spread(values []float64) string {
	s := Summarize(values)
	return fmt.Sprintf("%.0f (%.0f to %.0f)", s.Mean, s.Least, s.Worst)
}

// Deviation writes a value of each run as its mean and standard deviation.
func Deviation(values []float64) string {
	mean := Summarize(values).Mean
	squares := 0.0
	for _, x := range values {
		squares += (x - mean) * (x - mean)
	}
	return fmt.Sprintf("%.1f ± %.1f", mean, math.Sqrt(squares/float64(len(values))))
}

// Values takes one value of each run.
func Values[T any](runs []T, value func(T) float64) []float64 {
	var values []float64
	for _, run := range runs {
		values = append(values, value(run))
	}
	return values
}
