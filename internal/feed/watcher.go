package feed

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// DefaultHold is how long the store holds a call without changes. A
	// connection on which the store lost an answer stays silent, so the time
	// bounds how old a belief can become before that is noticed; each call
	// costs one read.
	DefaultHold = 4500 * time.Millisecond
	// idleCheck is how often a watcher that isn't needed looks whether it is.
	idleCheck = 100 * time.Millisecond
	// answerTimeout bounds the store's silence, beyond its hold before an answer, and
	// between the parts of one. It must stay a bound on silence: as one on the whole
	// call, hosts whose link needs longer for a document never have it.
	answerTimeout = 800 * time.Millisecond
	// listTimeout bounds the silence before a table's rows. It is longer, since a
	// host that starts has nothing else to serve by.
	listTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. The
	// highest keeps a fleet's calls during an outage below its normal rate of
	// reads and still notices the end of an outage within two seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Options are the settings of a Watcher.
type Options struct {
	// Link is shared with the other watchers of the store; nil means that there
	// are none.
	Link *Link
	// Hold is how long the store holds a call without changes; 0 means
	// DefaultHold. Watchers with a common link do best with different times:
	// then their calls end at different moments.
	Hold time.Duration
	// Gather is the pause after a change before the next call, so that changes
	// in quick succession cost one call. It adds to the age of what is believed.
	Gather time.Duration
	// Needed says whether the table has to be followed now; nil means always.
	// While it isn't, the watcher makes no calls.
	Needed func() bool
	// Relays says whether other hosts rely on this watcher now: then it hears
	// from the store more often. Nil means that none does.
	Relays func() bool
	// Heed is the time within which changes of the table have to be heeded; 0 means
	// two seconds. It bounds how old another host's word may be that is relied on.
	Heed time.Duration
	// FirstWord is how long the watcher waits for another host's word before it
	// begins to follow the table by calls of its own; 0 where no host tells any.
	FirstWord time.Duration
	// FirstTable is how long the watcher waits at its start for another host to hand
	// the whole table on, before it reads the store's; 0 where no host does.
	FirstTable time.Duration
	// HubAnswers says whether such a host answers; nil means that none does.
	HubAnswers func() bool
}

// Watcher follows one table.
type Watcher struct {
	options Options
	table   string
	source  Source
	handler Handler
	log     zerolog.Logger

	// contactAt is when the store last answered, in nanoseconds since start;
	// 0 before that. lostAt is when calls began to fail, 0 while they succeed.
	contactAt atomic.Int64
	lostAt    atomic.Int64
	// clockOffset is the store's clock minus the time since start.
	clockOffset atomic.Int64
	start       time.Time

	// revision is the newest that was handed on; used by Run alone.
	revision storage.Revision
	listed   bool
	// more says that the last changes weren't all; used by Run alone.
	more bool
	// reading is the listing under way; used by Run alone.
	reading listing

	// recent is what other hosts are told, relayed what they tell, and lag how far
	// the watcher is behind that.
	recent  recent
	relayed relayed
	lag     lag
	calls   callCounts
	held    heldCall
	// hurried is signalled by Hurry.
	hurried chan struct{}
	// relying says that the last step made no call, because another host told
	// what is new; used by Run alone.
	relying bool
	// waited says that FirstWord is over, began that FirstTable is, waitedLarge that a
	// large table was waited for; used by Run alone.
	waited      bool
	began       bool
	waitedLarge bool
}

// NewWatcher returns a watcher of the table that hands what it learns to the
// handler while Run runs.
func NewWatcher(table string, source Source, handler Handler, options Options, log zerolog.Logger) *Watcher {
	options.Hold = cmp.Or(options.Hold, DefaultHold)
	options.Heed = cmp.Or(options.Heed, defaultHeed)
	if options.Link == nil {
		options.Link = NewLink()
	}
	return &Watcher{
		options: options,
		table:   table,
		source:  source,
		handler: handler,
		log:     log.With().Str("table", table).Logger(),
		start:   boottime.Now(),
		relayed: relayed{wake: make(chan struct{}, 1)},
		hurried: make(chan struct{}, 1),
	}
}

// Age is the time since the store last answered; ok is false before the first
// answer.
func (w *Watcher) Age() (age time.Duration, ok bool) {
	at := w.contactAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.sinceStart() - time.Duration(at), true
}

// Interrupted says whether the store is out of reach, by this watcher's calls or by
// those of another one on the link.
func (w *Watcher) Interrupted() bool {
	if _, _, ok := w.freshNews(); ok {
		return false
	}
	return w.lostAt.Load() != 0 || w.options.Link.lost()
}

// Returned says whether the store's word ends an outage, or one ended within the span, by
// this watcher's calls or by those of another one on the link.
func (w *Watcher) Returned(within time.Duration) bool {
	return w.lostAt.Load() != 0 || w.options.Link.returnedWithin(within)
}

// StoreClock is the store's steady clock now, as far as the last answer tells.
func (w *Watcher) StoreClock() time.Duration {
	return w.sinceStart() + time.Duration(w.clockOffset.Load())
}

// sinceStart is the time since the watcher was made, above 0.
func (w *Watcher) sinceStart() time.Duration { return max(1, boottime.Since(w.start)) }

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.options.Link.leave(w)
	backoff := minBackoff
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = minBackoff
			continue
		case errors.Is(err, errAbandoned), errors.Is(err, errHurried):
			continue
		case errors.Is(err, ErrHistoryLost):
			w.log.Warn().Str("event", "history-lost").Stringer("revision", w.revision).Msg("")
			w.listed = false
			continue
		}
		w.failed(err)
		jitter := time.Duration(rand.Int64N(int64(backoff / 2)))
		if wait.For(ctx, backoff/2+jitter) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.listed {
		return w.begin(ctx)
	}
	if w.options.Needed != nil && !w.options.Needed() {
		w.options.Link.leave(w)
		w.waited = false
		return wait.For(ctx, idleCheck)
	}
	if err := w.awaitFirstWord(ctx); err != nil {
		return err
	}
	news, at, rely := w.freshNews()
	w.noteRelying(rely)
	if rely && w.takeNews(news, at) {
		return w.awaitNews(ctx, at)
	}
	hold := w.hold()
	if rely || w.more || w.lostAt.Load() != 0 || w.options.Link.lost() || w.relays() && w.Old() {
		// The answer is wanted at once: there is something new, or it tells that the store
		// is back or has no more, or others wait for it.
		hold = 0
	}
	page, answered, err := w.changes(ctx, hold)
	if err != nil {
		return err
	}
	w.take(page.Rows, nil, page.Revision)
	if w.more = page.Truncated; w.more {
		return nil // the rest is older than the answer: it is neither heard nor waited for
	}
	w.succeeded(answered)
	switch {
	case len(page.Rows) > 0:
		return w.pauseAfterChange(ctx)
	case hold == 0:
		// Nothing new, though another host told of it or the store was away: without
		// the pause each host would make hundreds of calls a second until there is.
		return wait.For(ctx, minBackoff)
	}
	return nil
}

// changes asks for what is new; the store may hold the call.
func (w *Watcher) changes(ctx context.Context, hold time.Duration) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "changes", hold: hold, within: hold + answerTimeout,
		do: func(ctx context.Context, received Received) (Page, error) {
			return w.source.Changes(ctx, w.table, w.revision, hold, received)
		}})
}

// take hands changes on; packed are the same as another host packed them, nil if they come
// from the store.
func (w *Watcher) take(rows []Row, packed []byte, revision storage.Revision) {
	for _, row := range rows {
		w.handler.Change(row)
	}
	w.revision = max(w.revision, revision)
	w.lag.reached(w.revision)
	w.recent.add(rows, packed, w.revision, w.relays())
}

// Old says that the store's last word is too old for other hosts to rely on.
func (w *Watcher) Old() bool {
	age, ok := w.Age()
	return !ok || age > w.relayedAge()
}

func (w *Watcher) relays() bool { return w.options.Relays != nil && w.options.Relays() }

func (w *Watcher) hold() time.Duration {
	if w.relays() {
		return w.relayHold()
	}
	return w.options.Hold
}

func (w *Watcher) gather() time.Duration {
	if w.relays() {
		return min(RelayGather, w.options.Gather)
	}
	return w.options.Gather
}

// noteClock notes the store's clock at the time since start.
func (w *Watcher) noteClock(clock, at time.Duration) {
	w.clockOffset.Store(int64(clock - at))
}

// succeeded notes that the store answered at the time since start. It comes after the
// answer was handed on: what other hosts are told is never older than it says.
func (w *Watcher) succeeded(at time.Duration) {
	now := int64(at)
	w.contactAt.Store(max(now, w.contactAt.Load()))
	if lost := w.lostAt.Load(); lost != 0 && now > lost {
		w.lostAt.Store(0)
		w.log.Info().Str("event", "store-regained").Int64("out_ms", (now-lost)/int64(time.Millisecond)).Stringer("revision", w.revision).Msg("")
	}
}

func (w *Watcher) failed(err error) {
	if w.lostAt.CompareAndSwap(0, int64(w.sinceStart())) {
		w.log.Warn().Str("event", "store-lost").Err(err).Stringer("revision", w.revision).Msg("")
	}
}
