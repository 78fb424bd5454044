package ledger

import "time"

// maxFlushRate is how many flushes a second all hosts together should make: a
// small part of the few hundred commits that the table takes.
const maxFlushRate = 50

// FlushPeriod returns a time between flushes that suits the number of hosts:
// DefaultFlushEvery while they are few. Bills are safe with a peer meanwhile.
func FlushPeriod(hosts int) time.Duration {
	return max(DefaultFlushEvery, time.Duration(hosts)*time.Second/maxFlushRate)
}

// SetFlushEvery changes the time between flushes, from the next flush on. It
// follows the number of hosts.
func (l *Ledger) SetFlushEvery(d time.Duration) {
	if d > 0 {
		l.flushEvery.Store(int64(d))
	}
}

// flushPeriod is the present time between flushes.
func (l *Ledger) flushPeriod() time.Duration {
	return time.Duration(l.flushEvery.Load())
}
