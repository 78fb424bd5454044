package ledger

import "time"

// maxFlushRate is the target for the flushes per second of all hosts together.
// The table accepts a few hundred commits per second, and flushes should be a
// small part of them.
const maxFlushRate = 50

// FlushIntervalFor returns the time between flushes for a number of hosts. It is
// DefaultFlushInterval for up to maxFlushRate hosts and grows with their number
// above that. Until the flush a copy on a peer protects each bill.
func FlushIntervalFor(hosts int) time.Duration {
	return max(DefaultFlushInterval, time.Duration(hosts)*time.Second/maxFlushRate)
}

// SetFlushInterval changes the time between flushes, from the next flush on.
// Callers adjust it when the number of hosts changes.
func (l *Ledger) SetFlushInterval(d time.Duration) {
	if d > 0 {
		l.flushInterval.Store(int64(d))
	}
}

// currentFlushInterval returns the time between flushes.
func (l *Ledger) currentFlushInterval() time.Duration {
	return time.Duration(l.flushInterval.Load())
}
