package admission

import (
	"slices"
	"time"
)

// holdLine holds the items of one service in a HoldQueue.
type holdLine struct {
	service string
	// items are the items in their order.
	items []*Item
	// credit is the work that the less urgent items are owed of their portion.
	credit time.Duration
	// starting is the item that was decided to be sent at startingAt and whose upstream
	// isn't chosen yet; nil if there is none.
	starting   *Item
	startingAt time.Time
	// othersAt is the last time at which an item other than the head was decided on.
	othersAt time.Time
	// arrivals and late are the decayed rates of the items offered that count in the
	// saturation, and of those for which no upstream could send the first event in time.
	arrivals, late decayedRate
}

// maxStarting is how long the next decision waits for the choice of an upstream, which
// takes less than a millisecond. Without it, one item for which Started isn't called, for
// example because its goroutine gets no processor time, would block all others.
const maxStarting = 50 * time.Millisecond

// isStarting reports whether the upstream of an item is being chosen.
func (l *holdLine) isStarting(now time.Time) bool {
	return l.starting != nil && now.Sub(l.startingAt) < maxStarting
}

// minLineRate is the rate of arriving items, in items a second, below which a line
// without items is dropped.
const minLineRate = 0.01

// line returns the service's line, which it creates if needed. It drops unused lines
// then, since documents may name other services over time.
func (q *HoldQueue) line(service string, now time.Time) *holdLine {
	for _, l := range q.lines {
		if l.service == service {
			return l
		}
	}
	q.lines = slices.DeleteFunc(q.lines, func(l *holdLine) bool {
		return len(l.items) == 0 && !l.isStarting(now) && l.arrivals.valueAt(now.Sub(q.epoch)) < minLineRate
	})
	l := &holdLine{service: service}
	q.lines = append(q.lines, l)
	return l
}

// count counts a new item in the saturation, which depends on the wait at the upstreams. An item that
// is late without any wait doesn't count.
func (l *holdLine) count(it *Item, d Decision, at time.Duration) {
	if it.Target <= 0 || d.Cause == CauseLate && !it.gainsByWaiting(d.Estimate, it.estimatedAt) {
		return
	}
	l.arrivals.add(at, 1)
	if d.Cause == CauseBusy || d.Cause == CauseLate || d.Cause == CauseUnmeetable {
		l.late.add(at, 1)
	}
}

// due returns the item to decide on now; nil if there is none. Items whose time is over
// come first, then the head. The other items take turns, one in each estimateInterval:
// the head may be restricted to upstreams that are all busy while others are idle.
func (l *holdLine) due(now time.Time) *Item {
	if l.isStarting(now) || len(l.items) == 0 {
		return nil
	}
	for _, it := range l.items {
		if !now.Before(it.holdUntil) || !now.Before(it.Deadline) {
			return it
		}
	}
	head := l.head()
	if now.Sub(head.estimatedAt) >= estimateInterval {
		return head
	}
	if now.Sub(l.othersAt) < estimateInterval {
		return nil
	}
	oldest := head
	for _, it := range l.items {
		if it != head && (oldest == head || it.estimatedAt.Before(oldest.estimatedAt)) {
			oldest = it
		}
	}
	if now.Sub(oldest.estimatedAt) < estimateInterval {
		return nil
	}
	l.othersAt = now
	return oldest
}

// head returns the item that is to be sent next: the first of the less urgent ones if
// they are owed that much work, and the first of all otherwise.
func (l *holdLine) head() *Item {
	if lower := l.firstLower(); lower != nil && l.credit >= lower.Work {
		return lower
	}
	return l.items[0]
}

// firstLower returns the first item that is less urgent than the most urgent ones; nil
// if there is none.
func (l *holdLine) firstLower() *Item {
	i := slices.IndexFunc(l.items, func(it *Item) bool { return it.Priority > l.items[0].Priority })
	if i < 0 {
		return nil
	}
	return l.items[i]
}

// charge adjusts the credit of the less urgent items for an item that is sent. The
// credit is bounded by the work of the first of them, so that it can't be saved up.
func (l *holdLine) charge(it *Item) {
	lower := l.firstLower()
	switch {
	case lower == nil:
		l.credit = 0
	case it.Priority > l.items[0].Priority:
		l.credit = max(0, l.credit-it.Work)
	default:
		l.credit = min(lower.Work, l.credit+time.Duration(lowerPortion*float64(it.Work)))
	}
}

// keepsWithinShareBefore reports whether an item of an account within its share is
// kept that comes before the given item in the order.
func (l *holdLine) keepsWithinShareBefore(it *Item) bool {
	return slices.ContainsFunc(l.items, func(other *Item) bool {
		return other != it && !other.OverShare && compareItems(other, it) < 0
	})
}

// maxEstimateAge is the age from which on the estimate for a kept item no longer keeps new items from
// being sent. The item to be sent next is estimated every estimateInterval, and on a busy host a few
// milliseconds later; with that interval as the bound, items that arrive then would overtake it.
const maxEstimateAge = 2 * estimateInterval

// overtakes reports whether the item, if it were sent now, would overtake a kept one that is more urgent
// or whose caller returned when it was told, and for which the last estimate found no upstream in time.
// The sent item would take the place at an upstream that the kept one is waiting for. The less urgent
// item that is owed its portion of the work overtakes nothing.
func (l *holdLine) overtakes(it *Item, now time.Time) bool {
	if len(l.items) == 0 || l.head() == it {
		return false
	}
	return slices.ContainsFunc(l.items, func(other *Item) bool {
		before := other.Priority < it.Priority || other.Priority == it.Priority && other.Returning && !it.Returning
		return before && other.keptFor == CauseBusy && now.Sub(other.estimatedAt) < maxEstimateAge
	})
}
