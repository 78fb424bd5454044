package feed

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// lag tracks how far a watcher is behind the revision that another host announced.
type lag struct {
	// target is the newest revision that must be read from the store. since is when the first
	// such announcement came, in nanoseconds since the watcher's start, or 0 without one.
	target atomic.Uint64
	since  atomic.Int64
}

// add records that the table's changes up to the revision must be read.
func (l *lag) add(revision storage.Revision, now time.Duration) {
	l.target.Store(max(l.target.Load(), uint64(revision)))
	l.since.CompareAndSwap(0, int64(now))
}

// advance ends the lag if the revision covers the target.
func (l *lag) advance(revision storage.Revision) {
	if uint64(revision) >= l.target.Load() {
		l.since.Store(0)
	}
}

// Lag returns the time since another host first announced changes that the watcher hasn't
// read yet, or 0 if there are none.
func (w *Watcher) Lag() time.Duration {
	since := w.lag.since.Load()
	if since == 0 {
		return 0
	}
	return w.sinceStart() - time.Duration(since)
}
