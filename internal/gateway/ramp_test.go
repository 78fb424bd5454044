package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The exposure of a version without bad answers must stay within the permitted one. Requests with
// and without a session keep the bound separately, so that it holds for any mixture of them.
func TestExposureOfAVersionWithoutBadResults(t *testing.T) {
	for _, permitted := range []float64{0.01, 0.05, 0.0975, 0.15, 0.3, 0.5} {
		for _, from := range []float64{0, sessionsFrom} {
			t.Run(fmt.Sprint(permitted, from), func(t *testing.T) {
				is := is.New(t)
				const steps = 10000
				r := newRamp(permitted, from)
				exposure := 0.0
				for i := range steps {
					exposure += r.share(float64(i)/steps) / steps
				}
				is.True(exposure <= permitted)
				is.True(r.share(from) > 0)
				is.True(r.share(from) <= 1.5*permitted)
			})
		}
	}
}

// The exposure that is used to reach the full load earlier must stay within the permitted number of requests
// beyond the share, at any rate of requests.
func TestExposureWithHeadroom(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 8, 30, 200, 5000} {
		for _, from := range []float64{0, sessionsFrom} {
			t.Run(fmt.Sprint(perSecond, from), func(t *testing.T) {
				is := is.New(t)
				const steps, permitted, headroom, duration = 10000, 0.15, 30, 16 * time.Second
				r := newRamp(permitted, from).withHeadroom(headroom, perSecond, duration)
				exposure := 0.0
				for i := range steps {
					exposure += r.share(float64(i)/steps) / steps
				}
				requests := perSecond * duration.Seconds()
				is.True(exposure*requests <= permitted*requests+headroom)
				is.Equal(newRamp(permitted, from).withHeadroom(0, perSecond, duration), newRamp(permitted, from))
			})
		}
	}
}

func TestShareOnlyRises(t *testing.T) {
	for _, from := range []float64{0, sessionsFrom} {
		t.Run(fmt.Sprint(from), func(t *testing.T) {
			is := is.New(t)
			r := newRamp(0.15, from)
			last := 0.0
			for i := range 1001 {
				at := float64(i) / 1000
				is.True(r.share(at) >= last)
				last = r.share(at)
				if at <= 0.5 && from > 0 {
					is.Equal(last, 0.0) // sessions keep their version in the first half
				}
				if r.mayComplete(at) {
					is.Equal(last, 1.0) // no request runs on the old version any more
				}
			}
		})
	}
}

// The rest of a roll-out would be planned with other numbers than the share gives.
func TestUsedIsTheIntegralOfTheShare(t *testing.T) {
	is := is.New(t)
	for _, r := range []ramp{newRamp(0.15, 0), newRamp(0.15, sessionsFrom), newRamp(0.5, 0), newRamp(0.15, 0).withHeadroom(30, 5, 16*time.Second)} {
		const steps = 100000
		sum := 0.0
		for i := range steps {
			is.True(math.Abs(r.used(float64(i)/steps)-sum) < 1e-4)
			sum += r.share((float64(i)+0.5)/steps) / steps
		}
	}
}

// If the traffic rises, the full load begins once the requests that are left suffice for the rest of the duration.
func TestFullLoadBeginsWhenItIsPermittedToTheEnd(t *testing.T) {
	is := is.New(t)
	r := newRamp(0.15, 0)
	is.Equal(r.shareWithin(0.92, 0.1, 0, false), 1.0)
	is.Equal(r.shareWithin(0.92, 0.07, 0, false), r.initialShare)
	is.Equal(r.shareWithin(0.95, 0.06, 0.02, false), r.initialShare) // the reserve isn't permitted
	is.Equal(r.shareWithin(0.95, 0.08, 0.02, false), 1.0)
	is.Equal(r.shareWithin(0.95, 0.04, 0, true), r.initialShare)
	is.Equal(r.shareWithin(0.97, 0.06, 0.02, false), 1.0)
	is.Equal(r.shareWithin(0.5, -0.1, 0, false), 0.0)
	is.Equal(r.shareWithin(1.1, -0.1, 0, false), 1.0)
}
