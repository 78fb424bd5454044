package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// partLosses records that upstreams terminated one after the other, a second apart, each with the given
// requests and parts. It returns the time after which verdicts are due.
func partLosses(tr *Tracker, from time.Duration, lost ...[]Digest) time.Duration {
	for i, digests := range lost {
		at := from + time.Duration(i)*time.Second
		for _, d := range digests {
			tr.RecordLoss(Loss{Digest: d, Incarnation: Incarnation(at/time.Second + 1), At: at, Ran: 100 * time.Millisecond})
		}
	}
	return from + time.Duration(len(lost)-1)*time.Second + SettleDelay
}

// answerOthers records answers to requests with other parts, without which no part gets a verdict.
func answerOthers(tr *Tracker, at time.Duration) {
	for i := range minOtherAnswers {
		tr.RecordSurvival(PartDigest(fmt.Sprint("other-", i)), at)
	}
}

func found(tr *Tracker, now time.Duration) map[Digest]bool {
	list := make(map[Digest]bool)
	for _, f := range tr.FindPoisonRequests(now) {
		list[f.Digest] = true
	}
	return list
}

// Callers write the id of a part in different ways; the digest of a part must never be that of a request.
func TestPartDigest(t *testing.T) {
	is := is.New(t)
	is.Equal(PartDigest(" 9F0a "), PartDigest("9f0a"))
	is.True(PartDigest("9f0a") != PartDigest("9f0b"))
	is.True(PartDigest("").IsPart())
	content := Content{Body: []byte("part")}
	is.True(!content.Digest().IsPart())
}

// One request that is sent to three upstreams and terminates them is the cause; the parts of its prompt get no
// verdict. Another request with the same part then shows that the part is.
func TestPartNeedsLossesWithSeveralRequests(t *testing.T) {
	is := is.New(t)
	tr, part := NewTracker(), PartDigest("dead")
	answerOthers(tr, 0)
	due := partLosses(tr, time.Second, []Digest{digest(1), part}, []Digest{digest(1), part}, []Digest{digest(1), part})
	is.Equal(found(tr, due), map[Digest]bool{digest(1): true})
	due = partLosses(tr, 5*time.Second, []Digest{digest(2), part})
	is.Equal(found(tr, due), map[Digest]bool{part: true}) // though the first verdict explains three of the four
	tr.RecordLoss(Loss{Digest: digest(3), Incarnation: 100, At: due})
	tr.RecordLoss(Loss{Digest: part, Incarnation: 100, At: due})
	is.Equal(tr.EventCount(digest(3), due), 0) // explained by the part
}

// Sound requests have parts in common with those that terminate upstreams. An answer to a sound request
// clears them.
func TestPartsOfAnsweredRequestsAreNotTheCause(t *testing.T) {
	is := is.New(t)
	tr, part, shared := NewTracker(), PartDigest("dead"), PartDigest("shared")
	answerOthers(tr, 0)
	lost := func(n uint64) []Digest { return []Digest{digest(n), part, shared} }
	due := partLosses(tr, time.Second, lost(1), lost(2), lost(3), lost(4))
	is.Equal(len(found(tr, due)), 0) // nothing tells the two apart
	tr.RecordSurvival(shared, due)
	is.Equal(found(tr, due), map[Digest]bool{part: true})
	for range soundSurvivals {
		tr.RecordSurvival(shared, due)
	}
	is.True(tr.IsSound(shared, due))
	is.True(!tr.RecordLoss(Loss{Digest: shared, Incarnation: 200, At: due + time.Second}))
	is.True(!tr.IsSound(shared, due+2*survivalRetention))
}

// Two parts that are only ever lost together can't be told apart; both are kept away.
func TestPartsThatAreOnlyLostTogether(t *testing.T) {
	is := is.New(t)
	tr, a, b := NewTracker(), PartDigest("a"), PartDigest("b")
	answerOthers(tr, 0)
	var lost [][]Digest
	for n := range uint64(minEventsAnyShare) {
		lost = append(lost, []Digest{digest(n), a, b})
	}
	is.Equal(found(tr, partLosses(tr, time.Second, lost...)), map[Digest]bool{a: true, b: true})
}

// Where all requests are lost, as when all upstreams fail just after the start, what they have in common isn't
// the cause.
func TestPartOfAllRequestsGetsNoVerdict(t *testing.T) {
	is := is.New(t)
	tr, common := NewTracker(), PartDigest("common")
	var lost [][]Digest
	for n := range uint64(8) {
		lost = append(lost, []Digest{digest(n), common})
	}
	is.Equal(len(found(tr, partLosses(tr, time.Second, lost...))), 0)
	is.True(!tr.HasContrast(common, 9*time.Second))
}

// Upstreams of a rack that fails terminate at the same time, each with the parts that most requests have.
func TestSimultaneousTerminationsSayNothingAboutParts(t *testing.T) {
	is := is.New(t)
	tr, common := NewTracker(), PartDigest("common")
	answerOthers(tr, 0)
	for rack := range 6 {
		at := time.Duration(rack+1) * time.Second
		for u := range massTerminations {
			tr.RecordLoss(Loss{Digest: common, Incarnation: Incarnation(100*rack + u), At: at, Ran: time.Second})
		}
	}
	is.Equal(tr.EventCount(common, 6*time.Second), 0)
	is.Equal(len(found(tr, 7*time.Second)), 0)
}
