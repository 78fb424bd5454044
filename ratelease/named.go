package ratelease

import (
	"math"
	"time"
)

const (
	// repeatTime is how long a hub takes at most to repeat what a host tells it, over
	// other hubs and back.
	repeatTime = 3 * time.Second
	// settleTime is how long after a limit was named last unnamedToEnd answers without one
	// end it, longSettleTime is the same for a single answer.
	settleTime     = time.Second
	unnamedToEnd   = 2
	longSettleTime = 5 * time.Second
	// sayPause is the least time between two words to the hub of one upstream.
	sayPause = time.Second
	// sameLimit is the part by which a limit changes that is worth no word: those who hold
	// leases hear it with their answers.
	sameLimit = 0.1
	// loneAfter is how long a host waits for a root of the hubs' tree before it tries limited
	// upstreams without a lease: all leases that others may have are over by then.
	loneAfter = 5 * time.Second
)

// Word is what an upstream's answer told of its limit.
type Word struct {
	Upstream Upstream
	Limit    Limit
	// Ended says that the upstream names no limit any more.
	Ended bool
	// Age is how long ago the answer came.
	Age time.Duration
}

// Contact is what a host knows of its hub.
type Contact struct {
	// since is when the hub began to answer, last when it did last.
	since, last time.Time
	// rooted is when a root of the hubs' tree stood behind it.
	rooted time.Time
}

// NewContact is the contact of a host that started at the time.
func NewContact(startedAt time.Time) Contact { return Contact{rooted: startedAt} }

// Heard is the contact once the hub answered; rooted is when a root stood behind it last.
func (c Contact) Heard(now, rooted time.Time) Contact {
	if now.Sub(c.last) > LeaseTime {
		c.since = now
	}
	c.last = now
	if rooted.After(c.rooted) {
		c.rooted = rooted
	}
	return c
}

// repeats says whether the hub had the time to repeat what it was told at a time: what it
// doesn't repeat is over.
func (c Contact) repeats(told, now time.Time) bool {
	if now.Sub(c.last) > LeaseTime {
		return false
	}
	if c.since.After(told) {
		told = c.since
	}
	return now.Sub(told) >= repeatTime
}

// Lone says since when no lease can come, if none can.
func (c Contact) Lone(now time.Time) (since time.Time, lone bool) {
	since = c.rooted.Add(loneAfter)
	return since, !now.Before(since)
}

// Named is what a host knows of the rate that an upstream takes of all hosts: by answers to
// its own requests, and by its hub's word of all hosts' answers. The hub's word decides in the
// end, so that hosts agree; until the hub had the time to repeat it, an own answer counts. The
// zero value knows of no limit.
type Named struct {
	// own is the limit that an answer to this host named last, at ownAt; there is none if
	// that is zero.
	own   Limit
	ownAt time.Time
	// told is the hub's word, if isTold, of an answer at toldAt.
	told   Limit
	isTold bool
	toldAt time.Time
	// unnamed counts the answers since that named no limit, endedAt is when they showed that
	// it ended.
	unnamed int
	endedAt time.Time
	// saidAt is when the hub was told last, of is in how many parts a root splits the limit.
	saidAt time.Time
	of     int
}

// Limited says whether the upstream has a limit.
func (n *Named) Limited(c Contact, now time.Time) bool {
	return n.isTold || !n.ownAt.IsZero() && !c.repeats(n.ownAt, now)
}

// Limit is the one named last.
func (n *Named) Limit() Limit {
	if n.ownAt.After(n.toldAt) || !n.isTold {
		return n.own
	}
	return n.told
}

// Split is in how many parts a root splits the limit. It changes by halves and doubles only:
// none of the parts is used for a moment then.
func (n *Named) Split(roots int) int {
	if want := n.Limit().Parts(roots); n.of == 0 || want >= 2*n.of || 2*want <= n.of {
		n.of = want
	}
	return n.of
}

// Observe takes in an answer that named a limit. say says that the hub is to be told.
func (n *Named) Observe(limit Limit, now time.Time) (say bool) {
	n.own, n.ownAt, n.unnamed = limit, now, 0
	if n.isTold && math.Abs(float64(limit-n.told)) <= sameLimit*float64(n.told) {
		return false
	}
	return n.maySay(now)
}

// ObserveNone takes in an answer, to a request that was sent at a time, which named no limit
// though the upstream had one. say says that the hub is to be told.
func (n *Named) ObserveNone(sentAt, now time.Time) (say bool) {
	last := n.ownAt
	if n.isTold && n.toldAt.After(last) {
		last = n.toldAt
	}
	if sentAt.Before(last) {
		return false
	}
	n.unnamed++
	silent := now.Sub(last)
	if silent < settleTime || silent < longSettleTime && n.unnamed < unnamedToEnd {
		return false
	}
	n.ownAt, n.endedAt = time.Time{}, now
	return n.isTold && n.maySay(now)
}

func (n *Named) maySay(now time.Time) bool { return now.Sub(n.saidAt) >= sayPause }

// Say is what the hub is told of the upstream.
func (n *Named) Say(u Upstream, now time.Time) Word {
	n.saidAt = now
	switch {
	case !n.ownAt.IsZero():
		return Word{Upstream: u, Limit: n.own, Age: now.Sub(n.ownAt)}
	case n.isTold && n.toldAt.After(n.endedAt):
		return Word{Upstream: u, Limit: n.told, Age: now.Sub(n.toldAt)}
	default:
		return Word{Upstream: u, Ended: true, Age: now.Sub(n.endedAt)}
	}
}

// Take takes the hub's word.
func (n *Named) Take(word Word, now time.Time) {
	at := now.Add(-word.Age)
	n.isTold, n.told, n.toldAt, n.unnamed = !word.Ended, word.Limit, at, 0
	if word.Ended && at.After(n.ownAt) {
		n.ownAt = time.Time{}
	}
}

// None says that neither an answer nor the hub names a limit.
func (n *Named) None() bool { return !n.isTold && n.ownAt.IsZero() }

// Told says whether the hub's word is that the upstream has a limit.
func (n *Named) Told() bool { return n.isTold }

// Forget has the host split the limit anew when the next one is named.
func (n *Named) Forget() { n.of = 0 }
