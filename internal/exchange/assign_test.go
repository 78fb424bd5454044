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

// reportAll sends the hub a report from each named host, and returns the address of the hub to
// which each was assigned, "" if it stayed. The host "strong" has 40 times the strength of the
// others.
func reportAll(t *testing.T, h *hub, zone string, names ...string) map[string]string {
	t.Helper()
	assigned := make(map[string]string)
	for _, name := range names {
		strength := 4.0
		if name == "strong" {
			strength = 160
		}
		reply, err := h.handleReport(t.Context(), name, Report{Zone: zone, Address: "to " + name, Strength: strength})
		if err != nil {
			t.Fatal(err)
		}
		assigned[name] = reply.Assigned
	}
	return assigned
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
		names := hostNames(minHostsPerHub, "strong")
		for _, to := range reportAll(t, h, "z2", names...) {
			is.Equal(to, "") // the hub waits for reports from stronger hosts
		}
		time.Sleep(appointmentDelay)
		for name, to := range reportAll(t, h, "z2", names...) {
			if name == "strong" {
				is.Equal(to, "") // the appointed hub keeps reporting to the seed
			} else {
				is.Equal(to, "to strong")
			}
		}
		is.Equal(reportAll(t, h, "z1", "host of this zone")["host of this zone"], "")

		// The appointed hub reports for nine hosts. The seed counts them, and assigns a new host
		// to it.
		time.Sleep(MaxWorkAge + time.Millisecond)
		_, err := h.handleReport(t.Context(), "strong", Report{Zone: "z2", Address: "to strong", Hosts: 9})
		is.NoErr(err)
		is.Equal(reportAll(t, h, "z2", "newcomer")["newcomer"], "to strong")
		is.Equal(h.hostCount(toHost), 10)
		is.Equal(h.reporterCount(), 2)
	})
}

func TestSmallZoneGetsNoHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minHostsPerHub - 1)
		reportAll(t, h, "z2", names...)
		time.Sleep(appointmentDelay)
		for _, to := range reportAll(t, h, "z2", names...) {
			is.Equal(to, "")
		}
	})
}

func TestLostHubIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minHostsPerHub)
		reportAll(t, h, "z2", append(names, "strong")...)
		time.Sleep(appointmentDelay)
		is.Equal(reportAll(t, h, "z2", append(names, "strong")...)["host-0"], "to strong")
		time.Sleep(MaxWorkAge + time.Millisecond) // the hub's report expires; its hosts report here again
		reportAll(t, h, "z2", names...)
		to := reportAll(t, h, "z2", names...)["host-0"]
		is.True(to != "" && to != "to strong")
	})
}

// Hosts beyond the capacity of one hub are assigned to another one, also in the seed's own
// zone.
func TestLargeZoneGetsSeveralHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(3*maxHostsPerHub, "strong")
		reportAll(t, h, "z1", names...)
		time.Sleep(appointmentDelay)
		counts := make(map[string]int)
		for _, to := range reportAll(t, h, "z1", names...) {
			counts[to]++
		}
		is.True(len(counts) >= 3)
		for to, n := range counts {
			is.True(to == "" || n <= maxHostsPerHub)
		}
	})
}

// If two hosts report to each other, neither includes the other's sums in its own report.
func TestHostsThatReportToEachOtherAreCountedOnce(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "one", Zone: "z1"}, zerolog.Nop())
	h.record("one", Report{Zone: "z1", Address: "to one", Work: Work{1: 10}})
	h.record("other", Report{Zone: "z1", Address: "to other", Hosts: 7, Work: Work{1: 70}})
	report, _ := h.subtreeReport(Report{}, 0, "to other")
	is.Equal(report.Hosts, 1)
	is.Equal(report.Work, Work{1: 10})
}

// In a zone with more hosts than one hub serves, the seed keeps as many followers as it can
// serve, and relays table updates to the zone's other hubs. Guards against a seed that assigns
// all of its hosts to other hubs: without followers of its own it relays nothing, and every
// follower of those hubs queries the store.
func TestSeedOfALargeZoneRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 100, 1, 10)
		time.Sleep(10 * time.Second)
		seeds, hubs := 0, 0
		for _, h := range f.hosts {
			n := h.member.ReporterCount()
			switch {
			case slices.Contains(f.seeds, h.address):
				seeds++
				is.True(n > maxHostsPerHub/2)
				is.True(h.member.Relays())
			case n > 1:
				hubs++
				is.True(h.member.ownHub.receivesTables.Load())
			}
		}
		is.True(seeds > 0 && hubs > 0)
	})
}

// A seed whose only followers are hubs relays table updates to them, since they report for many
// hosts.
func TestSeedOfHubsRelays(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
	h.record("seed", Report{Zone: "z1"})
	h.record("hub", Report{Zone: "z2", Hosts: minHostsPerHub - 2})
	is.True(!h.relays())
	h.record("hub", Report{Zone: "z2", Hosts: minHostsPerHub - 1})
	is.True(h.relays())
	is.True(h.relaysTo("hub"))
}

// All hubs that a seed appoints for a zone, not only the first one, are among its strongest
// hosts.
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
			reply, err := h.handleReport(t.Context(), names[i], Report{Zone: "z2", Address: "to " + names[i], Strength: strength})
			is.NoErr(err)
			return reply.Assigned
		}
		for i := range names {
			report(i)
		}
		time.Sleep(appointmentDelay)
		followers := make(map[string]int)
		for i := range names {
			if to := report(len(names) - 1 - i); to != "" {
				followers[to]++
			}
		}
		is.Equal(len(followers), 4)
		for to, n := range followers {
			is.True(n < maxHostsPerHub)
			is.True(slices.Contains(names[:strong], strings.TrimPrefix(to, "to ")))
		}
	})
}

// A seed to which many hubs report relays table updates to all of them and to all hosts of its
// own zone that it keeps. Guards against a seed that keeps 64 hosts of its own zone besides the
// hubs, and then relays nothing to some of them for as long as they report to it.
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
				reply, err := h.handleReport(t.Context(), name, Report{Zone: "z1", Address: "to " + name, Strength: 4})
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
		is.True(h.reporterCount() <= maxHostsPerHub)
		for _, name := range names {
			is.True(h.relaysTo(name))
		}
		for hub, n := range hubHosts {
			is.True(n < maxHostsPerHub)
			is.True(h.relaysTo(hub))
		}
	})
}
