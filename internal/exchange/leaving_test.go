package exchange

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

// What one host learns from an upstream's answer must reach all hosts while the upstream still
// serves, also if many upstreams leave at once.
func TestLeavingUpstreamIsKnownToOneHostOnly(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, 0)
				time.Sleep(10 * time.Second)
				teller := f.hosts[size.hosts-1]
				teller.stateLeaving(1)
				knowsOne := func(h *fleetHost) bool { return h == teller || h.countLeaving() == 1 }
				took, ok := f.waitForAllHosts(2*time.Second, knowsOne)
				t.Logf("one upstream: all hosts after %v", took)
				is.True(ok)
				is.Equal(teller.countLeaving(), 0) // not told what it reported itself

				const many = 400
				before := 0
				for _, h := range f.hosts {
					before += h.traffic()
				}
				for u := range many {
					for _, h := range f.hosts[:3] { // several hosts state the same
						h.stateLeaving(ratelease.UpstreamID(100 + u))
					}
				}
				took, ok = f.waitForAllHosts(10*time.Second, func(h *fleetHost) bool {
					return slices.Contains(f.hosts[:3], h) || h.countLeaving() >= many
				})
				after := 0
				for _, h := range f.hosts {
					after += h.traffic()
				}
				t.Logf("%d upstreams: all hosts after %v, %.0f bytes a host", many, took, float64(after-before)/float64(size.hosts))
				is.True(ok)

				time.Sleep(LeavingLifetime)
				teller.stateLeaving(2)
				time.Sleep(time.Second)
				for _, h := range f.hosts {
					is.True(h.loggedLeaving() <= 1) // expired entries are dropped
				}
			})
		})
	}
}

// loggedLeaving returns the number of leaving upstreams that the host keeps as a hub.
func (h *fleetHost) loggedLeaving() int {
	hub := h.member.ownHub
	hub.mu.Lock()
	defer hub.mu.Unlock()
	return len(hub.leaving.entries)
}

// A hub that lost its log has nothing to relay, and must not repeat or skip entries for those that
// read the former log.
func TestLeavingLogAfterARestartOfItsHub(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var former, restarted leavingLog
	for u := range ratelease.UpstreamID(20) {
		former.add("a", false, []LeavingUpstream{{Upstream: u}, {Upstream: u}}, now)
	}
	list, seq := former.since(0, "b", toHost, now)
	is.Equal(len(list), 20) // each once
	restarted.add("a", false, []LeavingUpstream{{Upstream: 99, Age: time.Second}}, now)
	list, seq = restarted.since(seq, "b", toHost, now.Add(time.Second))
	is.Equal(list, []LeavingUpstream{{Upstream: 99, Age: 2 * time.Second}})
	list, _ = restarted.since(seq, "b", toHost, now)
	is.Equal(len(list), 0)
	list, _ = restarted.since(0, "a", toHost, now) // it reported the entry itself
	is.Equal(len(list), 0)
}

// A message holds a bounded number of entries, and the next one continues after them.
func TestMoreLeavingUpstreamsThanAMessageHolds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var l leavingLog
	for u := range ratelease.UpstreamID(2 * maxLoggedLeaving) {
		l.add("a", false, []LeavingUpstream{{Upstream: u}}, now)
	}
	is.Equal(len(l.entries), maxLoggedLeaving)
	seen, seq := make(map[ratelease.UpstreamID]bool), uint64(0)
	for {
		var list []LeavingUpstream
		list, seq = l.since(seq, "b", toHost, now)
		if len(list) == 0 {
			break
		}
		is.True(len(list) <= maxLeavingUpstreams)
		for _, e := range list {
			is.True(!seen[e.Upstream])
			seen[e.Upstream] = true
		}
	}
	is.Equal(len(seen), maxLoggedLeaving)
	list, _ := l.since(0, "b", toHost, now.Add(LeavingLifetime))
	is.Equal(len(list), 0)
}

func TestLeavingUpstreamsOnTheWire(t *testing.T) {
	is := is.New(t)
	sent := LeavingUpstreams{{Upstream: math.MaxUint64, Age: 59_999 * time.Millisecond}, {Upstream: 1, Age: -time.Second}, {Upstream: 2, Age: time.Hour}}
	data, err := json.Marshal(Report{Leaving: sent, LeavingSince: 7})
	is.NoErr(err)
	var got Report
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got.LeavingSince, uint64(7))
	is.Equal(got.Leaving, LeavingUpstreams{sent[0], {Upstream: 1}, {Upstream: 2, Age: math.MaxUint16 * time.Millisecond}})
	is.True(json.Unmarshal([]byte(`{"leaving":"AAAA"}`), &got) != nil)
	data, err = json.Marshal(Report{})
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "leaving")) // costs nothing while nothing leaves
}
