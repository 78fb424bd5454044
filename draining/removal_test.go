package draining

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUsableUntil(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	tests := []struct {
		desc    string
		removal Removal
		use     time.Duration
		want    time.Time
	}{
		{"notified at once", Removal{NotBefore: at(1000), ObservedAt: at(1000)}, 1500 * time.Millisecond, at(2500)},
		{"notified late", Removal{NotBefore: at(1000), ObservedAt: at(1800)}, 1500 * time.Millisecond, at(2500)},
		{"notified after the end of its service", Removal{NotBefore: at(1000), ObservedAt: at(9000)}, 1500 * time.Millisecond, at(2500)},
		{"expired in an outage", Removal{NotBefore: at(1000), ObservedAt: at(9000), ExpiredInOutage: true}, 1500 * time.Millisecond, at(11200)},
		{"expired in an outage, long service", Removal{NotBefore: at(1000), ObservedAt: at(1000), ExpiredInOutage: true}, 29500 * time.Millisecond, at(30500)},
		{"no service after the removal", Removal{NotBefore: at(1000), ObservedAt: at(1000)}, -100 * time.Millisecond, at(900)},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is.New(t).Equal(test.removal.UsableUntil(test.use), test.want)
		})
	}
}

// An upstream must not be used on the assumption that its entry was removed later than it was. Calls and removals are
// drawn; the store answers a call that it holds within the given latency of the change.
func TestChangedSinceIsAfterTheChange(t *testing.T) {
	const latency = 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(85, 5))
	for range 100_000 {
		is := is.New(t)
		draw := func(most time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(most))) }
		call := Call{Previous: draw(time.Minute), MayBeHeld: rnd.IntN(4) > 0}
		call.Started = call.Previous + draw(15*time.Second)
		changed := call.Previous + draw(20*time.Second)
		arrived := call.Started + draw(latency)
		call.Answered = max(arrived, changed) + draw(latency)
		if !call.MayBeHeld && changed > arrived {
			continue // the answer has no changes
		}
		since := call.ChangedSince()
		is.True(since <= changed)
		if changed > arrived+promptAnswer {
			is.True(since >= changed-promptAnswer) // close to the change where the call was held
		}
	}
}
