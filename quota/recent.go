package quota

import "time"

// rateWindow is the length of the windows in which recentRate counts.
const rateWindow = 2 * time.Second

// recentRate measures the rate of the last complete and the current window.
type recentRate struct {
	start    time.Time
	count    float64
	previous float64
}

func (r *recentRate) add(now time.Time, n float64) {
	r.advanceWindow(now)
	r.count += n
}

// rate returns the higher of the rates of the last complete and the current
// window, in units per second.
func (r *recentRate) rate(now time.Time) float64 {
	r.advanceWindow(now)
	return max(r.previous, r.count/rateWindow.Seconds())
}

func (r *recentRate) advanceWindow(now time.Time) {
	elapsed := now.Sub(r.start)
	if elapsed < rateWindow {
		return
	}
	r.previous = r.count / elapsed.Seconds()
	r.count = 0
	r.start = now
}
