package feed

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/draining"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// DefaultHold is how long the store holds a call until there are changes. A connection on
	// which an answer was lost stays silent, so this time bounds how old the data can become
	// before the loss is noticed. Each call costs the store one read.
	DefaultHold = 4500 * time.Millisecond
	// idleCheck is the time between two checks whether a table that wasn't needed is needed
	// now.
	idleCheck = 100 * time.Millisecond
	// answerTimeout bounds the time without data from the store: from a call, in addition to
	// its hold, to the first part of the answer, and between two parts of an answer. The whole
	// call has no such bound, because hosts whose link needs longer for an answer would never
	// receive it.
	answerTimeout = 800 * time.Millisecond
	// listTimeout bounds the time from a call for a table's rows to the first part of the
	// answer. It is longer than answerTimeout, since a host that starts has no other data to
	// work with.
	listTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. maxBackoff keeps the rate
	// of a fleet's calls during an outage below that of its reads in normal operation, and
	// still lets the fleet notice the end of an outage within two seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Options configures a Watcher.
type Options struct {
	// Link is shared by all watchers of the store; nil if there is only one.
	Link *Link
	// Hold is how long the store holds a call until there are changes; 0 means DefaultHold.
	// Watchers that share a link should use different durations, so that their calls end at
	// different times.
	Hold time.Duration
	// BatchDelay is the time between an answer with a change and the next call, so that several
	// changes in quick succession cost one call. It adds to the age of the data.
	BatchDelay time.Duration
	// Needed reports whether the table must be followed now; nil means always. While the table
	// isn't needed, the watcher makes no calls for changes.
	Needed func() bool
	// Relays reports whether other hosts rely on this watcher's updates now; the watcher calls
	// the store more often then. Nil means that no other host does.
	Relays func() bool
	// HoldsBriefly reports whether the store holds the watcher's calls only as briefly as a relaying
	// watcher's, so that it notices lost answers soon on behalf of hosts that get rows from this
	// one. Nil means that it doesn't.
	HoldsBriefly func() bool
	// ApplyTime is the time within which changes of the table must take effect; 0 means two
	// seconds. The maximum age of the updates from other hosts that the watcher relies on is a
	// fraction of it.
	ApplyTime time.Duration
	// FirstUpdateWait is how long the watcher waits for the first update from another host
	// before it calls the store for changes; 0 if no host relays updates.
	FirstUpdateWait time.Duration
	// FirstTableWait is how long the watcher waits at its start for another host to send the
	// whole table before it reads the table from the store; 0 if no host sends it.
	FirstTableWait time.Duration
	// HubAnswers reports whether a host that may relay updates answers this one; nil means that
	// there is none.
	HubAnswers func() bool
}

// Watcher follows one table of the store.
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
	// clock estimates the store's clock minus the time since start.
	clock storeClock
	start time.Time

	// changedSince is the earliest time at which the changes that the handler gets may have been made, as the
	// time since start; only Run and the handler use it.
	changedSince time.Duration

	// revision is the newest revision whose rows were received; only Run uses it. hasTable
	// reports whether the watcher follows changes, rather than reads the whole table.
	revision storage.Revision
	hasTable atomic.Bool
	// truncated reports that the store has more changes than its last answer held; only Run
	// uses it.
	truncated bool
	// partialListing is the listing in progress; only Run uses it.
	partialListing listing

	// recent holds the data from which updates for other hosts are made. relayed holds the last
	// update received from another host. lag records how long the watcher has been behind a
	// revision that another host announced.
	recent   recentChanges
	relayed  relayedUpdate
	lag      lag
	calls    callCounts
	inFlight callInFlight
	// unusable is the variant of the last update from another host that couldn't be applied.
	unusable atomic.Uint64
	// rejectsDeltas reports that a delta couldn't be applied since the last change.
	rejectsDeltas atomic.Bool
	// holdShortened is signaled by ShortenHold.
	holdShortened chan struct{}
	// reliedAt is when the watcher last relied on an update from another host; only Run uses it.
	reliedAt time.Time
	// relying reports whether the last step found an update from another host that was recent
	// enough to rely on; only Run uses it.
	relying bool
	// waitedFirstUpdate reports that the watcher has waited for FirstUpdateWait since the table
	// is needed; waitedFirstTable and waitedLargeTable report that it has waited for
	// FirstTableWait and for largeTableWait. Only Run uses them.
	waitedFirstUpdate bool
	waitedFirstTable  bool
	waitedLargeTable  bool
}

// NewWatcher returns a watcher of the table. Its Run passes the table's rows to the handler.
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
		relayed:       relayedUpdate{updated: make(chan struct{}, 1)},
		holdShortened: make(chan struct{}, 1),
	}
}

// Age returns the time since the store's last answer, received by this host or relayed to it.
// ok is false before the first answer.
func (w *Watcher) Age() (age time.Duration, ok bool) {
	at := w.lastAnswerAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.sinceStart() - time.Duration(at), true
}

// Unreachable reports whether the store is unreachable, as shown by the calls of this watcher
// or of another one on the link, and no other host has sent a recent update.
func (w *Watcher) Unreachable() bool {
	if _, _, ok := w.freshUpdate(); ok {
		return false
	}
	return w.failingSince.Load() != 0 || w.options.Link.unreachable()
}

// UnreachableWithin reports whether the store is unreachable now or was at some time within the
// given duration before, as shown by the calls of this watcher or of another one on the link.
func (w *Watcher) UnreachableWithin(within time.Duration) bool {
	return w.failingSince.Load() != 0 || w.options.Link.unreachableWithin(within)
}

// StoreClock returns the current time of the store's monotonic clock, extrapolated from the
// recent answers and updates.
func (w *Watcher) StoreClock() time.Duration {
	return w.sinceStart() + w.clock.offset()
}

// sinceStart returns the time since the watcher was created; it is always above 0.
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
		case errors.Is(err, errAbandoned), errors.Is(err, errHoldShortened), errors.Is(err, errUpdateReceived):
			continue
		case errors.Is(err, ErrHistoryLost):
			w.log.Warn().Str("event", "history-lost").Stringer("revision", w.revision).Msg("")
			w.hasTable.Store(false)
			continue
		}
		w.recordFailure(err)
		jitter := time.Duration(rand.Int64N(int64(backoff / 2)))
		if w.pauseAfterFailure(ctx, backoff/2+jitter) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if rows, ok := w.takeRows(); ok {
		w.applyUpdate(rows, time.Time{})
		return nil
	}
	if !w.hasTable.Load() {
		if update, at, _ := w.freshUpdate(); w.revision > 0 && w.canApplyRelayed() && w.applyUpdate(update, at) {
			return nil
		}
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
	if rely && (w.applyUpdate(update, at) || w.awaitsParts(update)) {
		w.reliedAt = boottime.Now()
		return w.awaitNextUpdate(ctx, at)
	}
	if w.canApplyRelayed() {
		// The update is too old to rely on, but has newer rows than this host.
		w.applyUpdate(update, at)
		return nil
	}
	hold := w.hold()
	if rely || w.truncated || w.failingSince.Load() != 0 || w.options.Link.unreachable() || w.relays() && w.Stale() {
		// The store must answer at once: there are new changes, or only an answer can show that
		// the store is reachable again or has no more changes, or other hosts wait for the
		// answer.
		hold = 0
	}
	page, answeredAt, err := w.changes(ctx, hold)
	if err != nil {
		return err
	}
	w.applyChanges(changeSet{rows: page.Rows, source: fromStore}, page.Revision)
	if w.truncated = page.Truncated; w.truncated {
		return nil // the data are current only after the last page, which is requested without a pause
	}
	w.recordSuccess(answeredAt)
	switch {
	case len(page.Rows) > 0:
		return w.pauseAfterChange(ctx, answeredAt)
	case hold == 0:
		// There are no changes, although another host announced some or the store was
		// unreachable. Without the pause each host would make hundreds of calls a second until
		// there are.
		return wait.For(ctx, minBackoff)
	}
	return nil
}

// changes requests the changes after w.revision. The store may hold the call for the given time
// until there are any.
func (w *Watcher) changes(ctx context.Context, hold time.Duration) (Page, time.Duration, error) {
	c := &storeCall{kind: "changes", hold: hold, firstPartTimeout: hold + answerTimeout,
		do: func(ctx context.Context, received OnReceived) (Page, error) {
			return w.source.Changes(ctx, w.table, w.revision, hold, received)
		}}
	page, answeredAt, err := w.call(ctx, c)
	w.changedSince = draining.Call{Previous: w.lastAnswer(), Started: c.startedAt, Answered: answeredAt, MayBeHeld: hold > 0}.ChangedSince()
	return page, answeredAt, err
}

// lastAnswer returns the time as of which the watcher has the table, as the time since its start.
func (w *Watcher) lastAnswer() time.Duration { return time.Duration(w.lastAnswerAt.Load()) }

// ChangedSince returns the earliest time at which the changes may have been made that the handler is being passed. It
// may be called by the handler only.
func (w *Watcher) ChangedSince() time.Time { return w.start.Add(w.changedSince) }

// applyChanges passes changes to the handler. A relaying watcher makes them available to other hosts
// before that, since the handler may need long for a large row; any other one does so afterwards,
// since the difference from the previous version of a large row also takes time.
func (w *Watcher) applyChanges(changes changeSet, revision storage.Revision) {
	w.revision = max(w.revision, revision)
	relays := w.relays()
	if relays {
		w.recent.add(changes, w.revision, relays)
	}
	for _, row := range changes.rows {
		w.logLargeRow(row, changes.source, len(changes.deltas))
		w.handler.Change(row)
	}
	if !relays {
		w.recent.add(changes, w.revision, relays)
	}
	w.lag.advance(w.revision)
	w.rejectsDeltas.Store(false)
}

// Stale reports whether the store's last answer is too old for other hosts to rely on this
// host's updates.
func (w *Watcher) Stale() bool {
	age, ok := w.Age()
	return !ok || age > w.followerMaxRelayedAge()
}

func (w *Watcher) relays() bool { return w.options.Relays != nil && w.options.Relays() }

// hold returns how long the store may hold the next call. A relaying watcher whose data are
// already old, since the last answer took long to arrive, has the next one earlier. A lost answer is
// noticed only at the end of the hold; while a hub relays the table, its calls are held briefly, and
// so are those that take their place.
func (w *Watcher) hold() time.Duration {
	if !w.relays() {
		if w.standsInForHub() || w.options.HoldsBriefly != nil && w.options.HoldsBriefly() {
			return min(w.relayHold(), w.options.Hold)
		}
		return w.options.Hold
	}
	age, _ := w.Age()
	return max(0, min(w.relayHold(), w.maxRelayedAge()-age))
}

// standsInForHub reports whether this watcher calls the store because the updates of a hub are too
// old, or were until recently.
func (w *Watcher) standsInForHub() bool {
	if w.reliedAt.IsZero() {
		return false
	}
	hubRelays := w.options.HubAnswers != nil && w.options.HubAnswers() && !w.relayed.unavailable()
	return hubRelays || boottime.Since(w.reliedAt) < standInTime
}

func (w *Watcher) batchDelay() time.Duration {
	if w.relays() {
		return min(RelayBatchDelay, w.options.BatchDelay)
	}
	return w.options.BatchDelay
}

// recordClock records what the store's clock showed at the given time since the watcher's
// start.
func (w *Watcher) recordClock(clock, at time.Duration) {
	w.clock.record(clock, at)
}

// recordSuccess records that the store answered at the given time since the watcher's start. The
// answer must have been applied before, so that updates for other hosts are never older than
// their stated age.
func (w *Watcher) recordSuccess(at time.Duration) {
	answeredAt := int64(at)
	w.lastAnswerAt.Store(max(answeredAt, w.lastAnswerAt.Load()))
	if failingSince := w.failingSince.Load(); failingSince != 0 && answeredAt > failingSince {
		w.failingSince.Store(0)
		w.log.Info().Str("event", "store-regained").Int64("out_ms", (answeredAt-failingSince)/int64(time.Millisecond)).Stringer("revision", w.revision).Msg("")
	}
}

func (w *Watcher) recordFailure(err error) {
	if w.failingSince.CompareAndSwap(0, int64(w.sinceStart())) {
		w.log.Warn().Str("event", "store-lost").Err(err).Stringer("revision", w.revision).Msg("")
	}
}
