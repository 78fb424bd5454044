package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBackoffThatIsExtended(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var b Backoff
	is.True(b.Allows(start))
	b.Extend(3*time.Second, start)
	b.Extend(time.Second, at(0.5)) // a shorter one
	is.True(!b.Allows(at(2.9)))
	is.True(!b.Accepted(at(2.9))) // sent before the end
	b.Extend(4*time.Second, at(1))
	is.True(!b.Allows(at(4.9)))
	is.Equal(b.Wait(at(4)), time.Second)
	is.True(b.Allows(at(5)))
}

func TestTrialsAfterABackoff(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(time.Second + d) }
	var b Backoff
	b.Extend(time.Second, start)
	b.RecordSent(at(0))
	is.True(!b.Allows(at(TrialInterval - 1)))
	is.Equal(b.Wait(at(0)), TrialInterval)
	is.True(b.Allows(at(TrialInterval))) // the first trial had no answer
	b.RecordSent(at(TrialInterval))
	b.Extend(time.Second, at(2*TrialInterval)) // it was rejected
	is.True(!b.Allows(at(time.Second)))
	end := at(time.Second + 2*TrialInterval)
	is.True(b.Allows(end))
	is.True(b.Accepted(end))
	is.Equal(b, Backoff{}) // no state is left
}

func TestBackoffOfAnUpstreamThatGetsNoRequests(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var b Backoff
	b.Extend(time.Second, start)
	is.True(!b.IsOver(start.Add(time.Second)))
	is.True(b.IsOver(start.Add(time.Second + trialTime)))
	is.True(b.Allows(start.Add(time.Second + trialTime)))
}

// In any order of requests, rejections and other answers, nothing is sent before a stated time is over.
func TestNothingIsSentBeforeAStatedTimeIsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backoff
		now, latest := time.Now(), time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "backoff")) * time.Millisecond
				b.Extend(d, now)
				if until := now.Add(d); until.After(latest) {
					latest = until
				}
			case 1:
				if b.Allows(now) != (b.Wait(now) == 0) {
					t.Fatal("Wait contradicts Allows")
				}
				if !b.Allows(now) {
					continue
				}
				if now.Before(latest) {
					t.Fatalf("a request is allowed %v before the end", latest.Sub(now))
				}
				b.RecordSent(now)
			case 2:
				b.Accepted(now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "sent")) * time.Millisecond))
			}
		}
		if !b.Allows(latest.Add(trialTime)) {
			t.Fatal("the backoff doesn't end")
		}
	})
}
