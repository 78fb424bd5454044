package feed

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// defaultHeed is taken for Options.Heed where a deployment tells none.
	defaultHeed = 2 * time.Second
	// relayedPart of Heed is the greatest age of the store's word, as another host passed
	// it on, at which a watcher makes no calls of its own. A watcher whose relay is cut
	// off, frozen or gone asks the store itself after this time, and has the answer well
	// within the rest.
	relayedPart = 0.65
	// hubRelayedPart is the same for a watcher that others rely on in turn. It is lower, so that
	// this one has asked the store and told them before their own words are too old: all of
	// a hub's followers asked the store at once otherwise.
	hubRelayedPart = 0.5
	// relayHoldPart of Heed is how long the store holds a call of a watcher that others
	// rely on: it passes on what it hears a few times a second, over two hosts at most,
	// and a lost exchange must not make the word too old.
	relayHoldPart = 0.35
	// RelayGather bounds Options.Gather while others rely on the watcher: its
	// calls serve many hosts, so the age of what they believe counts for more.
	RelayGather = 200 * time.Millisecond
	// packFrom is the data of rows, in bytes, from which they are passed on packed.
	packFrom = 1 << 10
)

// News is what one host knows of a table, for another one.
type News struct {
	// Since is the revision after which Rows are the table's changes, up to
	// Revision.
	Since    storage.Revision
	Revision storage.Revision
	Rows     []Row
	// Complete says that all changes are told; without it none is.
	Complete bool
	// Packed are the rows where they are many; Rows is empty then.
	Packed []byte
	// Whole says that Packed is the whole table as of Revision; Since doesn't count then.
	Whole bool
	// Age is the time since the store answered, at the time of the call.
	Age time.Duration
	// Clock is the store's steady clock now.
	Clock time.Duration
}

// relayed is the newest word that another host passed on.
type relayed struct {
	mu   sync.Mutex
	news News
	// at is when the store had answered that host.
	at time.Time
	// none says that the other host relays nothing.
	none bool
	// wake is signalled with each word.
	wake chan struct{}
}

// Offer takes what another host knows of the table. The word is as old as
// n.Age, and was asked for at the given time.
func (w *Watcher) Offer(n News, asked time.Time) {
	r := &w.relayed
	r.mu.Lock()
	r.news = n
	r.at = asked.Add(-n.Age)
	r.none = false
	r.mu.Unlock()
	w.noteClock(n.Clock, w.sinceStart())
	r.signal()
}

// OfferIfLost is Offer for a host whose own word others rely on: it takes another host's
// only while its own calls fail. Two that relied on each other would both grow old.
func (w *Watcher) OfferIfLost(n News, asked time.Time) {
	if w.lostAt.Load() != 0 || w.options.Link.lost() {
		w.Offer(n, asked)
	}
}

// NoOffer notes that the other host relays nothing, so that waiting for it is in vain.
func (w *Watcher) NoOffer() {
	r := &w.relayed
	r.mu.Lock()
	r.none = true
	r.mu.Unlock()
	r.signal()
}

func (r *relayed) signal() {
	select {
	case r.wake <- struct{}{}:
	default: // a signal is waiting already
	}
}

// vain says that the other host relays nothing.
func (r *relayed) vain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.none
}

// freshNews returns the other host's word, while it is young enough to rely on.
func (w *Watcher) freshNews() (n News, at time.Time, ok bool) {
	r := &w.relayed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news, r.at, !r.at.IsZero() && boottime.Since(r.at) < w.reliedAge()
}

// reliedAge is the age up to which this watcher relies on another host's word.
func (w *Watcher) reliedAge() time.Duration {
	if w.relays() {
		return time.Duration(hubRelayedPart * float64(w.options.Heed))
	}
	return w.relayedAge()
}

// relayedAge is the age up to which those that no other host relies on do.
func (w *Watcher) relayedAge() time.Duration {
	return time.Duration(relayedPart * float64(w.options.Heed))
}

// relayHold is how long the store holds a call while others rely on the watcher.
func (w *Watcher) relayHold() time.Duration {
	return time.Duration(relayHoldPart * float64(w.options.Heed))
}

// Relying says whether another host's word is young enough to rely on.
func (w *Watcher) Relying() bool {
	_, _, ok := w.freshNews()
	return ok
}

// News is what this watcher knows of the table, for a host that knows it up to
// the revision; changes are told if they take at most the given bytes packed. ok is
// false if it has nothing to tell.
func (w *Watcher) News(since storage.Revision, most int) (n News, ok bool) {
	age, heard := w.Age()
	if !heard {
		return News{}, false
	}
	if n, ok = w.recent.since(since); !ok {
		return News{}, false
	}
	if len(n.Packed) > most {
		n.Packed, n.Complete = nil, false
	}
	n.Age = age
	n.Clock = w.StoreClock()
	return n, true
}

// Revision is the newest revision that was handed on.
func (w *Watcher) Revision() storage.Revision {
	w.recent.mu.Lock()
	defer w.recent.mu.Unlock()
	return w.recent.revision
}
