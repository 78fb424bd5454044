package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// ErrSlopes means that the file of slopes can't be used.
var ErrSlopes = errors.New("capacity: slopes")

// Point is one measurement: X of what was varied gave Y.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line through measurements of the code.
type Slope struct {
	ID ID `json:"id"`
	// Unit is that of Base and of Rise times what was varied.
	Unit string `json:"unit"`
	// Varied is what was varied; empty for a constant.
	Varied string `json:"varied,omitempty"`
	// Base is the value at zero, Rise what one more of Varied adds.
	Base float64 `json:"base"`
	Rise float64 `json:"rise,omitempty"`
	// Points are the measurements that the line was fitted to.
	Points []Point `json:"points"`
	// Deviation is the largest distance of a point from the line, as a part of
	// the point's value.
	Deviation float64 `json:"deviation"`
	// Command measured it.
	Command string `json:"command"`
	// Note says what is in the figure and what isn't.
	Note string `json:"note"`
}

// At returns the line's value.
func (s Slope) At(x float64) float64 { return s.Base + s.Rise*x }

// Range returns the least and greatest X that was measured.
func (s Slope) Range() (low, high float64) {
	for i, p := range s.Points {
		if i == 0 {
			low, high = p.X, p.X
		}
		low, high = min(low, p.X), max(high, p.X)
	}
	return low, high
}

// Slopes are the measurements of one run.
type Slopes struct {
	// Date is in RFC 3339.
	Date    string `json:"date"`
	Machine string `json:"machine"`
	Go      string `json:"go"`
	// Revision is the last commit of the tree that was measured; the tree may
	// have held changes beyond it.
	Revision string `json:"revision"`
	// LoadBefore and LoadAfter are the system's mean number of runnable
	// processes over a minute.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
	List       []Slope `json:"slopes"`
}

// Parse reads slopes and checks that each that the arithmetic needs is there.
func Parse(data []byte) (*Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSlopes, err)
	}
	var missing []string
	for _, id := range allIDs {
		if _, ok := s.find(id); !ok {
			missing = append(missing, string(id))
		}
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("%w: missing %s", ErrSlopes, strings.Join(missing, ", "))
	}
	return &s, nil
}

// Load reads slopes from a file.
func Load(name string) (*Slopes, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSlopes, err)
	}
	return Parse(data)
}

// Encode returns the form that Parse reads.
func (s *Slopes) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSlopes, err)
	}
	return append(data, '\n'), nil
}

func (s *Slopes) find(id ID) (Slope, bool) {
	i := slices.IndexFunc(s.List, func(slope Slope) bool { return slope.ID == id })
	if i < 0 {
		return Slope{}, false
	}
	return s.List[i], true
}

// Fit returns the line through the points that has the least sum of squared
// distances, each as a part of the point's value, so that small points count
// as much as large ones. Where only one X was measured it is flat. What is
// measured is never below zero, so a line that is so at zero goes through the
// origin instead; and no cost falls for good as the size grows, so a line that
// falls is taken as flat.
func Fit(points []Point) (base, rise, deviation float64) {
	var sum, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		w := weight(p)
		sum += w
		sumX += w * p.X
		sumY += w * p.Y
		sumXX += w * p.X * p.X
		sumXY += w * p.X * p.Y
	}
	if spread := sum*sumXX - sumX*sumX; spread > 1e-9*sum*sumXX {
		rise = (sum*sumXY - sumX*sumY) / spread
	}
	rise = max(0, rise)
	base = (sumY - rise*sumX) / sum
	if base < 0 && sumXX > 0 {
		base, rise = 0, sumXY/sumXX
	}
	for _, p := range points {
		if p.Y != 0 {
			deviation = max(deviation, abs(base+rise*p.X-p.Y)/abs(p.Y))
		}
	}
	return base, rise, deviation
}

// weight makes distances relative; a point without a positive value counts as
// one of 1.
func weight(p Point) float64 {
	if p.Y <= 0 {
		return 1
	}
	return 1 / (p.Y * p.Y)
}

func abs(x float64) float64 { return max(x, -x) }
