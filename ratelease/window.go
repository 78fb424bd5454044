package ratelease

import "time"

// Span is the length of the window in which sent requests are counted. Upstreams count requests
// on arrival, in windows of a second; the rest allows for different times in transit.
const Span = 1100 * time.Millisecond

// Window counts the requests sent in the last Span, at any time. The zero value is empty.
type Window struct {
	sentAt []time.Time
}

// Note counts a request sent now.
func (w *Window) Note(now time.Time) {
	w.dropExpired(now)
	w.sentAt = append(w.sentAt, now)
}

// Room reports whether fewer than the given number of requests were sent.
func (w *Window) Room(now time.Time, limit int) bool {
	w.dropExpired(now)
	return len(w.sentAt) < limit
}

// dropExpired removes the sends that are older than Span.
func (w *Window) dropExpired(now time.Time) {
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= Span {
		expired++
	}
	if expired > 0 {
		w.sentAt = append(w.sentAt[:0], w.sentAt[expired:]...)
	}
}
