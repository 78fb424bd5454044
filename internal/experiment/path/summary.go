package path

import (
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Summary collects the figures of several runs.
type Summary struct {
	names  []string
	values map[string][]float64
}

// Add adds the figures of a run.
func (s *Summary) Add(figures []Figure) {
	if s.values == nil {
		s.values = make(map[string][]float64)
	}
	for _, f := range figures {
		if _, ok := s.values[f.Name]; !ok {
			s.names = append(s.names, f.Name)
		}
		s.values[f.Name] = append(s.values[f.Name], f.Value)
	}
}

// Print writes a Markdown table with the median and the range of each figure.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintln(w, "| figure | median | least | greatest | runs |\n|---|---|---|---|---|")
	for _, name := range s.names {
		values := slices.Sorted(slices.Values(s.values[name]))
		n := len(values)
		fmt.Fprintf(w, "| %s | %s | %s | %s | %d |\n", name, formatValue(values[n/2]), formatValue(values[0]), formatValue(values[n-1]), n)
	}
}

// formatValue formats v with three significant digits, or rounded to an integer
// if it has three or more digits before the point.
func formatValue(v float64) string {
	if v >= 100 || v <= -100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
