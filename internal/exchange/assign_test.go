package exchange

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// reportAll sends a report of each named host to the hub, and returns the hub that each is
// assigned to.
func reportAll(t *testing.T, h *hub, zone string, names ...string) map[string]string {
	t.Helper()
	sent := make(map[string]string)
	for _, name := range names {
		strength := 4.0
		if name == "strong" {
			strength = 160
		}
		reply, err := h.exchange(t.Context(), name, Report{Zone: zone, Address: "to " + name, Strength: strength})
		if err != nil {
			t.Fatal(err)
		}
		sent[name] = reply.Assigned
	}
	return sent
}

func hostNames(n int, more ...string) []string {
	for i := range n {
		more = append(more, fmt.Sprint("host-", i))
	}
	return more
}

func TestZoneGetsItsStrongestHostAsHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minFollowers, "strong")
		for _, to := range reportAll(t, h, "z2", names...) {
			is.Equal(to, "") // stronger hosts may still report
		}
		time.Sleep(electionDelay)
		for name, to := range reportAll(t, h, "z2", names...) {
			if name == "strong" {
				is.Equal(to, "") // it keeps reporting here
			} else {
				is.Equal(to, "to strong")
			}
		}
		is.Equal(reportAll(t, h, "z1", "host of this zone")["host of this zone"], "")

		// The hub reports for all; the seed counts them and assigns new hosts to it.
		time.Sleep(WorkAge + time.Millisecond)
		_, err := h.exchange(t.Context(), "strong", Report{Zone: "z2", Address: "to strong", Hosts: 9})
		is.NoErr(err)
		is.Equal(reportAll(t, h, "z2", "newcomer")["newcomer"], "to strong")
		is.Equal(h.hostCount(toHost), 10)
		is.Equal(h.followers(), 2)
	})
}

func TestSmallZoneGetsNoHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minFollowers - 1)
		reportAll(t, h, "z2", names...)
		time.Sleep(electionDelay)
		for _, to := range reportAll(t, h, "z2", names...) {
			is.Equal(to, "")
		}
	})
}

func TestLostHubIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minFollowers)
		reportAll(t, h, "z2", append(names, "strong")...)
		time.Sleep(electionDelay)
		is.Equal(reportAll(t, h, "z2", append(names, "strong")...)["host-0"], "to strong")
		time.Sleep(WorkAge + time.Millisecond) // the hub no longer reports, its hosts return
		reportAll(t, h, "z2", names...)
		to := reportAll(t, h, "z2", names...)["host-0"]
		is.True(to != "" && to != "to strong")
	})
}

// Hosts beyond the capacity of one hub get another one, also in the hub's own zone.
func TestMoreHostsThanOneHubServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(3*maxFollowers, "strong")
		reportAll(t, h, "z1", names...)
		time.Sleep(electionDelay)
		counts := make(map[string]int)
		for _, to := range reportAll(t, h, "z1", names...) {
			counts[to]++
		}
		is.True(len(counts) >= 3)
		for to, n := range counts {
			is.True(to == "" || n <= maxFollowers)
		}
	})
}

// Two hosts that report to each other don't count each other's sums repeatedly.
func TestHostsThatReportToEachOther(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "one", Zone: "z1"}, zerolog.Nop())
	h.record("one", Report{Zone: "z1", Address: "to one", Work: Work{1: 10}})
	h.record("other", Report{Zone: "z1", Address: "to other", Hosts: 7, Work: Work{1: 70}})
	report, _ := h.subtreeReport(Report{}, 0, "to other")
	is.Equal(report.Hosts, 1)
	is.Equal(report.Work, Work{1: 10})
}

// In a zone with more hosts than one hub serves, the seed's own hub keeps as many as it can
// serve, and relays table updates to the zone's other hubs. Without followers of its own it
// relayed nothing to them, and each of their followers read the store.
func TestSeedOfALargeZoneRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 100, 1, 10)
		time.Sleep(10 * time.Second)
		seeds, hubs := 0, 0
		for _, h := range f.hosts {
			n := h.member.Followers()
			switch {
			case slices.Contains(f.seeds, h.address):
				seeds++
				is.True(n > maxFollowers/2)
				is.True(h.member.Relays())
			case n > 1:
				hubs++
				is.True(h.member.hub.receivesTables.Load())
			}
		}
		is.True(seeds > 0 && hubs > 0)
	})
}

// A seed whose only followers are hubs relays to them: they report for many hosts.
func TestSeedOfHubsRelays(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
	h.record("seed", Report{Zone: "z1"})
	h.record("hub", Report{Zone: "z2", Hosts: minFollowers - 2})
	is.True(!h.relays())
	h.record("hub", Report{Zone: "z2", Hosts: minFollowers - 1})
	is.True(h.relays())
	is.True(h.relaysTo("hub"))
}

// All hubs of a zone are among its strongest hosts, including the second and third one.
func TestHubsAreTheStrongestHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		const hosts, strong = 197, 10
		names := hostNames(hosts)
		report := func(i int) string {
			strength := 4.0
			if i < strong {
				strength = 1600
			}
			reply, err := h.exchange(t.Context(), names[i], Report{Zone: "z2", Address: "to " + names[i], Strength: strength})
			is.NoErr(err)
			return reply.Assigned
		}
		for i := range names {
			report(i)
		}
		time.Sleep(electionDelay)
		followers := make(map[string]int)
		for i := range names {
			if to := report(len(names) - 1 - i); to != "" {
				followers[to]++
			}
		}
		is.Equal(len(followers), 4)
		for to, n := range followers {
			is.True(n < maxFollowers)
			is.True(slices.Contains(names[:strong], strings.TrimPrefix(to, "to ")))
		}
	})
}

// A seed with many hubs below it relays to all that report to it. When it also served 64 hosts
// of its own zone, it relayed nothing to some of them for as long as they stayed.
func TestSeedOfManyHubsRelaysToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		const hubs = 16
		hubHosts := make(map[string]int) // the number of hosts that each hub reports for
		names := append(hostNames(150), "seed")
		for range 40 {
			for i := range hubs {
				name := fmt.Sprint("hub-", i)
				h.record(name, Report{Zone: "z2", Address: "to " + name, Hosts: 50})
			}
			for hub, n := range hubHosts {
				h.record(hub, Report{Zone: "z1", Address: "to " + hub, Hosts: n + 1})
			}
			var stayed []string
			for _, name := range names {
				if hubHosts[name] > 0 {
					stayed = append(stayed, name)
					continue
				}
				reply, err := h.exchange(t.Context(), name, Report{Zone: "z1", Address: "to " + name, Strength: 4})
				is.NoErr(err)
				if reply.Assigned == "" {
					stayed = append(stayed, name)
				} else {
					hubHosts[strings.TrimPrefix(reply.Assigned, "to ")]++
				}
			}
			names = stayed
			time.Sleep(Interval)
		}
		is.True(h.followers() <= maxFollowers)
		for _, name := range names {
			is.True(h.relaysTo(name))
		}
		for hub, n := range hubHosts {
			is.True(n < maxFollowers)
			is.True(h.relaysTo(hub))
		}
	})
}
