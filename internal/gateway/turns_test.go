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

// Of many hosts that find a status due at once, few write it: those on which others rely
// go first, and the rest hears of the write before its turn.
func TestFewHostsWriteAStatus(t *testing.T) {
	const (
		hubs, followers = 5, 190
		// news is the time until a write is known everywhere: the store's answer, and
		// two exchanges.
		news = 500 * time.Millisecond
	)
	for _, state := range []RolloutState{RolloutRunning, RolloutCompleted, RolloutReverted} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var turns []time.Duration
				for i := range hubs + followers {
					m := &rollouts{statuses: feed.NewWatcher("status", newFakeStore(), nil, feed.Options{}, zerolog.Nop())}
					m.relied = func() bool { return i < hubs }
					if i >= hubs {
						m.statuses.Offer(feed.News{Complete: true}, time.Now())
					}
					turns = append(turns, m.delay(state))
				}
				first := turns[0]
				for _, turn := range turns {
					first = min(first, turn)
				}
				writes := 0
				for _, turn := range turns {
					if turn <= first+news {
						writes++
					}
				}
				is.True(writes <= hubs)
			})
		})
	}
}

// A host that the store turns away pauses longer after each try.
func TestWritesThatFailArePaced(t *testing.T) {
	is := is.New(t)
	m, a := &rollouts{}, &activeRollout{}
	sum := time.Duration(0)
	tries := 0
	for sum < 12*time.Second {
		sum += m.pause(a, errors.New("turned away"))
		tries++
	}
	is.True(tries <= 14)
	is.Equal(m.pause(a, storage.ErrConflict), writePause) // another host was first
	is.Equal(a.failures, 0)
}
