package ratelease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

// holder is a host that sends as many requests as its share permits.
type holder struct {
	bucket ratelease.Bucket
	share  ratelease.Share
}

// window is the length of the window in which the number of sends is bounded.
const window = 4 * time.Second

// maxPerWindow returns the highest number of sends in any window. The times must be in order.
func maxPerWindow(sent []time.Time) int {
	highest, first := 0, 0
	for i := range sent {
		for sent[i].Sub(sent[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// All holders of an upstream's parts together send no more requests in any window than its limit
// permits, whenever they use their bursts, and at least 40 % of the limit's rate.
func TestAllHoldersKeepTheLimit(t *testing.T) {
	for _, limit := range []ratelease.Limit{0, 0.1, 0.5, 1, 1.9, 2.5, 7, 30, 200} {
		for _, roots := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(limit, " of ", roots), func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(1, uint64(roots)))
				partsPerRoot := limit.Parts(roots)
				var holders []*holder
				for range roots * partsPerRoot {
					holders = append(holders, &holder{share: ratelease.Share{Parts: 1, PartsPerRoot: partsPerRoot, Roots: roots, Since: start}})
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
						for allowance := limit.Allowance(h.share); h.bucket.Allows(allowance, now); h.bucket.Take() {
							sent = append(sent, now)
						}
					}
				}
				rate := float64(len(sent)) / span.Seconds()
				t.Logf("%d holders: %d in a window, %.0f permitted, %.2f a second", len(holders), maxPerWindow(sent), limit.Permitted(), rate)
				is.True(maxPerWindow(sent) <= int(limit.Permitted()))
				is.True(rate >= 0.4*float64(limit)) // although holders are idle at times
				is.True(len(sent) > 0)              // even with a limit of 0, a response must show when the limit ends
			})
		}
	}
}

// A share that a host got anew starts without tokens: the previous holder may have used the burst.
func TestMovedShareStartsWithoutTokens(t *testing.T) {
	is := is.New(t)
	const limit = ratelease.Limit(3)
	share := ratelease.Share{Parts: 1, PartsPerRoot: 1, Roots: 1, Since: start}
	var b ratelease.Bucket
	later := start.Add(time.Minute)
	is.True(b.Allows(limit.Allowance(share), later))
	share.Since = later
	is.True(!b.Allows(limit.Allowance(share), later))
	wait, ok := b.TimeToNext(limit.Allowance(share), later)
	is.True(ok)
	is.Equal(wait.Round(time.Millisecond), 333*time.Millisecond)
	_, ok = b.TimeToNext(ratelease.Allowance{}, later)
	is.True(!ok) // without a share, a host never may send a request
}

// Isolated hosts together send an upstream with a limit about one request in four seconds, which
// is probeRate.
func TestIsolatedHostsShareTheProbeRate(t *testing.T) {
	is := is.New(t)
	const hosts = 40
	var sent []time.Time
	for i := range hosts {
		var b ratelease.Bucket
		a := ratelease.IsolatedAllowance(hosts, float64(i)/hosts, start)
		for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
			if b.Allows(a, now) {
				b.Take()
				sent = append(sent, now)
			}
		}
	}
	is.True(len(sent) > 60 && len(sent) <= 150)
}

func TestHighLimitDoesNotBind(t *testing.T) {
	is := is.New(t)
	is.True(ratelease.Limit(999).Binds())
	is.True(!ratelease.Limit(1e9).Binds())
}
