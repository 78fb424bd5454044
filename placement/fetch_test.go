package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fetchingFleet simulates engines that fetch cached parts from each other. perToken is the time of a
// transfer for each token; 0 means that engines can't fetch. The transfers from an engine run one
// after another; linkIdleAt is when the last one of each engine ends.
type fetchingFleet struct {
	*fleet
	perToken      time.Duration
	linkIdleAt    []time.Duration
	fetchedTokens int
}

const (
	longShared, longOwn = 6300, 2890
	// prefillPerToken is the prefill time of a token, with which 6,300 tokens take 142 ms.
	prefillPerToken = 22500 * time.Nanosecond
)

func newFetchingFleet(engines int, perToken time.Duration) *fetchingFleet {
	f := &fetchingFleet{fleet: newFleet(engines), perToken: perToken, linkIdleAt: make([]time.Duration, engines)}
	f.estimator = NewPrefillEstimator()
	observeRepeatedly(f.estimator, "m", 10_000, overhead+10_000*prefillPerToken)
	return f
}

// longPrompt returns a prompt with a long shared part and a long part of its own.
func longPrompt(subject, unique int) *Prompt {
	return &Prompt{
		Parts:  []Part{{ID: fmt.Sprint("subject ", subject), Tokens: longShared}, {ID: fmt.Sprint("own ", unique), Tokens: longOwn}},
		Tokens: longShared + longOwn, SharedParts: 1,
	}
}

// sendFetching sends a request at the current time and returns the index of the selected engine.
func (f *fetchingFleet) sendFetching(p *Prompt) int {
	keys := PrefixKeys("m", p)
	list, source := make([]Candidate, len(f.engines)), -1
	for i, e := range f.engines {
		list[i] = Candidate{QueuedWork: max(0, e.idleAt-f.now), CachedParts: e.cache.CachedParts(0, keys), OwnerRank: ownerRank(p, i)}
		if list[i].CachedParts > 0 && (source < 0 || f.linkIdleAt[i] < f.linkIdleAt[source]) {
			source = i
		}
	}
	for i := range list {
		if f.perToken > 0 && source >= 0 && list[i].CachedParts < list[source].CachedParts {
			list[i].FetchableParts, list[i].FetchTime = list[source].CachedParts, 2*longShared*f.perToken
		}
	}
	c := Place(f.estimator, &Request{Model: "m", Prompt: p, Target: f.target, ZoneCost: f.zoneCost, Random: f.rng.Float64()}, list)
	e, fetchEnd := f.engines[c.Index], f.now
	if c.FetchedTokens > 0 {
		f.linkIdleAt[source] = max(f.now, f.linkIdleAt[source]) + time.Duration(c.FetchedTokens)*f.perToken
		fetchEnd = f.linkIdleAt[source]
	}
	e.idleAt = max(e.idleAt, fetchEnd) + overhead + time.Duration(c.UncachedTokens)*prefillPerToken
	e.cache.Add(0, keys...)
	f.prefilledTokens += c.UncachedTokens
	f.fetchedTokens += c.FetchedTokens
	f.latencies = append(f.latencies, e.idleAt-f.now)
	return c.Index
}

// replayPopular sends n long prompts with the given mean interval. Of the prompts, 60% have the most
// popular shared part, the others one of 40. It returns the mean time to the first event.
func (f *fetchingFleet) replayPopular(n int, interval time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := range n {
		f.now += time.Duration(f.rng.ExpFloat64() * float64(interval))
		subject := 0
		if f.rng.IntN(10) >= 6 {
			subject = 1 + f.rng.IntN(40)
		}
		f.sendFetching(longPrompt(subject, i))
		sum += f.latencies[len(f.latencies)-1]
	}
	return sum / time.Duration(n)
}

// A popular part whose owner is overloaded: 12 engines get 83 long prompts a second, 60% of them
// with the same shared part. Its owner could serve 12 of them a second with the part cached. With
// transfers at the rates of two deployments, other engines fetch the part instead of prefilling it:
// fewer tokens are prefilled, and first events come sooner.
func TestReplayPopularPartOfOverloadedOwner(t *testing.T) {
	is := is.New(t)
	const requests, interval = 4000, 12 * time.Millisecond
	without := newFetchingFleet(12, 0)
	meanWithout := without.replayPopular(requests, interval)
	is.Equal(without.fetchedTokens, 0)
	for _, perToken := range []time.Duration{590, 7460} { // 3.7 and 47 ms for 6,300 tokens
		f := newFetchingFleet(12, perToken)
		mean := f.replayPopular(requests, interval)
		t.Log("mean", mean, meanWithout, "prefilled", f.prefilledTokens, without.prefilledTokens, "fetched", f.fetchedTokens)
		is.True(mean < meanWithout)
		is.True(f.prefilledTokens < without.prefilledTokens)
		is.True(f.fetchedTokens <= without.engineCount()*41*longShared) // no engine fetches a part twice
	}
}

// A fetch has a price: a request waits some milliseconds for the engine that caches its part instead.
func TestFetchHasACost(t *testing.T) {
	is := is.New(t)
	f := newFetchingFleet(1, 0)
	list := []Candidate{{FetchableParts: 1, FetchTime: time.Millisecond, OwnerRank: 2}, {CachedParts: 1, QueuedWork: 10 * time.Millisecond, OwnerRank: 1}}
	r := &Request{Model: "m", Prompt: longPrompt(0, 0), Target: time.Minute}
	is.Equal(Place(f.estimator, r, list).Index, 1)
}

func (f *fetchingFleet) engineCount() int { return len(f.engines) }

// Nothing is fetched that the engine has, that takes longer to transfer than to prefill, or that no
// other engine has.
func TestFetchOnlyIfItSavesEngineTime(t *testing.T) {
	f := newFetchingFleet(1, 0)
	prompt := longPrompt(0, 0)
	prefill := f.estimator.PrefillTime("m", longShared)
	tests := []struct {
		desc      string
		candidate Candidate
		want      int
	}{
		{"nothing to fetch", Candidate{}, 0},
		{"quicker than the prefill", Candidate{FetchableParts: 1, FetchTime: prefill / 2}, longShared},
		{"slower than the prefill", Candidate{FetchableParts: 1, FetchTime: prefill + time.Millisecond}, 0},
		{"cached already", Candidate{FetchableParts: 1, CachedParts: 1, FetchTime: time.Millisecond}, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			c := Place(f.estimator, &Request{Model: "m", Prompt: prompt}, []Candidate{test.candidate})
			is.Equal(c.FetchedTokens, test.want)
			if test.want > 0 {
				is.Equal(c.FetchTime, test.candidate.FetchTime)
				is.Equal(c.UncachedTokens, longOwn)
				is.Equal(c.ExpectedTime, test.candidate.FetchTime+f.estimator.TimeToFirstEvent("m", longOwn))
			}
		})
	}
}
