package quota

import "time"

// recentWindow is the length of the windows that recentRate counts in.
const recentWindow = 2 * time.Second

// recentRate is the rate of the last whole window or the present one.
type recentRate struct {
	start    time.Time
	count    float64
	previous float64
}

func (r *recentRate) add(now time.Time, n float64) {
	r.roll(now)
	r.count += n
}

// rate is in units per second.
func (r *recentRate) rate(now time.Time) float64 {
	r.roll(now)
	return max(r.previous, r.count/recentWindow.Seconds())
}

func (r *recentRate) roll(now time.Time) {
	elapsed := now.Sub(r.start)
	if elapsed < recentWindow {
		return
	}
	r.previous = r.count / elapsed.Seconds()
	r.count = 0
	r.start = now
}
