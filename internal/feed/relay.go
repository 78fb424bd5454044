package feed

import (
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// defaultApplyTime is the value of Options.ApplyTime if the deployment's settings have
	// none.
	defaultApplyTime = 2 * time.Second
	// followerMaxAgeFraction, times ApplyTime, is the maximum age of a relayed update at which
	// a watcher makes no calls of its own. If the relaying host is disconnected, suspended or
	// gone, the watcher calls the store itself after this time, and has the answer well within
	// the remaining part of ApplyTime.
	followerMaxAgeFraction = 0.65
	// hubMaxAgeFraction, times ApplyTime, is the maximum age of a relayed update at which a
	// relaying watcher, whose updates its host relays to other hosts in turn, makes no calls of
	// its own. It is lower than followerMaxAgeFraction, so that this watcher has called the
	// store and relayed the answer before the other hosts' updates become too old. Otherwise all
	// followers of a hub would call the store at once.
	hubMaxAgeFraction = 0.5
	// relayHoldFraction, times ApplyTime, is how long the store holds a call by a relaying
	// watcher. The answer is relayed a few times a second and passes through two hosts at most;
	// one failed exchange between hosts must not make it too old.
	relayHoldFraction = 0.35
	// RelayBatchDelay is the maximum pause after a change, in place of a longer
	// Options.BatchDelay, while other hosts rely on the watcher. Its calls serve many hosts, so
	// the age of the data matters more than the number of calls.
	RelayBatchDelay = 200 * time.Millisecond
	// standInTime is how long after the loss of its hub a watcher's calls are held as briefly as the
	// hub's were. Hosts find another hub within two seconds; without any hub for good, longer holds
	// save calls.
	standInTime = 5 * time.Second
	// transferFraction, times ApplyTime, is how long a watcher waits for changes that another host
	// sends in parts before it calls the store as well.
	transferFraction = 0.35
	// slowAnswer is the time for which an answer of the store has been arriving from which the
	// watcher accepts newer rows from any host.
	slowAnswer = 300 * time.Millisecond
	// storeOverhead is how much longer rows are in the store's answers, which encode them in base64.
	storeOverhead = 4. / 3
	// minPackedBytes is the size of rows in bytes from which they are sent in packed form.
	minPackedBytes = 1 << 10
)

// Update is an update of a table that one host sends to another.
type Update struct {
	// Rows holds the changes of the table after Since, up to Revision.
	Since    storage.Revision
	Revision storage.Revision
	Rows     []Row
	// Complete reports that Rows, Packed and Deltas hold all of these changes; otherwise they are
	// empty.
	Complete bool
	// Packed holds the rows in packed form if they are large; Rows is empty then.
	Packed []byte
	// Deltas holds the changes of large rows as differences from the versions that the receiver
	// has, in the order of their revisions. Rows or Packed hold all other changes.
	Deltas []RowDelta
	// IsSnapshot reports that Packed holds the whole table as of Revision instead of changes;
	// Since and Complete are unused then.
	IsSnapshot bool
	// Remaining is the time until the other host has probably sent the changes, which it sends in
	// parts; 0 if it doesn't. Complete is false then.
	Remaining time.Duration
	// Outdated reports that the sender has been reading newer data from the store for long. The
	// receiver must not rely on the update, but it can apply the rows.
	Outdated bool
	// Age is the time from the store's answer until the sender put the update into its reply.
	Age time.Duration
	// Clock is the time of the store's monotonic clock when the sender put the update into its
	// reply.
	Clock time.Duration
}

// PackedBytes returns the size in bytes of the packed rows and the deltas.
func (u *Update) PackedBytes() int {
	size := len(u.Packed)
	for _, d := range u.Deltas {
		size += len(d.Delta)
	}
	return size
}

// HasRows reports whether the update holds any changes.
func (u *Update) HasRows() bool { return len(u.Rows) > 0 || u.Packed != nil || len(u.Deltas) > 0 }

// relayedUpdate holds the newest update from another host.
type relayedUpdate struct {
	mu     sync.Mutex
	update Update
	// answeredAt is when the store had answered the host that sent the update.
	answeredAt time.Time
	// rows is an update that this host doesn't rely on; nil if there is none.
	rows *Update
	// notRelayed reports that the other host doesn't relay the table.
	notRelayed bool
	// updated is signaled with each update, and when the other host is known not to relay the
	// table.
	updated chan struct{}
}

// Offer stores an update from another host, received in the reply to a request that was sent at
// requestedAt. The update's data are as of update.Age before requestedAt.
func (w *Watcher) Offer(update Update, requestedAt time.Time) {
	r := &w.relayed
	r.mu.Lock()
	r.update = update
	r.answeredAt = requestedAt.Add(-update.Age)
	if update.Outdated {
		r.answeredAt = time.Time{}
	}
	r.notRelayed = false
	r.mu.Unlock()
	w.recordClock(update.Clock, w.sinceStart())
	w.recordLag(update)
	r.signal()
	switch {
	case !w.canApplyRelayed():
	case update.HasRows():
		w.inFlight.cancel(errUpdateReceived)
	default:
		// The answer that is arriving may have changes that the other host doesn't have yet.
		w.inFlight.cancelUnanswered(-1, errUpdateReceived)
	}
}

// recordLag records that this host lacks changes if the update shows so.
func (w *Watcher) recordLag(update Update) {
	if update.Revision <= w.Revision() || update.Complete && !update.HasRows() {
		return
	}
	w.lag.add(update.Revision, w.sinceStart())
	w.lag.advance(w.Revision()) // the changes may have been applied since the comparison
}

// MissingSince returns for how long this host has had a change that a host with the table as of the
// revision doesn't have, or 0 if it has none.
func (w *Watcher) MissingSince(revision storage.Revision) time.Duration {
	return w.recent.missingSince(revision)
}

// canAdvance reports whether another host sent an update that can be applied, so that a wait for
// the store should end.
func (w *Watcher) canAdvance() bool {
	r := &w.relayed
	r.mu.Lock()
	rows := r.rows
	r.mu.Unlock()
	return w.canApplyRelayed() || rows != nil && w.canApply(*rows)
}

// canApplyRelayed reports the same of the last update of the relaying host. A watcher without the
// table applies a snapshot only if it can rely on it. After lost history it also applies one that is
// newer than its rows; it would otherwise apply the same snapshot again and again.
func (w *Watcher) canApplyRelayed() bool {
	update, _, fresh := w.freshUpdate()
	known := w.Revision()
	return (fresh || w.hasTable.Load() || known > 0 && update.Revision > known) && w.canApply(update)
}

// canApply reports whether the update has newer rows than this host, and wasn't found unusable.
func (w *Watcher) canApply(update Update) bool {
	return update.variant() != w.unusable.Load() && update.advances(w.Revision(), w.hasTable.Load())
}

// variant identifies the update's revision and whether it has deltas: where deltas of a revision can't
// be applied, whole rows of the same revision still can.
func (u *Update) variant() uint64 {
	variant := uint64(u.Revision) << 1
	if len(u.Deltas) > 0 {
		variant |= 1
	}
	return variant
}

// HubLost discards the last update from another host, since that host stopped answering. The
// watcher calls the store at once rather than when the update becomes too old: the answer may take
// long, and the time until then would add to it.
func (w *Watcher) HubLost() {
	r := &w.relayed
	r.mu.Lock()
	r.answeredAt = time.Time{}
	r.mu.Unlock()
	r.signal()
}

// OfferRows stores an update from another host that this host doesn't rely on. The watcher applies
// its rows if they are newer than its own, which may save it a long answer of the store.
func (w *Watcher) OfferRows(update Update) {
	if !update.HasRows() || update.Revision <= w.Revision() || !w.canApply(update) {
		return
	}
	r := &w.relayed
	r.mu.Lock()
	r.rows = &update
	r.mu.Unlock()
	w.recordLag(update)
	r.signal()
	w.inFlight.cancel(errUpdateReceived)
}

// takeRows returns the last update that OfferRows stored, once, if it can be applied.
func (w *Watcher) takeRows() (update Update, ok bool) {
	r := &w.relayed
	r.mu.Lock()
	rows := r.rows
	r.rows = nil
	r.mu.Unlock()
	if rows == nil || rows.Revision <= w.Revision() || !w.canApply(*rows) {
		return Update{}, false
	}
	return *rows, true
}

// OfferIfDisconnected stores another host's update as Offer does, but only while the watcher's
// own calls fail, and as OfferRows does otherwise. It is meant for a relaying watcher: if two hosts
// relied on each other's updates, the data of both would grow old.
func (w *Watcher) OfferIfDisconnected(update Update, requestedAt time.Time) {
	if w.Disconnected() {
		w.Offer(update, requestedAt)
		return
	}
	w.OfferRows(update)
}

// Disconnected reports whether the host's own calls of the store fail.
func (w *Watcher) Disconnected() bool {
	return w.failingSince.Load() != 0 || w.options.Link.unreachable()
}

// NeedsRows reports whether the watcher should get newer rows from another host that has had them for
// the given time, since its own calls of the store fail or take long. While the table isn't needed, it
// shouldn't.
func (w *Watcher) NeedsRows(behindFor time.Duration) bool {
	if w.options.Needed != nil && !w.options.Needed() {
		return false
	}
	return w.Disconnected() || w.readsSlowly() || behindFor >= w.relayHold()+w.batchDelay()
}

// readsSlowly reports whether an answer of the store has been arriving for slowAnswer.
func (w *Watcher) readsSlowly() bool {
	since, _ := w.receiving()
	return since >= slowAnswer
}

// IsOutdated reports whether the table is needed and the store's last answer is older than the calls
// of this watcher account for, so that other hosts shouldn't wait for rows from this one.
func (w *Watcher) IsOutdated() bool {
	if w.options.Needed != nil && !w.options.Needed() {
		return false
	}
	limit := w.options.Hold + answerTimeout
	if w.relays() || w.options.HoldsBriefly != nil && w.options.HoldsBriefly() {
		limit = w.followerMaxRelayedAge()
	}
	age, ok := w.Age()
	return !ok || age > limit
}

// SetNotRelayed records that the other host doesn't relay the table, so that the watcher need
// not wait for an update.
func (w *Watcher) SetNotRelayed() {
	r := &w.relayed
	r.mu.Lock()
	r.notRelayed = true
	r.mu.Unlock()
	r.signal()
}

func (r *relayedUpdate) signal() {
	select {
	case r.updated <- struct{}{}:
	default: // a signal is already pending
	}
}

// unavailable reports whether the other host doesn't relay the table.
func (r *relayedUpdate) unavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notRelayed
}

// freshUpdate returns the last update from another host, the time that it is as of, and whether
// it is recent enough to rely on.
func (w *Watcher) freshUpdate() (update Update, at time.Time, ok bool) {
	r := &w.relayed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update, r.answeredAt, !r.answeredAt.IsZero() && boottime.Since(r.answeredAt) < w.maxRelayedAge()
}

// maxRelayedAge returns the age up to which this watcher relies on another host's update.
func (w *Watcher) maxRelayedAge() time.Duration {
	if w.relays() {
		return time.Duration(hubMaxAgeFraction * float64(w.options.ApplyTime))
	}
	return w.followerMaxRelayedAge()
}

// followerMaxRelayedAge returns the result of maxRelayedAge for watchers that don't relay.
func (w *Watcher) followerMaxRelayedAge() time.Duration {
	return time.Duration(followerMaxAgeFraction * float64(w.options.ApplyTime))
}

// relayHold returns how long the store holds a call while other hosts rely on the watcher.
func (w *Watcher) relayHold() time.Duration {
	return time.Duration(relayHoldFraction * float64(w.options.ApplyTime))
}

// HasFreshUpdate reports whether the last update from another host is recent enough to rely on.
func (w *Watcher) HasFreshUpdate() bool {
	_, _, ok := w.freshUpdate()
	return ok
}

// UpdateSince returns the update for a host that has the table as of the revision, with deltas of
// large rows if withDeltas is set. It leaves out the changes if they take more than maxPacked
// bytes in packed form. ok is false if the watcher doesn't have the table.
func (w *Watcher) UpdateSince(since storage.Revision, withDeltas bool, maxPacked int) (update Update, ok bool) {
	age, answered := w.Age()
	if !answered {
		return Update{}, false
	}
	if update, ok = w.recent.updateSince(since, withDeltas); !ok {
		return Update{}, false
	}
	if update.PackedBytes() > maxPacked {
		update.Rows, update.Packed, update.Deltas, update.Complete = nil, nil, nil, false
	}
	update.Age = age
	update.Clock = w.StoreClock()
	update.Outdated = w.readsLongAnswer()
	return update, true
}

// Revision returns the newest revision whose changes were received. The handler may still be
// processing them.
func (w *Watcher) Revision() storage.Revision {
	w.recent.mu.Lock()
	defer w.recent.mu.Unlock()
	return w.recent.revision
}
