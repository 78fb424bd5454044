package ratelease

import "time"

// Span is the time in which sends are counted. Requests count where they arrive within a
// second of being sent; what is on the way for some milliseconds longer is no excuse.
const Span = 1100 * time.Millisecond

// Window counts the sends of the last Span, in any of its positions. The zero value has
// counted none.
type Window struct {
	sent []time.Time
}

// Note counts a send.
func (w *Window) Note(now time.Time) {
	w.drop(now)
	w.sent = append(w.sent, now)
}

// Room says whether fewer than most were sent.
func (w *Window) Room(now time.Time, most int) bool {
	w.drop(now)
	return len(w.sent) < most
}

// drop forgets the sends that are older than Span.
func (w *Window) drop(now time.Time) {
	old := 0
	for old < len(w.sent) && now.Sub(w.sent[old]) >= Span {
		old++
	}
	if old > 0 {
		w.sent = append(w.sent[:0], w.sent[old:]...)
	}
}
