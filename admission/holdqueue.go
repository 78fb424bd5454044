package admission

import (
	"cmp"
	"slices"
	"time"
)

// HoldQueue decides which requests a host sends to shared upstreams now, which it
// keeps until an upstream is expected to begin them in time, and which it rejects.
//
// A Scheduler counts the slots of its own requests. A HoldQueue has no capacity of
// its own, because other hosts use the same upstreams: for each decision it is given
// an Estimate of the time to the first event. It is a state machine without
// goroutines, locks or timers, and isn't safe for concurrent use. The caller passes
// the time, whose clock has to advance while the host is suspended.
type HoldQueue struct {
	maxItems, maxBytes int
	count, bytes       int
	lastNumber         uint64
	lines              []*holdLine
	epoch              time.Time
}

const (
	// MaxHeldItems bounds the requests that one host keeps. At the design size a host
	// gets 32 requests a second, and none is kept for longer than half a second.
	MaxHeldItems = 64
	// maxHoldDivisor divides an item's target: the result is the longest time for
	// which it is kept. A caller whose request is rejected after a longer time is
	// served worse than by a rejection at once.
	maxHoldDivisor = 8
	// estimateInterval is the minimum time between two estimates for one item. With an
	// estimate for the head and one for another item in each, which take 14 µs of a core
	// each for 140 upstreams, a queue takes 1% of the 0.144 cores of the smallest host.
	estimateInterval = 20 * time.Millisecond
	// idleWait is the expected wait below which an upstream counts as idle: a round
	// trip and one batch step.
	idleWait = 20 * time.Millisecond
	// lowerPortion is the minimum portion of the work sent, and of the places in the
	// queue, for the items that are less urgent than the most urgent ones. Without
	// it, they would wait as long as there are more urgent items.
	lowerPortion = 1.0 / 8
	// callerWaitDivisor divides a caller's remaining time: callers wait no longer than
	// the result before they return. retrySpread is the fraction of a Retry-After by
	// which it is lengthened at random, so that rejected callers don't return at once.
	callerWaitDivisor = 3
	retrySpread       = 0.25
	// shortestRetryAfter is the smallest Retry-After that callers can be sent, since
	// it is written in seconds with two decimals.
	shortestRetryAfter = 10 * time.Millisecond
	// saturationPrior is the rate, in items a second, of assumed items that began in
	// time. It keeps one late item after a quiet period from counting as saturation,
	// and lets the saturation end when no items arrive.
	saturationPrior = 0.5
)

// Item is a request in a HoldQueue. The caller sets the exported fields before Offer
// and doesn't change them afterwards.
type Item struct {
	// Service is the service that runs the request.
	Service string
	// Priority is the priority; 0 is the most urgent.
	Priority int
	// OverShare is set if the client account uses more than its share. Returning is
	// set if the request was rejected before and returned at the time that it was told.
	OverShare bool
	Returning bool
	// Work is the expected time for which an upstream works on the request alone.
	Work time.Duration
	// Target is the duration from Arrived within which the first event should be
	// sent; 0 means none. Deadline is the time at which the caller leaves.
	Target   time.Duration
	Arrived  time.Time
	Deadline time.Time
	// HeldBefore is the time for which the request was kept before.
	HeldBefore time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int

	number      uint64
	latestStart time.Time
	holdUntil   time.Time
	estimate    Estimate
	estimatedAt time.Time
	// keptFor is the cause of the last verdict to keep the item; empty if there is none.
	keptFor Cause
}

// Estimate is what a host expects if it sends a request to the most suitable upstream
// now.
type Estimate struct {
	// FirstEvent is the time to the first event. Wait is the portion of it before the
	// upstream begins the request.
	FirstEvent time.Duration
	Wait       time.Duration
	// NoUpstream is set if no upstream may be sent the request. Such a request is
	// kept only if SlotExpected is set: newer data on the upstreams' load may show a
	// slot. Otherwise the attempt to send it finds the reason.
	NoUpstream, SlotExpected bool
}

// Unmeetable reports whether no upstream is idle and the first event is expected after
// the deadline, until which the given time is left. Such an item is rejected. A caller
// whose estimate covers only some of the upstreams has to estimate over all before.
func (e Estimate) Unmeetable(left time.Duration) bool {
	return !e.NoUpstream && e.Wait >= idleWait && e.FirstEvent > left
}

// Verdict is what happens to an item.
type Verdict int

const (
	// Keep means that the item stays in the queue.
	Keep Verdict = iota
	// Send means that the item is sent to an upstream now.
	Send
	// Reject means that the item is rejected without running.
	Reject
)

// Cause is the reason for a verdict, as it stands in logs and metrics.
type Cause string

// Causes of verdicts.
const (
	// CauseInTime: the first event is expected within the target.
	CauseInTime Cause = "in-time"
	// CauseIdle: the upstream has no work before the request.
	CauseIdle Cause = "idle"
	// CauseLate: the item was kept for as long as it may be, or would be late at an idle
	// upstream, and its first event is expected before the deadline.
	CauseLate Cause = "late"
	// CauseNoUpstream: no upstream may be sent the request.
	CauseNoUpstream Cause = "no-upstream"
	// CauseNoFreeSlot: no upstream may be sent the request before one has a free slot.
	CauseNoFreeSlot Cause = "no-free-slot"
	// CauseBusy: no upstream can send the first event within the target.
	CauseBusy Cause = "busy"
	// CauseOverShare: items of accounts within their shares are kept.
	CauseOverShare Cause = "over-share"
	// CauseBehind: an item is kept that precedes it and that no upstream can begin in time.
	CauseBehind Cause = "behind"
	// CauseUnmeetable: the first event is expected after the deadline.
	CauseUnmeetable Cause = "unmeetable"
	// CauseExpired: the deadline has passed.
	CauseExpired Cause = "expired"
	// CauseFull: the queue is full, and this item is the last one in its order.
	CauseFull Cause = "queue-full"
)

// Decision is the verdict on an item.
type Decision struct {
	Item    *Item
	Verdict Verdict
	Cause   Cause
	// Estimate is the estimate on which the decision is based.
	Estimate Estimate
	// RetryAfter is, for a rejected item, the time in which the upstreams and the
	// queue are expected to have room for it.
	RetryAfter time.Duration
}

// NewHoldQueue returns an empty HoldQueue whose items have at most maxBytes bytes of
// bodies together.
func NewHoldQueue(maxBytes int) *HoldQueue {
	return &HoldQueue{maxItems: MaxHeldItems, maxBytes: maxBytes}
}

// Offer decides on a new item. The first decision returned is that on the item; the
// others are rejections of items that lost their places to it.
func (q *HoldQueue) Offer(it *Item, e Estimate, now time.Time) []Decision {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	l := q.line(it.Service, now)
	q.lastNumber++
	it.number = q.lastNumber
	it.latestStart = it.Deadline.Add(e.Wait - e.FirstEvent)
	it.holdUntil = now.Add(it.Target/maxHoldDivisor - it.HeldBefore)
	d := q.decide(l, it, e, now)
	l.count(it, d, now.Sub(q.epoch))
	switch d.Verdict {
	case Send:
		l.charge(it)
		return []Decision{d}
	case Reject:
		return []Decision{d}
	}
	if it.BodyBytes > q.maxBytes {
		// It can't be kept, and it has a place at an upstream before its deadline.
		d.Verdict, d.Cause = Send, CauseLate
		return []Decision{d}
	}
	evicted, ok := q.evictFor(it)
	if !ok {
		return []Decision{q.reject(it, CauseFull, now)}
	}
	decisions := []Decision{d}
	for _, other := range evicted {
		q.Remove(other)
		decisions = append(decisions, q.reject(other, CauseFull, now))
	}
	q.add(l, it)
	return decisions
}

// Advance decides again on the items that are due, and returns the decisions to send
// or reject. It calls estimate for at most one item of a service that it decides to
// send: the next decision on the service's items is made after Started, or 50 ms later,
// because estimates don't include an item before its upstream is chosen.
func (q *HoldQueue) Advance(now time.Time, estimate func(*Item) Estimate) []Decision {
	var decisions []Decision
	for _, l := range q.lines {
		for it := l.due(now); it != nil; it = l.due(now) {
			e := it.estimate
			if now.Before(it.Deadline) {
				e = estimate(it)
			}
			d := q.decide(l, it, e, now)
			if d.Verdict == Keep {
				continue
			}
			if d.Verdict == Send {
				l.charge(it)
				l.starting, l.startingAt, l.othersAt = it, now, time.Time{}
			}
			q.Remove(it)
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// Next returns when Advance should be called; ok is false if no item is kept. Advance
// should also be called after Started.
func (q *HoldQueue) Next(now time.Time) (at time.Time, ok bool) {
	at = now.Add(estimateInterval)
	for _, l := range q.lines {
		if l.isStarting(now) {
			continue
		}
		for _, it := range l.items {
			for _, t := range []time.Time{it.holdUntil, it.Deadline} {
				if t.Before(at) {
					at = t
				}
			}
		}
	}
	return at, q.count > 0
}

// Started states that the upstream of an item that Advance decided to send is chosen,
// or that the item won't be sent.
func (q *HoldQueue) Started(it *Item) {
	for _, l := range q.lines {
		if l.starting == it {
			l.starting = nil
		}
	}
}

// Remove removes an item whose caller left. It returns false if the item isn't in the
// queue.
func (q *HoldQueue) Remove(it *Item) bool {
	for _, l := range q.lines {
		if i := slices.Index(l.items, it); i >= 0 {
			l.items = slices.Delete(l.items, i, i+1)
			q.count--
			q.bytes -= it.BodyBytes
			return true
		}
	}
	return false
}

// EndHolds ends the time for which the items may be kept, so that Advance decides to
// send or reject them. Items that are offered later aren't concerned.
func (q *HoldQueue) EndHolds(now time.Time) {
	for _, l := range q.lines {
		for _, it := range l.items {
			it.holdUntil = now
		}
	}
}

// Len returns the number of items in the queue.
func (q *HoldQueue) Len() int { return q.count }

// Position returns the item's position among those of its service, from 1; 0 if it
// isn't in the queue.
func (q *HoldQueue) Position(it *Item) int {
	for _, l := range q.lines {
		if i := slices.Index(l.items, it); i >= 0 {
			return i + 1
		}
	}
	return 0
}

// Saturation returns the decayed fraction, from 0 to 1, of the service's items for
// which no upstream could send the first event within the target when they arrived.
// Items without a target, and those that would be late at an idle upstream, don't count.
func (q *HoldQueue) Saturation(service string, now time.Time) float64 {
	return q.SaturationState(service).At(now)
}

// SaturationState returns the state from which the service's saturation is computed.
func (q *HoldQueue) SaturationState(service string) SaturationState {
	for _, l := range q.lines {
		if l.service == service {
			return SaturationState{arrivals: l.arrivals, late: l.late, epoch: q.epoch}
		}
	}
	return SaturationState{}
}

// SaturationState is the saturation of a service after an Offer. It isn't changed by the
// queue, so that it can be read while the queue is in use.
type SaturationState struct {
	arrivals, late decayedRate
	epoch          time.Time
}

// At returns the saturation at the time if no item is offered until then.
func (s SaturationState) At(now time.Time) float64 {
	at := now.Sub(s.epoch)
	return s.late.valueAt(at) / (s.arrivals.valueAt(at) + saturationPrior)
}

// SpreadRetryAfter returns a Retry-After that differs between callers which are
// rejected at once: up to a quarter longer, by draw, a random number in [0, 1). It is
// at most the time that a caller waits of its remaining time.
func SpreadRetryAfter(base, remaining time.Duration, draw float64) time.Duration {
	base = min(base, time.Duration(float64(remaining)/callerWaitDivisor/(1+retrySpread)))
	return max(shortestRetryAfter, time.Duration(float64(base)*(1+retrySpread*draw)))
}

// decide returns the decision on an item, by the given time only: after a suspension
// of the host it doesn't depend on when the item should have been decided on.
func (q *HoldQueue) decide(l *holdLine, it *Item, e Estimate, now time.Time) Decision {
	it.estimate, it.estimatedAt = e, now
	d := Decision{Item: it, Verdict: Send, Estimate: e}
	left, held := it.Deadline.Sub(now), !now.Before(it.holdUntil)
	switch inTime := e.FirstEvent <= it.Target-now.Sub(it.Arrived); {
	case left <= 0:
		return q.reject(it, CauseExpired, now)
	case e.NoUpstream && e.SlotExpected && !held:
		d.Verdict, d.Cause = Keep, CauseNoFreeSlot
	case e.NoUpstream:
		d.Cause = CauseNoUpstream
	case e.Wait < idleWait:
		d.Cause = CauseIdle
	case e.Unmeetable(left):
		return q.reject(it, CauseUnmeetable, now)
	case inTime && !held && it.OverShare && l.keepsWithinShareBefore(it):
		d.Verdict, d.Cause = Keep, CauseOverShare
	case inTime && !held && l.overtakes(it, now):
		d.Verdict, d.Cause = Keep, CauseBehind
	case inTime:
		d.Cause = CauseInTime
	case held, !it.gainsByWaiting(e, now):
		d.Cause = CauseLate
	default:
		d.Verdict, d.Cause = Keep, CauseBusy
	}
	if d.Verdict == Keep {
		it.keptFor = d.Cause
	}
	return d
}

// gainsByWaiting reports whether an upstream without other work would send the first event
// within what is left of the target. Otherwise the item is late however long it is kept.
func (it *Item) gainsByWaiting(e Estimate, now time.Time) bool {
	return e.FirstEvent-e.Wait <= it.Target-now.Sub(it.Arrived)
}

// reject returns the rejection of an item.
func (q *HoldQueue) reject(it *Item, cause Cause, now time.Time) Decision {
	return Decision{Item: it, Verdict: Reject, Cause: cause, Estimate: it.estimate, RetryAfter: q.untilRoom(it, cause, now)}
}

// untilRoom returns the time in which the upstreams are expected to have worked off
// so much that the item's first event would be sent within its target and, if the
// queue is full, the time in which a place becomes free.
func (q *HoldQueue) untilRoom(it *Item, cause Cause, now time.Time) time.Duration {
	until := it.estimate.FirstEvent - it.Target
	if cause == CauseFull {
		place := maxRetryAfter
		for _, l := range q.lines {
			for _, other := range l.items {
				place = min(place, other.holdUntil.Sub(now))
			}
		}
		until = max(until, place)
	}
	return clampRetryAfter(until)
}

// evictFor returns the items that have to leave the queue so that the new item has a
// place; ok is false if it has none. The last item in the order leaves first.
func (q *HoldQueue) evictFor(it *Item) (evicted []*Item, ok bool) {
	count, bytes := q.count+1, q.bytes+it.BodyBytes
	if count <= q.maxItems && bytes <= q.maxBytes {
		return nil, true
	}
	all := []*Item{it}
	for _, l := range q.lines {
		all = append(all, l.items...)
	}
	slices.SortFunc(all, compareItems)
	for count > q.maxItems || bytes > q.maxBytes {
		i := q.evictionIndex(all, count > q.maxItems)
		last := all[i]
		if last == it {
			return nil, false
		}
		all = slices.Delete(all, i, i+1)
		evicted = append(evicted, last)
		count--
		bytes -= last.BodyBytes
	}
	return evicted, true
}

// evictionIndex returns the index of the item that leaves the full queue. It is the
// last one, unless the items that are less urgent than the most urgent ones have no
// more than their portion of the places or bytes, of which there are too few; then it
// is the last of the most urgent ones.
func (q *HoldQueue) evictionIndex(ordered []*Item, places bool) int {
	lower, count, bytes := 0, 0, 0
	for i, it := range ordered {
		if it.Priority == ordered[0].Priority {
			lower = i + 1
			continue
		}
		count++
		bytes += it.BodyBytes
	}
	withinPortion := float64(bytes) <= lowerPortion*float64(q.maxBytes)
	if places {
		withinPortion = float64(count) <= lowerPortion*float64(q.maxItems)
	}
	if withinPortion {
		return lower - 1
	}
	return len(ordered) - 1
}

func (q *HoldQueue) add(l *holdLine, it *Item) {
	i, _ := slices.BinarySearchFunc(l.items, it, compareItems)
	l.items = slices.Insert(l.items, i, it)
	q.count++
	q.bytes += it.BodyBytes
}

// compareItems orders items: by priority; then those that returned when they were told;
// then those of accounts within their shares; then by the latest start with which the
// deadline is met.
func compareItems(a, b *Item) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareFlags(a.Returning, b.Returning),
		compareFlags(b.OverShare, a.OverShare),
		a.latestStart.Compare(b.latestStart),
		cmp.Compare(a.number, b.number),
	)
}

// compareFlags orders an item with the flag before one without it.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
