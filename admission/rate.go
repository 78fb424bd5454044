package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of decayed averages.
const rateWindow = 2 * time.Second

// rate is an exponentially decayed rate, in units per second.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.value = r.read(now) + units/rateWindow.Seconds()
	r.at = now
}

func (r *rate) read(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}
