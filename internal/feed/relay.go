package feed

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// defaultApplyTime is the value of Options.ApplyTime where a deployment sets none.
	defaultApplyTime = 2 * time.Second
	// relayedFraction of ApplyTime is the greatest age of a relayed update at which a watcher makes
	// no calls of its own. A watcher whose relay is disconnected, suspended or gone calls the
	// store itself after this time, and has the answer well within the rest.
	relayedFraction = 0.65
	// hubRelayedFraction is the same for a watcher that other hosts rely on in turn. It is
	// lower, so that this watcher has called the store and relayed the answer before the
	// others' updates are too old: otherwise all of a hub's followers would call the store at
	// once.
	hubRelayedFraction = 0.5
	// relayHoldFraction of ApplyTime is how long the store holds a call of a watcher that other
	// hosts rely on. The answer is relayed a few times a second, over two hosts at most, and
	// one failed exchange must not make it too old.
	relayHoldFraction = 0.35
	// RelayBatchDelay bounds Options.BatchDelay while other hosts rely on the watcher: its calls
	// serve many hosts, so the age of their data matters more.
	RelayBatchDelay = 200 * time.Millisecond
	// minPackedBytes is the size of rows' data, in bytes, from which they are sent packed.
	minPackedBytes = 1 << 10
)

// Update is a table update that one host sends to another.
type Update struct {
	// Since is the revision after which Rows are the table's changes, up to Revision.
	Since    storage.Revision
	Revision storage.Revision
	Rows     []Row
	// Complete reports that Rows or Packed hold all changes; otherwise both are empty.
	Complete bool
	// Packed holds the rows if they are large; Rows is empty then.
	Packed []byte
	// Whole reports that Packed is the whole table as of Revision; Since is unused then.
	Whole bool
	// Age is the time since the store answered, at the time of the call.
	Age time.Duration
	// Clock is the store's monotonic clock now.
	Clock time.Duration
}

// relayed holds the newest update that another host sent.
type relayed struct {
	mu     sync.Mutex
	update Update
	// answeredAt is when the store had answered that host.
	answeredAt time.Time
	// notRelayed reports that the other host relays nothing.
	notRelayed bool
	// updated is signalled with each update.
	updated chan struct{}
}

// Offer receives an update from another host. Its data are as old as n.Age, counted from
// requestedAt.
func (w *Watcher) Offer(n Update, requestedAt time.Time) {
	r := &w.relayed
	r.mu.Lock()
	r.update = n
	r.answeredAt = requestedAt.Add(-n.Age)
	r.notRelayed = false
	r.mu.Unlock()
	w.recordClock(n.Clock, w.sinceStart())
	r.signal()
}

// OfferIfDisconnected is Offer for a host that others rely on: it uses another host's update
// only while its own calls fail. If two hosts relied on each other, the data of both would grow
// old.
func (w *Watcher) OfferIfDisconnected(n Update, requestedAt time.Time) {
	if w.failingSince.Load() != 0 || w.options.Link.unreachable() {
		w.Offer(n, requestedAt)
	}
}

// OfferNothing records that the other host relays nothing, so there is no point in waiting for
// an update.
func (w *Watcher) OfferNothing() {
	r := &w.relayed
	r.mu.Lock()
	r.notRelayed = true
	r.mu.Unlock()
	r.signal()
}

func (r *relayed) signal() {
	select {
	case r.updated <- struct{}{}:
	default: // a signal is already pending
	}
}

// unavailable reports that the other host relays nothing.
func (r *relayed) unavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notRelayed
}

// freshUpdate returns the other host's last update and its time, and whether it is recent
// enough to rely on.
func (w *Watcher) freshUpdate() (n Update, at time.Time, ok bool) {
	r := &w.relayed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update, r.answeredAt, !r.answeredAt.IsZero() && boottime.Since(r.answeredAt) < w.maxRelayedAge()
}

// maxRelayedAge returns the age up to which this watcher relies on another host's update.
func (w *Watcher) maxRelayedAge() time.Duration {
	if w.relays() {
		return time.Duration(hubRelayedFraction * float64(w.options.ApplyTime))
	}
	return w.followerMaxRelayedAge()
}

// followerMaxRelayedAge returns the same for watchers that no other host relies on.
func (w *Watcher) followerMaxRelayedAge() time.Duration {
	return time.Duration(relayedFraction * float64(w.options.ApplyTime))
}

// relayHold returns how long the store holds a call while other hosts rely on the watcher.
func (w *Watcher) relayHold() time.Duration {
	return time.Duration(relayHoldFraction * float64(w.options.ApplyTime))
}

// UsesRelay reports whether another host's last update is recent enough to rely on.
func (w *Watcher) UsesRelay() bool {
	_, _, ok := w.freshUpdate()
	return ok
}

// UpdateSince returns the update for a host that has the table up to the revision. The changes are
// left out if they take more than maxPacked bytes packed. ok is false if the watcher doesn't
// have the table.
func (w *Watcher) UpdateSince(since storage.Revision, maxPacked int) (n Update, ok bool) {
	age, answered := w.Age()
	if !answered {
		return Update{}, false
	}
	if n, ok = w.recent.since(since); !ok {
		return Update{}, false
	}
	if len(n.Packed) > maxPacked {
		n.Packed, n.Complete = nil, false
	}
	n.Age = age
	n.Clock = w.StoreClock()
	return n, true
}

// Revision returns the newest revision that was passed to the handler.
func (w *Watcher) Revision() storage.Revision {
	w.recent.mu.Lock()
	defer w.recent.mu.Unlock()
	return w.recent.revision
}
