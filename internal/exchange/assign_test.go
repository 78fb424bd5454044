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

// reporting has hosts of a zone report to the hub, and returns where each is sent.
func reporting(t *testing.T, h *hub, zone string, names ...string) map[string]string {
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
		for _, to := range reporting(t, h, "z2", names...) {
			is.Equal(to, "") // stronger hosts may come yet
		}
		time.Sleep(electAfter)
		for name, to := range reporting(t, h, "z2", names...) {
			if name == "strong" {
				is.Equal(to, "") // it goes on reporting here
			} else {
				is.Equal(to, "to strong")
			}
		}
		is.Equal(reporting(t, h, "z1", "host of this zone")["host of this zone"], "")

		// The hub reports for all; the seed counts them and sends newcomers there.
		time.Sleep(WorkAge + time.Millisecond)
		_, err := h.exchange(t.Context(), "strong", Report{Zone: "z2", Address: "to strong", Hosts: 9})
		is.NoErr(err)
		is.Equal(reporting(t, h, "z2", "newcomer")["newcomer"], "to strong")
		is.Equal(h.hosts(toHost), 10)
		is.Equal(h.followers(), 2)
	})
}

func TestSmallZoneGetsNoHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minFollowers - 1)
		reporting(t, h, "z2", names...)
		time.Sleep(electAfter)
		for _, to := range reporting(t, h, "z2", names...) {
			is.Equal(to, "")
		}
	})
}

func TestLostHubIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(minFollowers)
		reporting(t, h, "z2", append(names, "strong")...)
		time.Sleep(electAfter)
		is.Equal(reporting(t, h, "z2", append(names, "strong")...)["host-0"], "to strong")
		time.Sleep(WorkAge + time.Millisecond) // the hub reports no more, its hosts come back
		reporting(t, h, "z2", names...)
		to := reporting(t, h, "z2", names...)["host-0"]
		is.True(to != "" && to != "to strong")
	})
}

// Hosts beyond what one hub serves get another one, also in the hub's own zone.
func TestMoreHostsThanOneHubServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		names := hostNames(3*maxFollowers, "strong")
		reporting(t, h, "z1", names...)
		time.Sleep(electAfter)
		counts := make(map[string]int)
		for _, to := range reporting(t, h, "z1", names...) {
			counts[to]++
		}
		is.True(len(counts) >= 3)
		for to, n := range counts {
			is.True(to == "" || n <= maxFollowers)
		}
	})
}

// Two hosts that report to each other don't count each other's sums again and again.
func TestHostsThatReportToEachOther(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "one", Zone: "z1"}, zerolog.Nop())
	h.take("one", Report{Zone: "z1", Address: "to one", Work: Work{1: 10}})
	h.take("other", Report{Zone: "z1", Address: "to other", Hosts: 7, Work: Work{1: 70}})
	report, _ := h.subtree(Report{}, 0, "to other")
	is.Equal(report.Hosts, 1)
	is.Equal(report.Work, Work{1: 10})
}

// Of a zone with more hosts than one hub serves, the seed's own hub goes on with as many as
// it can serve, and passes the store's word on to the hubs of the others: without followers
// of its own it told them nothing, and each of theirs read the store.
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
				is.True(h.member.hub.told.Load())
			}
		}
		is.True(seeds > 0 && hubs > 0)
	})
}

// A seed that has hubs as followers alone relays to them: they speak for many hosts.
func TestSeedOfHubsRelays(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
	h.take("seed", Report{Zone: "z1"})
	h.take("hub", Report{Zone: "z2", Hosts: minFollowers - 2})
	is.True(!h.relays())
	h.take("hub", Report{Zone: "z2", Hosts: minFollowers - 1})
	is.True(h.relays())
	is.True(h.relaysTo("hub"))
}

// The hubs of a zone are its strongest hosts, also the second and third one.
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
		time.Sleep(electAfter)
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

// A seed with many hubs below it relays to all that report to it: with 64 hosts of its own
// zone besides, it told some of them nothing for as long as they stayed.
func TestSeedOfManyHubsRelaysToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Host: "seed", Zone: "z1"}, zerolog.Nop())
		const hubs = 16
		at := make(map[string]int) // how many hosts each hub speaks for
		names := append(hostNames(150), "seed")
		for range 40 {
			for i := range hubs {
				name := fmt.Sprint("hub-", i)
				h.take(name, Report{Zone: "z2", Address: "to " + name, Hosts: 50})
			}
			for hub, n := range at {
				h.take(hub, Report{Zone: "z1", Address: "to " + hub, Hosts: n + 1})
			}
			var stayed []string
			for _, name := range names {
				if at[name] > 0 {
					stayed = append(stayed, name)
					continue
				}
				reply, err := h.exchange(t.Context(), name, Report{Zone: "z1", Address: "to " + name, Strength: 4})
				is.NoErr(err)
				if reply.Assigned == "" {
					stayed = append(stayed, name)
				} else {
					at[strings.TrimPrefix(reply.Assigned, "to ")]++
				}
			}
			names = stayed
			time.Sleep(Interval)
		}
		is.True(h.followers() <= maxFollowers)
		for _, name := range names {
			is.True(h.relaysTo(name))
		}
		for hub, n := range at {
			is.True(n < maxFollowers)
			is.True(h.relaysTo(hub))
		}
	})
}
