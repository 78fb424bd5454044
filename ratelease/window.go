package ratelease

import "time"

// WindowSpan is the length of the window in which sent requests are counted. Upstreams count requests
// on arrival, in windows of a second; the remaining 0.1 s allow for different times in transit.
const WindowSpan = 1100 * time.Millisecond

// Window counts the requests sent within the last WindowSpan. The zero value is empty.
type Window struct {
	sentAt []time.Time
}

// Record counts a request sent now.
func (w *Window) Record(now time.Time) {
	w.dropExpired(now)
	w.sentAt = append(w.sentAt, now)
}

// Allows reports whether fewer than the given number of requests were sent within the last
// WindowSpan.
func (w *Window) Allows(now time.Time, limit int) bool {
	w.dropExpired(now)
	return len(w.sentAt) < limit
}

// Count returns the number of requests within the last WindowSpan.
func (w *Window) Count(now time.Time) int {
	w.dropExpired(now)
	return len(w.sentAt)
}

// dropExpired removes the sends that are older than WindowSpan.
func (w *Window) dropExpired(now time.Time) {
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= WindowSpan {
		expired++
	}
	if expired > 0 {
		w.sentAt = append(w.sentAt[:0], w.sentAt[expired:]...)
	}
}
