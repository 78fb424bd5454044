package path

import (
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Summary puts the figures of several runs together.
type Summary struct {
	names  []string
	values map[string][]float64
}

// Add takes the figures of a run.
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
		fmt.Fprintf(w, "| %s | %s | %s | %s | %d |\n", name, short(values[n/2]), short(values[0]), short(values[n-1]), n)
	}
}

// short writes three digits or all of the whole part.
func short(v float64) string {
	if v >= 100 || v <= -100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
