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

// lose takes in that an upstream ended with the requests.
func lose(t *Tracker, upstream Incarnation, at time.Duration, requests ...uint64) {
	for _, r := range requests {
		t.Lose(Loss{Digest: digest(r), Incarnation: upstream, At: at, Ran: time.Second})
	}
}

// A request that is at each of three ends is judged; those beside it aren't, though one
// of them ran at two of the upstreams.
func TestTheCommonRequestIsJudged(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	lose(tr, 1, 0, 1, 10, 11)
	lose(tr, 2, 400*ms, 1, 11, 12)
	lose(tr, 3, 800*ms, 1, 13)
	is.Equal(tr.Judge(800*ms), nil) // other hosts may still tell more
	f := tr.Judge(800*ms + Settle)
	is.Equal(len(f), 1)
	is.Equal(f[0], Finding{Digest: digest(1), Events: 3, Upstreams: 3, Lost: 3})
	for upstream := Incarnation(1); upstream <= 3; upstream++ {
		is.True(tr.Explained(upstream))
	}
	// What ran beside it is cleared, also of ends that come later.
	lose(tr, 4, time.Second, 1, 11)
	is.Equal(tr.Events(digest(11), time.Second), 0)
	is.Equal(tr.Judge(10*time.Second), nil)
}

// A request that was at the same ends as another one is told apart by the next end.
func TestATieIsntJudged(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		lose(tr, Incarnation(i), time.Duration(i)*400*ms, 1, 2)
	}
	is.Equal(tr.Judge(10*time.Second), nil)
	lose(tr, 9, 11*time.Second, 1)
	f := tr.Judge(11*time.Second + Settle)
	is.Equal(len(f), 1)
	is.Equal(f[0].Digest, digest(1))
}

// Two requests that end upstreams at the same time are both judged.
func TestTwoAtOnce(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 4 {
		lose(tr, Incarnation(2*i), time.Duration(i)*500*ms, 1, uint64(100+i))
		lose(tr, Incarnation(2*i+1), time.Duration(i)*500*ms+250*ms, 2, uint64(200+i))
	}
	is.Equal(len(tr.Judge(1750*ms+Settle)), 2)
}

// A popular request that is at a third of all upstreams when these are killed is at one
// event, however many upstreams that are.
func TestUpstreamsKilledAtOnceAreOneEvent(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for upstream := range Incarnation(20) {
		lose(tr, upstream, time.Duration(upstream)*ms, 1)
	}
	is.Equal(tr.Events(digest(1), 0), 1)
	is.Equal(tr.Judge(time.Minute), nil)
}

// A request that ends upstreams at once and is sent on ends three within milliseconds: each of
// its runs began after the end before. Of upstreams that are killed at once each had run it
// before that.
func TestRunsThatBeganAfterTheEndBeforeAreEvents(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		at := time.Second + time.Duration(i)*3*ms
		tr.Lose(Loss{Digest: digest(1), Incarnation: Incarnation(i), At: at, Ran: 2 * ms})
		tr.Lose(Loss{Digest: digest(2), Incarnation: Incarnation(i), At: at, Ran: 500 * ms})
	}
	is.Equal(tr.Events(digest(1), time.Second), 3)
	is.Equal(tr.Events(digest(2), time.Second), 1)
	f := tr.Judge(2 * time.Second)
	is.Equal(len(f), 1)
	is.Equal(f[0].Digest, digest(1))
}

// What was answered is no longer suspected, and for some time it takes more to judge it.
func TestAnsweredRequestsAreSound(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	lose(tr, 1, 0, 1)
	lose(tr, 2, 500*ms, 1)
	is.Equal(tr.Suspects(500*ms, time.Second, 10), []Suspicion{{Digest: digest(1), Events: 2, First: 0}})
	is.True(tr.Survive(digest(1), 600*ms))
	is.True(!tr.Survive(digest(1), 600*ms)) // that is no news
	is.True(tr.SurvivedSince(digest(1), 600*ms))
	is.True(!tr.SurvivedSince(digest(1), 601*ms))
	is.Equal(tr.Suspects(600*ms, time.Second, 10), nil)
	for i := range 4 {
		lose(tr, Incarnation(10+i), time.Duration(i+1)*time.Second, 1)
	}
	is.Equal(tr.Judge(20*time.Second), nil)
	// The next version's upstreams may end by it all the same.
	lose(tr, 14, 21*time.Second, 1)
	is.Equal(len(tr.Judge(22*time.Second)), 1)

	// Long after an answer it takes no more than for others.
	tr.Survive(digest(2), 30*time.Second)
	for i := range 3 {
		lose(tr, Incarnation(20+i), 2*time.Minute+time.Duration(i)*time.Second, 2)
	}
	is.Equal(len(tr.Judge(3*time.Minute)), 1)
}

// Where upstreams end for other reasons, three ends with a request say little.
func TestOtherEndsAskForMore(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	upstream := Incarnation(0)
	for i := range 4 {
		at := time.Duration(i) * time.Second
		for range 4 {
			upstream++
			lose(tr, upstream, at, uint64(1000+upstream))
		}
		upstream++
		lose(tr, upstream, at+300*ms, 1)
	}
	is.Equal(tr.Judge(10*time.Second), nil)
	lose(tr, 99, 11*time.Second, 1)
	is.Equal(len(tr.Judge(12*time.Second)), 1) // five are no chance
}

// However many bodies callers make up, the memory stays bounded, and what is at the ends
// again and again is found all the same.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	next := uint64(10)
	for i := range 60 {
		at := time.Duration(i) * time.Second
		lose(tr, Incarnation(i), at, 1)
		for range 1000 {
			next++
			lose(tr, Incarnation(i), at, next)
		}
		tr.Survive(digest(next+1_000_000), at)
	}
	is.True(tr.singles.Len() <= maxSingles)
	is.True(len(tr.suspects) <= maxSuspects)
	is.True(tr.ended.Len() <= maxEnded)
	is.True(tr.survived.Len() <= maxSurvivals)
	for _, upstream := range tr.ended.Values() {
		is.True(len(upstream.digests) <= maxPerUpstream+maxSuspects)
	}
	is.Equal(len(tr.Judge(2*time.Minute)), 1)
}

// An upstream that starts again under its name is another one when it ends again.
func TestUpstreamsThatKeepTheirNames(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 3 {
		at := time.Duration(i) * 4 * time.Second
		tr.Lose(Loss{Digest: digest(1), Incarnation: 5, At: at})
		is.True(!tr.Lose(Loss{Digest: digest(1), Incarnation: 5, At: at + 300*ms})) // the same end, told late
		tr.Lose(Loss{Digest: digest(uint64(100 + i)), Incarnation: 5, At: at + 20*ms})
	}
	is.Equal(tr.Events(digest(1), 9*time.Second), 3)
	is.Equal(len(tr.Judge(10*time.Second)), 1)
	is.True(tr.Explained(5))
}

// A verdict that is lifted is forgotten, with what was held against the request.
func TestClear(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Blame(digest(1))
	lose(tr, 1, 0, 1, 2)
	is.True(tr.Explained(1))
	tr.Clear(digest(1))
	lose(tr, 2, time.Second, 1)
	is.True(!tr.Explained(2))
	is.Equal(tr.Events(digest(1), time.Second), 1) // the end before the verdict was lifted doesn't count
}
