package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A version that shows nothing bad is within the permitted exposure all the same.
func TestExposureOfAVersionThatShowsNothing(t *testing.T) {
	for _, permitted := range []float64{0.01, 0.05, 0.0975, 0.15, 0.3, 0.5} {
		t.Run(fmt.Sprint(permitted), func(t *testing.T) {
			is := is.New(t)
			const steps = 10000
			r := newRamp(permitted)
			exposure := 0.0
			for i := range steps {
				exposure += r.all(float64(i)/steps) / steps
			}
			is.True(exposure <= permitted)
			is.True(r.all(0) > 0)
			is.True(r.all(0) <= permitted/2)
		})
	}
}

func TestShareOnlyRises(t *testing.T) {
	is := is.New(t)
	r := newRamp(0.15)
	last, lastSessions := 0.0, 0.0
	for i := range 1001 {
		at := float64(i) / 1000
		is.True(r.all(at) >= last)
		is.True(r.sessions(at) >= lastSessions)
		last, lastSessions = r.all(at), r.sessions(at)
		if at <= 0.5 {
			is.Equal(lastSessions, 0.0) // sessions keep their version in the first half
		}
		if r.done(at) {
			is.Equal(last, 1.0) // nothing is on the old version when it is given up
			is.Equal(lastSessions, 1.0)
		}
	}
}
