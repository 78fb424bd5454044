package history

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// acceptedManifest is an accepted manifest and the period in which it can have
// been in force on a host.
type acceptedManifest struct {
	event Event
	// earliest is when the manifest was submitted. latest is when its successor
	// was accepted, plus the bound for the successor to be in force on all hosts.
	earliest, latest time.Duration
}

// acceptedManifests returns the accepted manifests in the order of their epochs, each
// epoch once. bound is the time within which a manifest is in force on all hosts.
func acceptedManifests(events []Event, bound time.Duration) []acceptedManifest {
	submitted := make(map[string]time.Duration)
	var list []acceptedManifest
	for _, e := range events {
		switch e.Kind {
		case ManifestSubmitted:
			if _, again := submitted[e.Digest]; !again {
				submitted[e.Digest] = e.At
			}
		case ManifestAccepted:
			list = append(list, acceptedManifest{event: e, earliest: submissionTime(submitted, e), latest: math.MaxInt64})
		}
	}
	slices.SortStableFunc(list, func(a, b acceptedManifest) int {
		return cmp.Compare(a.event.Epoch, b.event.Epoch)
	})
	list = slices.CompactFunc(list, func(a, b acceptedManifest) bool {
		return a.event.Epoch == b.event.Epoch
	})
	for i := range len(list) - 1 {
		list[i].latest = list[i+1].event.At + bound
	}
	return list
}

// submissionTime returns when the manifest of acceptance e was submitted, or the
// time of e if no submission is recorded.
func submissionTime(submitted map[string]time.Duration, e Event) time.Duration {
	if at, found := submitted[e.Digest]; found {
		return at
	}
	return e.At
}

// possiblyInForce returns the manifests that can have been in force on some host
// at some time from begin to end.
func possiblyInForce(list []acceptedManifest, begin, end time.Duration) []acceptedManifest {
	var some []acceptedManifest
	for _, m := range list {
		if m.earliest <= end && begin <= m.latest {
			some = append(some, m)
		}
	}
	return some
}

// permits reports whether the manifest lets the account use the version.
func (m acceptedManifest) permits(account string, v Version) bool {
	return slices.Contains(m.event.Permits, Permit{Account: account, Version: v}) && !m.withdraws(v)
}

// withdraws reports whether the manifest withdraws the version.
func (m acceptedManifest) withdraws(v Version) bool {
	return slices.Contains(m.event.Withdrawn, v)
}
