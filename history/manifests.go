package history

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// accepted is a manifest and when a host may have worked by it.
type accepted struct {
	event Event
	// from is the earliest time that it can have been in force: its
	// submission. until is the latest: its successor's acceptance and the time
	// that it takes to be in force everywhere.
	from, until time.Duration
}

// manifests returns the accepted manifests by epoch. One epoch stands once.
func manifests(events []Event, bound time.Duration) []accepted {
	submitted := make(map[string]time.Duration)
	var list []accepted
	for _, e := range events {
		switch e.Kind {
		case ManifestSubmitted:
			if _, again := submitted[e.Digest]; !again {
				submitted[e.Digest] = e.At
			}
		case ManifestAccepted:
			list = append(list, accepted{event: e, from: from(submitted, e), until: math.MaxInt64})
		}
	}
	slices.SortStableFunc(list, func(a, b accepted) int {
		return cmp.Compare(a.event.Epoch, b.event.Epoch)
	})
	list = slices.CompactFunc(list, func(a, b accepted) bool {
		return a.event.Epoch == b.event.Epoch
	})
	for i := range len(list) - 1 {
		list[i].until = list[i+1].event.At + bound
	}
	return list
}

// from returns when the manifest of an acceptance was submitted; one whose
// submission isn't recorded counts from its acceptance.
func from(submitted map[string]time.Duration, e Event) time.Duration {
	if at, found := submitted[e.Digest]; found {
		return at
	}
	return e.At
}

// possible returns the manifests that can have been in force somewhere at some
// time from begin to end.
func possible(list []accepted, begin, end time.Duration) []accepted {
	var some []accepted
	for _, m := range list {
		if m.from <= end && begin <= m.until {
			some = append(some, m)
		}
	}
	return some
}

// permits reports whether the manifest lets the account use the version.
func (m accepted) permits(account string, v Version) bool {
	return slices.Contains(m.event.Permits, Permit{Account: account, Version: v}) && !m.withdraws(v)
}

// withdraws reports whether the manifest withdraws the version.
func (m accepted) withdraws(v Version) bool {
	return slices.Contains(m.event.Withdrawn, v)
}
