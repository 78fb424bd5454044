package feed

import (
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// lag is how far a watcher is behind what another host told it of.
type lag struct {
	// told is the newest revision that has to be read from the store; since is
	// when the first such word came, in time since the watcher's start, 0 while
	// there is none.
	told  atomic.Uint64
	since atomic.Int64
}

// note takes in that the table's changes up to the revision have to be read.
func (l *lag) note(revision storage.Revision, now time.Duration) {
	l.told.Store(max(l.told.Load(), uint64(revision)))
	l.since.CompareAndSwap(0, int64(now))
}

// reached ends the lag if the revision takes in what was told.
func (l *lag) reached(revision storage.Revision) {
	if uint64(revision) >= l.told.Load() {
		l.since.Store(0)
	}
}

// Behind is the time since another host first told of changes that the watcher
// hasn't read yet; 0 if there are none.
func (w *Watcher) Behind() time.Duration {
	since := w.lag.since.Load()
	if since == 0 {
		return 0
	}
	return w.sinceStart() - time.Duration(since)
}
