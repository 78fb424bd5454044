package cascade

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestLearner() (*Learner, *time.Time) {
	now := start
	return NewLearner(Options{Clock: func() time.Time { return now }, Seed: 1}), &now
}

func observeMany(l *Learner, account string, rating float64, n int) {
	for range n {
		l.Observe(Sample{Cascade: "c", Account: account, Class: "x", Rating: rating, Latency: time.Second})
	}
}

func statsOf(l *Learner, account string, target float64) StepStats {
	v := View{Cascade: "c", Account: account, Class: "x", Target: target, Steps: make([]StepInfo, 2)}
	return l.stats(&v)[0]
}

func TestStatsArePerAccount(t *testing.T) {
	is := is.New(t)
	l, _ := newTestLearner()
	observeMany(l, "easy", 0.9, 200)
	observeMany(l, "hard", 0.2, 200)
	is.True(statsOf(l, "easy", 0.7).AcceptProbability > 0.9)
	is.True(statsOf(l, "hard", 0.7).AcceptProbability < 0.1)
	ofUnknownAccount := statsOf(l, "new", 0.7).AcceptProbability // from the ratings of all accounts
	is.True(ofUnknownAccount > 0.2 && ofUnknownAccount < 0.8)
	is.True(statsOf(l, "hard", 0.1).AcceptProbability > 0.9) // a lower target
	is.Equal(statsOf(l, "easy", 0.7).Latency, time.Second)
}

func TestStatsArePerPromptLength(t *testing.T) {
	is := is.New(t)
	l, _ := newTestLearner()
	for range 200 {
		l.Observe(Sample{Account: "a", PromptTokens: 50, Rating: 0.9})
		l.Observe(Sample{Account: "a", PromptTokens: 20_000, Rating: 0.1})
	}
	accept := func(tokens int) float64 {
		v := View{Account: "a", PromptTokens: tokens, Target: 0.7, Steps: make([]StepInfo, 2)}
		return l.stats(&v)[0].AcceptProbability
	}
	is.True(accept(60) > 0.9)
	is.True(accept(25_000) < 0.1)
}

func TestOldRatingsLoseWeight(t *testing.T) {
	is := is.New(t)
	l, now := newTestLearner()
	observeMany(l, "a", 0.9, 200)
	before := statsOf(l, "a", 0.7).Samples
	*now = now.Add(statsHalfLife)
	is.True(math.Abs(statsOf(l, "a", 0.7).Samples-before/2) < 1)
}

func TestUnratedAnswersUpdateLatencyOnly(t *testing.T) {
	is := is.New(t)
	l, _ := newTestLearner()
	observeMany(l, "a", Unrated, 5)
	stats := statsOf(l, "a", 0.7)
	is.Equal(stats.Samples, 0.0)
	is.Equal(stats.Latency, time.Second)
}

func TestRaterFailureRateDecays(t *testing.T) {
	is := is.New(t)
	l, now := newTestLearner()
	for range 50 {
		l.ObserveRater(time.Second, false)
	}
	is.True(l.rater.stats(*now).FailureRate > raterDownFailureRate)
	*now = now.Add(raterHalfLife)
	is.True(l.rater.stats(*now).FailureRate < raterDownFailureRate)
}

func TestGroupsAreBounded(t *testing.T) {
	is := is.New(t)
	l, _ := newTestLearner()
	for i := range 3 * DefaultGroups {
		observeMany(l, fmt.Sprint("account-", i), 0.5, 1)
	}
	kept := 0
	for i := range l.shards {
		kept += l.shards[i].groups.Len()
	}
	is.True(kept <= DefaultGroups)
}

func TestLearnerConcurrently(t *testing.T) {
	is := is.New(t)
	l := NewLearner(Options{Seed: 1})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				l.Learn("a", "x", 0, 0.9, time.Second)
				l.ObserveRater(time.Millisecond, true)
				l.Decide(View{Account: "a", Class: "x", Steps: make([]StepInfo, 2), Target: 0.7})
			}
		})
	}
	wg.Wait()
	v := View{Account: "a", Class: "x", Steps: make([]StepInfo, 2), Target: 0.7}
	is.True(l.stats(&v)[0].AcceptProbability > 0.9)
}
