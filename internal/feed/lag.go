package feed

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// lag records how long a watcher has been behind a revision that another host announced.
type lag struct {
	// target is the newest revision up to which changes must be read from the store.
	// behindSince is when the first announcement of changes that haven't been read arrived, in
	// nanoseconds since the watcher's start, or 0 if there are none.
	target      atomic.Uint64
	behindSince atomic.Int64
}

// add records that the table's changes up to the revision must be read from the store.
func (l *lag) add(revision storage.Revision, now time.Duration) {
	l.target.Store(max(l.target.Load(), uint64(revision)))
	l.behindSince.CompareAndSwap(0, int64(now))
}

// advance records that the changes up to the revision were read. The lag ends if they include
// the target.
func (l *lag) advance(revision storage.Revision) {
	if uint64(revision) >= l.target.Load() {
		l.behindSince.Store(0)
	}
}

// Lag returns the time since another host first announced changes that the watcher hasn't read
// yet, or 0 if there are none.
func (w *Watcher) Lag() time.Duration {
	since := w.lag.behindSince.Load()
	if since == 0 {
		return 0
	}
	return w.sinceStart() - time.Duration(since)
}
