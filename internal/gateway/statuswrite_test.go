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

// Of many hosts that find a status due at once, few write it: those with followers go first, and
// the others receive the write before they would write themselves.
func TestFewHostsWriteAStatus(t *testing.T) {
	const (
		hubs, followers = 5, 190
		// propagationTime is the time until a write has reached all hosts: the store's answer, and two
		// exchanges.
		propagationTime = 500 * time.Millisecond
	)
	for _, state := range []RolloutState{RolloutRunning, RolloutCompleted, RolloutReverted} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var delays []time.Duration
				for i := range hubs + followers {
					m := &rollouts{statuses: feed.NewWatcher("status", newFakeStore(), nil, feed.Options{}, zerolog.Nop())}
					m.hasFollowers = func() bool { return i < hubs }
					if i >= hubs {
						m.statuses.Offer(feed.Update{Complete: true}, time.Now())
					}
					delays = append(delays, m.delay(state))
				}
				first := delays[0]
				for _, turn := range delays {
					first = min(first, turn)
				}
				writes := 0
				for _, turn := range delays {
					if turn <= first+propagationTime {
						writes++
					}
				}
				is.True(writes <= hubs)
			})
		})
	}
}

// A host whose writes the store refuses pauses longer after each attempt.
func TestWritesThatFailArePaced(t *testing.T) {
	is := is.New(t)
	m, a := &rollouts{}, &activeRollout{}
	sum := time.Duration(0)
	tries := 0
	for sum < 12*time.Second {
		sum += m.pause(a, errors.New("refused by the store"))
		tries++
	}
	is.True(tries <= 14)
	is.Equal(m.pause(a, storage.ErrConflict), writePause) // another host wrote first
	is.Equal(a.failures, 0)
}
