package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStopAdmitsWhatEndsInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	stop := Stop{EndsAt: now.Add(5 * time.Second)}
	for _, test := range []struct {
		desc            string
		deadline, usual time.Duration
		want            bool
	}{
		{"deadline before the end", 4 * time.Second, 0, true},
		{"deadline at the end", 5 * time.Second, 9 * time.Second, true},
		{"unknown time", 6 * time.Second, 0, false},
		{"ends in time", 12 * time.Second, 5 * time.Second, true},
		{"ends late", 12 * time.Second, 5*time.Second + 1, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			is.New(t).Equal(stop.Admits(LateRequest{Deadline: now.Add(test.deadline), UsualTime: test.usual}, now), test.want)
		})
	}
	is.New(t).True(!stop.Admits(LateRequest{Deadline: now.Add(time.Minute), UsualTime: 1}, stop.EndsAt))
}

// Requests arrive all through a stop. Hardly any that is admitted has no answer by its end, whatever their times are, and
// none is refused while there is plenty of time.
func TestStopReplay(t *testing.T) {
	const (
		rounds, perStop = 200, 100
		// Nearly all requests are answered: of those that are admitted, one in 50 may not be. Hardly any is refused in
		// the first eighth of a stop: of all, one in 20 may be.
		unansweredOneIn, refusedEarlyOneIn = 50, 20
	)
	stopTime := 8 * time.Second
	times := map[string]func(r *rand.Rand) time.Duration{
		"constant":    func(*rand.Rand) time.Duration { return 1500 * time.Millisecond },
		"uniform":     func(r *rand.Rand) time.Duration { return time.Duration(500+r.IntN(2000)) * time.Millisecond },
		"exponential": func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(500*time.Millisecond)) },
		"two kinds": func(r *rand.Rand) time.Duration {
			if r.IntN(5) == 0 {
				return 3 * time.Second
			}
			return 100 * time.Millisecond
		},
	}
	for desc, draw := range times {
		t.Run(desc, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			var admitted, unanswered, early int
			for range rounds {
				var estimate DurationEstimate
				for range 50 {
					estimate.Add(draw(random))
				}
				stop := Stop{EndsAt: now.Add(stopTime)}
				for i := range perStop {
					at := now.Add(stopTime * time.Duration(i) / perStop)
					if !stop.Admits(LateRequest{Deadline: at.Add(time.Minute), UsualTime: estimate.UsualTime()}, at) {
						if at.Before(now.Add(stopTime / 8)) {
							early++
						}
						continue
					}
					admitted++
					if at.Add(draw(random)).After(stop.EndsAt) {
						unanswered++
					}
				}
			}
			t.Logf("%d of %d admitted, %d of them unanswered, %d refused early", admitted, rounds*perStop, unanswered, early)
			is := is.New(t)
			is.True(unanswered*unansweredOneIn <= admitted)
			is.True(early*refusedEarlyOneIn <= rounds*perStop)
		})
	}
}
