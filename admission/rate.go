package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant with which a decayedRate decays.
const rateWindow = 2 * time.Second

// decayedRate is an exponentially decayed rate, in units per second.
type decayedRate struct {
	value     float64
	updatedAt time.Duration
}

func (r *decayedRate) add(now time.Duration, units float64) {
	r.value = r.valueAt(now) + units/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *decayedRate) valueAt(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.updatedAt)/float64(rateWindow))
}
