package ratelease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

// holder sends as much as its share permits.
type holder struct {
	bucket ratelease.Bucket
	share  ratelease.Share
}

// window is the time in which the promise counts requests.
const window = 4 * time.Second

// mostIn is the greatest number of sends in a window.
func mostIn(sent []time.Time) int {
	most, from := 0, 0
	for i := range sent {
		for sent[i].Sub(sent[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// All holders of an upstream together keep its limit, however they use what they saved, and
// use it.
func TestAllHoldersKeepTheLimit(t *testing.T) {
	for _, limit := range []ratelease.Limit{0, 0.1, 0.5, 1, 1.9, 2.5, 7, 30, 200} {
		for _, roots := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(limit, " of ", roots), func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(1, uint64(roots)))
				of := limit.Parts(roots)
				var holders []*holder
				for range roots * of {
					holders = append(holders, &holder{share: ratelease.Share{Parts: 1, Of: of, Roots: roots, Since: start}})
				}
				var sent []time.Time
				const span = 60 * time.Second
				idleUntil := start
				for now := start; now.Before(start.Add(span)); now = now.Add(5 * time.Millisecond) {
					if now.Before(idleUntil) {
						continue
					}
					if rnd.IntN(2000) == 0 {
						idleUntil = now.Add(time.Duration(rnd.IntN(8000)) * time.Millisecond)
					}
					for _, h := range holders {
						for allowance := limit.Allowance(h.share); h.bucket.Room(allowance, now); h.bucket.Take() {
							sent = append(sent, now)
						}
					}
				}
				rate := float64(len(sent)) / span.Seconds()
				t.Logf("%d holders: %d in a window, %.0f permitted, %.2f a second", len(holders), mostIn(sent), limit.Permitted(), rate)
				is.True(mostIn(sent) <= int(limit.Permitted()))
				is.True(rate >= 0.4*float64(limit)) // with pauses between
				is.True(len(sent) > 0)              // the end of any limit is noticed
			})
		}
	}
}

// A holder that gets its share from another one begins with nothing saved.
func TestShareThatMovesBringsNothingSaved(t *testing.T) {
	is := is.New(t)
	const limit = ratelease.Limit(3)
	share := ratelease.Share{Parts: 1, Of: 1, Roots: 1, Since: start}
	var b ratelease.Bucket
	later := start.Add(time.Minute)
	is.True(b.Room(limit.Allowance(share), later))
	share.Since = later
	is.True(!b.Room(limit.Allowance(share), later))
	wait, ok := b.Wait(limit.Allowance(share), later)
	is.True(ok)
	is.Equal(wait.Round(time.Millisecond), 333*time.Millisecond)
	_, ok = b.Wait(ratelease.Allowance{}, later)
	is.True(!ok) // a host without a share never may
}

// Hosts without hubs try an upstream once in four seconds together.
func TestLoneHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 40
	var sent []time.Time
	for i := range hosts {
		var b ratelease.Bucket
		a := ratelease.Lone(hosts, float64(i)/hosts, start)
		for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
			if b.Room(a, now) {
				b.Take()
				sent = append(sent, now)
			}
		}
	}
	is.True(len(sent) > 60 && len(sent) <= 150)
}

func TestLimitThatBindsNobody(t *testing.T) {
	is := is.New(t)
	is.True(ratelease.Limit(999).Binds())
	is.True(!ratelease.Limit(1e9).Binds())
}
