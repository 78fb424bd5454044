package quarantine

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"
)

func digest(n uint64) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

const ms = time.Millisecond

// loseAll records that an upstream terminated with the requests.
func loseAll(t *Tracker, upstream Incarnation, at time.Duration, requests ...uint64) {
	for _, r := range requests {
		t.RecordLoss(Loss{Digest: digest(r), Incarnation: upstream, At: at, Ran: time.Second})
	}
}

// A request lost with each of three upstreams gets a verdict. The other requests lost with these
// upstreams get none, though one of them ran at two of the upstreams.
func TestRequestLostWithThreeUpstreamsGetsVerdict(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	loseAll(tr, 1, 0, 1, 10, 11)
	loseAll(tr, 2, 400*ms, 1, 11, 12)
	loseAll(tr, 3, 800*ms, 1, 13)
	is.Equal(tr.FindPoisonRequests(800*ms), nil) // other hosts may still report more
	findings := tr.FindPoisonRequests(800*ms + SettleDelay)
	is.Equal(len(findings), 1)
	is.Equal(findings[0], Finding{Digest: digest(1), Events: 3, Upstreams: 3, UnexplainedTerminations: 3})
	for upstream := Incarnation(1); upstream <= 3; upstream++ {
		is.True(tr.Explained(upstream))
	}
	// Terminations with a request that has a verdict don't count against the other requests that
	// ran at the same upstreams, whether they happened before or after the verdict.
	loseAll(tr, 4, time.Second, 1, 11)
	is.Equal(tr.EventCount(digest(11), time.Second), 0)
	is.Equal(tr.FindPoisonRequests(10*time.Second), nil)
}

// Of two requests with the same losses, neither gets a verdict until an upstream terminates with
// only one of them.
func TestTieGetsNoVerdict(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		loseAll(tr, Incarnation(i), time.Duration(i)*400*ms, 1, 2)
	}
	is.Equal(tr.FindPoisonRequests(10*time.Second), nil)
	loseAll(tr, 9, 11*time.Second, 1)
	findings := tr.FindPoisonRequests(11*time.Second + SettleDelay)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Digest, digest(1))
}

// Two requests that terminate different upstreams in the same period both get a verdict.
func TestTwoPoisonRequestsAtOnce(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 4 {
		loseAll(tr, Incarnation(2*i), time.Duration(i)*500*ms, 1, uint64(100+i))
		loseAll(tr, Incarnation(2*i+1), time.Duration(i)*500*ms+250*ms, 2, uint64(200+i))
	}
	is.Equal(len(tr.FindPoisonRequests(1750*ms+SettleDelay)), 2)
}

// While brittle upstreams terminate one after the other because of their load, a sound request that is sent again each
// time is lost with several of them. A request that is lost with most of them is the cause all the same.
func TestRequestsLostWithOverloadedUpstreamsAreJudged(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	lose := func(i int, request uint64) {
		tr.RecordLoss(Loss{Digest: digest(request), Incarnation: Incarnation(i), At: time.Duration(i) * 100 * ms, Ran: time.Second, Brittle: true})
	}
	for i := range 40 {
		lose(i, uint64(100+i))
		if i%6 == 0 {
			lose(i, 1) // seven times
		}
	}
	is.Equal(tr.FindPoisonRequests(10*time.Second), nil)
	for i := 200; i < 206; i++ {
		lose(i, uint64(100+i))
		if i != 203 {
			lose(i, 2)
		}
	}
	findings := tr.FindPoisonRequests(30 * time.Second)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Digest, digest(2))
}

// A popular request that runs at many upstreams which are killed at once has one event, however
// many upstreams these are.
func TestUpstreamsKilledAtOnceAreOneEvent(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for upstream := range Incarnation(20) {
		loseAll(tr, upstream, time.Duration(upstream)*ms, 1)
	}
	is.Equal(tr.EventCount(digest(1), 0), 1)
	is.Equal(tr.FindPoisonRequests(time.Minute), nil)
}

// A request that terminates upstreams immediately and is retried terminates three within
// milliseconds. Each of its runs began after the previous termination, so it has three events.
// A request that was already running at all three upstreams before the first termination has
// only one event.
func TestRunsBegunAfterATerminationAreSeparateEvents(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		at := time.Second + time.Duration(i)*3*ms
		tr.RecordLoss(Loss{Digest: digest(1), Incarnation: Incarnation(i), At: at, Ran: 2 * ms})
		tr.RecordLoss(Loss{Digest: digest(2), Incarnation: Incarnation(i), At: at, Ran: 500 * ms})
	}
	is.Equal(tr.EventCount(digest(1), time.Second), 3)
	is.Equal(tr.EventCount(digest(2), time.Second), 1)
	findings := tr.FindPoisonRequests(2 * time.Second)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Digest, digest(1))
}

// An answered request is no longer a suspect, and for survivalRetention it needs more events for
// a verdict.
func TestAnsweredRequestsAreSound(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	loseAll(tr, 1, 0, 1)
	loseAll(tr, 2, 500*ms, 1)
	is.Equal(tr.Suspects(500*ms, time.Second, 10), []Suspect{{Digest: digest(1), Events: 2, FirstAt: 0}})
	is.True(tr.RecordSurvival(digest(1), 600*ms))
	is.True(!tr.RecordSurvival(digest(1), 600*ms)) // it has no losses left
	is.True(tr.SurvivedSince(digest(1), 600*ms))
	is.True(!tr.SurvivedSince(digest(1), 601*ms))
	is.Equal(tr.Suspects(600*ms, time.Second, 10), nil)
	for i := range 4 {
		loseAll(tr, Incarnation(10+i), time.Duration(i+1)*time.Second, 1)
	}
	is.Equal(tr.FindPoisonRequests(20*time.Second), nil)
	// With minEventsAnyShare events it gets a verdict: it may terminate the upstreams of another
	// version than the one that answered it.
	loseAll(tr, 14, 21*time.Second, 1)
	is.Equal(len(tr.FindPoisonRequests(22*time.Second)), 1)

	// Once the answer is older than survivalRetention, the usual number of events is enough.
	tr.RecordSurvival(digest(2), 30*time.Second)
	for i := range 3 {
		loseAll(tr, Incarnation(20+i), 2*time.Minute+time.Duration(i)*time.Second, 2)
	}
	is.Equal(len(tr.FindPoisonRequests(3*time.Minute)), 1)
}

// While many upstreams terminate for other reasons, a request needs more than the usual three
// events for a verdict, since it ran at a small share of the terminated upstreams.
func TestUnrelatedTerminationsRequireMoreEvents(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	upstream := Incarnation(0)
	for i := range 4 {
		at := time.Duration(i) * time.Second
		for range 4 {
			upstream++
			loseAll(tr, upstream, at, uint64(1000+upstream))
		}
		upstream++
		loseAll(tr, upstream, at+300*ms, 1)
	}
	is.Equal(tr.FindPoisonRequests(10*time.Second), nil)
	loseAll(tr, 99, 11*time.Second, 1)
	is.Equal(len(tr.FindPoisonRequests(12*time.Second)), 1) // five events are enough whatever the share
}

// The tracker's memory stays bounded however many distinct bodies callers send, and a request
// that is lost with every upstream is still found.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	next := uint64(10)
	for i := range 60 {
		at := time.Duration(i) * time.Second
		loseAll(tr, Incarnation(i), at, 1)
		for range 1000 {
			next++
			loseAll(tr, Incarnation(i), at, next)
		}
		tr.RecordSurvival(digest(next+1_000_000), at)
	}
	is.True(tr.lostOnce.Len() <= maxLostOnce)
	is.True(len(tr.lostRepeatedly) <= maxLostRepeatedly)
	is.True(tr.terminated.Len() <= maxTerminated)
	is.True(tr.survived.Len() <= maxSurvivals)
	for _, upstream := range tr.terminated.Values() {
		is.True(len(upstream.digests) <= maxDigestsPerUpstream+maxLostRepeatedly)
	}
	is.Equal(len(tr.FindPoisonRequests(2*time.Minute)), 1)
}

// An upstream that restarts under the same name counts as another one when it terminates again.
func TestUpstreamsThatKeepTheirNames(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		at := time.Duration(i) * 4 * time.Second
		tr.RecordLoss(Loss{Digest: digest(1), Incarnation: 5, At: at})
		is.True(!tr.RecordLoss(Loss{Digest: digest(1), Incarnation: 5, At: at + 300*ms})) // a late report of the same termination
		tr.RecordLoss(Loss{Digest: digest(uint64(100 + i)), Incarnation: 5, At: at + 20*ms})
	}
	is.Equal(tr.EventCount(digest(1), 9*time.Second), 3)
	is.Equal(len(tr.FindPoisonRequests(10*time.Second)), 1)
	is.True(tr.Explained(5))
}

// When a verdict is withdrawn, the request's losses are dropped, too.
func TestClearVerdict(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.SetVerdict(digest(1))
	loseAll(tr, 1, 0, 1, 2)
	is.True(tr.Explained(1))
	tr.ClearVerdict(digest(1))
	loseAll(tr, 2, time.Second, 1)
	is.True(!tr.Explained(2))
	is.Equal(tr.EventCount(digest(1), time.Second), 1) // the loss before the verdict was withdrawn doesn't count
}
