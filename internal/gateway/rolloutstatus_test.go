package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// When a status becomes due on many hosts at once, only a few hosts write it: those with followers
// write first, and the others receive the status before their own write delays have passed.
func TestFewHostsWriteAStatus(t *testing.T) {
	const (
		hubs, followers = 5, 190
		// propagationTime is the time until all hosts have received a status: one call to the store
		// and two exchanges between hosts.
		propagationTime = 500 * time.Millisecond
	)
	for _, state := range []RolloutState{RolloutRunning, RolloutCompleted, RolloutReverted} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var delays []time.Duration
				for i := range hubs + followers {
					ro := &rollouts{statuses: feed.NewWatcher("status", newFakeStore(), nil, feed.Options{}, zerolog.Nop())}
					ro.hasFollowers = func() bool { return i < hubs }
					if i >= hubs {
						ro.statuses.Offer(feed.Update{Complete: true}, time.Now())
					}
					delays = append(delays, ro.writeDelay(state))
				}
				first := delays[0]
				for _, delay := range delays {
					first = min(first, delay)
				}
				writes := 0
				for _, delay := range delays {
					if delay <= first+propagationTime {
						writes++
					}
				}
				is.True(writes <= hubs)
			})
		})
	}
}

// A host whose writes the store refuses waits longer after each attempt.
func TestPauseGrowsWithFailedWrites(t *testing.T) {
	is := is.New(t)
	ro, sr := &rollouts{}, &serviceRollout{}
	sum := time.Duration(0)
	tries := 0
	for sum < 12*time.Second {
		sum += ro.retryPause(sr, errors.New("refused by the store"))
		tries++
	}
	is.True(tries <= 14)
	is.Equal(ro.retryPause(sr, storage.ErrConflict), writePause) // another host wrote first
	is.Equal(sr.failedWrites, 0)
}
