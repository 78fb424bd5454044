// Package draining decides, apart from I/O, until when an upstream gets requests whose entry was removed from the
// store.
package draining

import "time"

const (
	// Margin is the time before the end of an upstream's service after which no request is sent to it, since
	// the request has to reach it.
	Margin = 500 * time.Millisecond
	// OutageGrace is how long an upstream is still used after the host was notified of the removal of its
	// entry because of an outage of the store. Entries expire in an outage although their upstreams are alive, and
	// upstreams write them again within about two seconds after the outage. With a grace of 1.5 s, a service
	// whose entries had all expired had no upstream for the last half second before its upstreams wrote their
	// entries again.
	OutageGrace = 2200 * time.Millisecond
)

// Removal describes the removal of an upstream's entry, of which a host is notified late.
type Removal struct {
	// NotBefore is the earliest time at which the entry may have been removed: the time as of which
	// the host's data last contained the entry.
	NotBefore time.Time
	// ObservedAt is when the host was notified of the removal.
	ObservedAt time.Time
	// ExpiredInOutage is set if the entry may have expired because of an outage of the store.
	ExpiredInOutage bool
}

// UsableUntil returns the time after which the upstream gets no new requests. use is how long after the removal it gets
// them: the time for which it still serves, less Margin.
func (r Removal) UsableUntil(use time.Duration) time.Time {
	until := r.NotBefore.Add(use)
	if expiry := r.ObservedAt.Add(OutageGrace); r.ExpiredInOutage && expiry.After(until) {
		return expiry
	}
	return until
}

// promptAnswer is the time within which the store answers a call that it doesn't hold.
const promptAnswer = 400 * time.Millisecond

// Call is an answered call of the store for the changes of a table. Its times are on one clock of the host, from any
// start.
type Call struct {
	// Previous is the time as of which the host had the table before the call.
	Previous time.Duration
	// Started and Answered are the times of the call and of its answer.
	Started, Answered time.Duration
	// MayBeHeld is set if the store was asked to hold the call until there are changes.
	MayBeHeld bool
}

// ChangedSince returns the earliest time at which the changes in the answer may have been made. The store answers a
// call that it holds as soon as there is a change; otherwise the changes may be as old as the previous answer.
func (c Call) ChangedSince() time.Duration {
	if c.MayBeHeld && c.Answered-c.Started > promptAnswer {
		return max(c.Previous, c.Answered-promptAnswer)
	}
	return c.Previous
}
