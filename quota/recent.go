package quota

import "time"

// rateWindow is the length of the windows in which recentRate counts. A window
// lasts longer if there is no call when it should end.
const rateWindow = 2 * time.Second

// recentRate measures the rate in the current and in the previous window. The
// current window began at start, and count is its sum so far.
type recentRate struct {
	start    time.Time
	count    float64
	previous float64
}

func (r *recentRate) add(now time.Time, n float64) {
	r.advanceWindow(now)
	r.count += n
}

// rate returns the higher of the rates in the previous and the current window,
// in units per second.
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
