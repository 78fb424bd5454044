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
	// DefaultHold is how long the store holds a call without changes. A connection on which an
	// answer was lost stays silent, so this time bounds how old the data can become before that
	// is noticed. Each call costs the store one read.
	DefaultHold = 4500 * time.Millisecond
	// idleCheck is how often a watcher that isn't needed checks whether it is.
	idleCheck = 100 * time.Millisecond
	// answerTimeout bounds the time without data from the store: before an answer, in addition
	// to its hold, and between the parts of an answer. It must not bound the whole call: hosts
	// whose link needs longer for an answer would never receive it.
	answerTimeout = 800 * time.Millisecond
	// listTimeout bounds the time without data before a table's rows. It is longer, since a
	// host that starts has no other data to work with.
	listTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. maxBackoff keeps a fleet's
	// calls during an outage below its normal rate of reads, and still lets it notice the end
	// of an outage within two seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Options configures a Watcher.
type Options struct {
	// Link is shared with the other watchers of the store; nil if there are none.
	Link *Link
	// Hold is how long the store holds a call without changes; 0 means DefaultHold. Watchers
	// that share a link should use different times, so that their calls end at different
	// moments.
	Hold time.Duration
	// BatchDelay is the pause after a change before the next call, so that several changes in quick
	// succession cost one call. It adds to the age of the data.
	BatchDelay time.Duration
	// Needed reports whether the table must be followed now; nil means always. While it isn't
	// needed, the watcher makes no calls.
	Needed func() bool
	// Relays reports whether other hosts rely on this watcher now; it then calls the store more
	// often. Nil means that none does.
	Relays func() bool
	// ApplyTime is the time within which changes of the table must take effect; 0 means two seconds.
	// It bounds the age of another host's update that the watcher relies on.
	ApplyTime time.Duration
	// FirstUpdateWait is how long the watcher waits for another host's first update before it follows
	// the table by its own calls; 0 if no host relays updates.
	FirstUpdateWait time.Duration
	// FirstTableWait is how long the watcher waits at its start for another host to send the whole
	// table, before it reads the table from the store; 0 if no host does.
	FirstTableWait time.Duration
	// HubAnswers reports whether such a host answers; nil means that none does.
	HubAnswers func() bool
}

// Watcher follows one table.
type Watcher struct {
	options Options
	table   string
	source  Source
	handler Handler
	log     zerolog.Logger

	// lastAnswerAt is when the store last answered, in nanoseconds since start, or 0 before
	// that. failingSince is when calls began to fail, or 0 while they succeed.
	lastAnswerAt atomic.Int64
	failingSince atomic.Int64
	// clockOffset is the store's clock minus the time since start.
	clockOffset atomic.Int64
	start       time.Time

	// revision is the newest that was passed to the handler; used by Run alone.
	revision storage.Revision
	hasTable bool
	// truncated reports that the last answer didn't hold all changes; used by Run alone.
	truncated bool
	// partial is the listing in progress; used by Run alone.
	partial listing

	// recent holds what other hosts are sent, relayed what they send, and lag how far the
	// watcher is behind that.
	recent  recent
	relayed relayed
	lag     lag
	calls   callCounts
	held    heldCall
	// holdShortened is signalled by ShortenHold.
	holdShortened chan struct{}
	// relying reports that the last step made no call, because another host sent an update;
	// used by Run alone.
	relying bool
	// waitedFirstUpdate reports that the wait of FirstUpdateWait is over, waitedFirstTable that of
	// FirstTableWait, and waitedLargeTable that of largeTableWait; used by Run alone.
	waitedFirstUpdate bool
	waitedFirstTable  bool
	waitedLargeTable  bool
}

// NewWatcher returns a watcher of the table that passes its rows to the handler while Run runs.
func NewWatcher(table string, source Source, handler Handler, options Options, log zerolog.Logger) *Watcher {
	options.Hold = cmp.Or(options.Hold, DefaultHold)
	options.ApplyTime = cmp.Or(options.ApplyTime, defaultApplyTime)
	if options.Link == nil {
		options.Link = NewLink()
	}
	return &Watcher{
		options:       options,
		table:         table,
		source:        source,
		handler:       handler,
		log:           log.With().Str("table", table).Logger(),
		start:         boottime.Now(),
		relayed:       relayed{updated: make(chan struct{}, 1)},
		holdShortened: make(chan struct{}, 1),
	}
}

// Age returns the time since the store last answered. ok is false before the first answer.
func (w *Watcher) Age() (age time.Duration, ok bool) {
	at := w.lastAnswerAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.sinceStart() - time.Duration(at), true
}

// Unreachable reports whether the store is unreachable, by this watcher's calls or by those of
// another one on the link, and no recent update was relayed.
func (w *Watcher) Unreachable() bool {
	if _, _, ok := w.freshUpdate(); ok {
		return false
	}
	return w.failingSince.Load() != 0 || w.options.Link.unreachable()
}

// RecoveredWithin reports whether an outage is just ending or ended within the span, by this watcher's
// calls or by those of another one on the link.
func (w *Watcher) RecoveredWithin(within time.Duration) bool {
	return w.failingSince.Load() != 0 || w.options.Link.recoveredWithin(within)
}

// StoreClock returns the current time of the store's monotonic clock, extrapolated from the
// last answer.
func (w *Watcher) StoreClock() time.Duration {
	return w.sinceStart() + time.Duration(w.clockOffset.Load())
}

// sinceStart returns the time since the watcher was created, above 0.
func (w *Watcher) sinceStart() time.Duration { return max(1, boottime.Since(w.start)) }

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.options.Link.stopProbing(w)
	backoff := minBackoff
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = minBackoff
			continue
		case errors.Is(err, errAbandoned), errors.Is(err, errHoldShortened):
			continue
		case errors.Is(err, ErrHistoryLost):
			w.log.Warn().Str("event", "history-lost").Stringer("revision", w.revision).Msg("")
			w.hasTable = false
			continue
		}
		w.recordFailure(err)
		jitter := time.Duration(rand.Int64N(int64(backoff / 2)))
		if wait.For(ctx, backoff/2+jitter) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.hasTable {
		return w.loadTable(ctx)
	}
	if w.options.Needed != nil && !w.options.Needed() {
		w.options.Link.stopProbing(w)
		w.waitedFirstUpdate = false
		return wait.For(ctx, idleCheck)
	}
	if err := w.awaitFirstUpdate(ctx); err != nil {
		return err
	}
	update, at, rely := w.freshUpdate()
	w.logRelying(rely)
	if rely && w.applyUpdate(update, at) {
		return w.awaitNextUpdate(ctx, at)
	}
	hold := w.hold()
	if rely || w.truncated || w.failingSince.Load() != 0 || w.options.Link.unreachable() || w.relays() && w.Stale() {
		// The store must answer at once: there are new changes, or the answer shows that the store
		// is reachable again or has no more changes, or other hosts wait for it.
		hold = 0
	}
	page, answered, err := w.changes(ctx, hold)
	if err != nil {
		return err
	}
	w.applyChanges(page.Rows, nil, page.Revision)
	if w.truncated = page.Truncated; w.truncated {
		return nil // the remaining changes precede the answer: it doesn't count as contact, and there is no pause
	}
	w.recordSuccess(answered)
	switch {
	case len(page.Rows) > 0:
		return w.pauseAfterChange(ctx)
	case hold == 0:
		// No changes, although another host announced them or the store was unreachable: without
		// the pause each host would make hundreds of calls a second until there are.
		return wait.For(ctx, minBackoff)
	}
	return nil
}

// changes requests the changes after the revision; the store may hold the call.
func (w *Watcher) changes(ctx context.Context, hold time.Duration) (Page, time.Duration, error) {
	return w.call(ctx, &storeCall{kind: "changes", hold: hold, firstPartTimeout: hold + answerTimeout,
		do: func(ctx context.Context, received Received) (Page, error) {
			return w.source.Changes(ctx, w.table, w.revision, hold, received)
		}})
}

// applyChanges passes changes to the handler. packed holds the same rows as another host packed
// them, nil if they come from the store.
func (w *Watcher) applyChanges(rows []Row, packed []byte, revision storage.Revision) {
	for _, row := range rows {
		w.handler.Change(row)
	}
	w.revision = max(w.revision, revision)
	w.lag.advance(w.revision)
	w.recent.add(rows, packed, w.revision, w.relays())
}

// Stale reports whether the store's last answer is too old for other hosts to rely on.
func (w *Watcher) Stale() bool {
	age, ok := w.Age()
	return !ok || age > w.followerMaxRelayedAge()
}

func (w *Watcher) relays() bool { return w.options.Relays != nil && w.options.Relays() }

func (w *Watcher) hold() time.Duration {
	if w.relays() {
		return w.relayHold()
	}
	return w.options.Hold
}

func (w *Watcher) batchDelay() time.Duration {
	if w.relays() {
		return min(RelayBatchDelay, w.options.BatchDelay)
	}
	return w.options.BatchDelay
}

// recordClock records the store's clock at the time since start.
func (w *Watcher) recordClock(clock, at time.Duration) {
	w.clockOffset.Store(int64(clock - at))
}

// recordSuccess records that the store answered at the time since start. It is called after the
// answer was applied, so that updates for other hosts are never older than their stated age.
func (w *Watcher) recordSuccess(at time.Duration) {
	now := int64(at)
	w.lastAnswerAt.Store(max(now, w.lastAnswerAt.Load()))
	if lost := w.failingSince.Load(); lost != 0 && now > lost {
		w.failingSince.Store(0)
		w.log.Info().Str("event", "store-regained").Int64("out_ms", (now-lost)/int64(time.Millisecond)).Stringer("revision", w.revision).Msg("")
	}
}

func (w *Watcher) recordFailure(err error) {
	if w.failingSince.CompareAndSwap(0, int64(w.sinceStart())) {
		w.log.Warn().Str("event", "store-lost").Err(err).Stringer("revision", w.revision).Msg("")
	}
}
