package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// A hub of one zone serves the hosts of another badly: each message crosses zones, for
// which operators pay, and one hub has the hosts of several zones. So where a zone has
// hosts enough, the seed that they report to names one of them as their hub, the strongest.
// That host goes on reporting to the seed, for all of its followers at once. Hosts beyond
// what one hub serves get another one of their zone in the same way.

const (
	// electAfter is the time from a zone's first report to the naming of its hub, in
	// which the zone's stronger hosts report, too: when all hosts start at once they do
	// so within 300 ms.
	electAfter = 500 * time.Millisecond
	// avoidHub is how long a host isn't sent back to a hub that didn't answer it: the
	// hub's last report may be as old as WorkAge.
	avoidHub = 2 * time.Second
)

// zoneHubs are the hubs of one zone that a hub named.
type zoneHubs struct {
	// since is when the zone's first host reported here.
	since time.Time
	// named are the hubs' names, in the order in which they were named.
	named []string
	// assigned counts the hosts that were sent to each since the time of count: they
	// show in its reports a moment later.
	assigned map[string]int
	count    time.Time
	// sent are the hosts that were sent to hubs, and when: their last reports here count
	// for a while yet.
	sent map[string]time.Time
}

// assign names the address of the hub that a host is to report to in place of this one;
// empty if it is to stay.
func (h *hub) assign(from string, r Report) string {
	if r.Address == "" || r.Hosts > 1 {
		return "" // a hub itself, or a host that can't be one
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	z := h.zoneHubs(r.Zone)
	if slices.Contains(z.named, from) {
		return ""
	}
	delete(z.sent, from) // it didn't go
	direct := h.direct(r.Zone)
	if r.Zone == h.zone && len(direct) <= h.ownShare() {
		return ""
	}
	if r.Zone != h.zone && len(z.named) == 0 && len(direct) < minFollowers {
		return ""
	}
	hub := h.withRoom(z)
	if hub == "" && boottime.Since(z.since) >= electAfter {
		hub = h.elect(z, r.Zone, direct)
	}
	if hub == "" || hub == from {
		return ""
	}
	z.assigned[hub]++
	z.sent[from] = boottime.Now()
	return h.reports[hub].report.Address
}

// ownShare is how many hosts of its own zone this one serves beside the hubs that report here:
// with more in all it relays to a part of them only. The lock is held.
func (h *hub) ownShare() int { return max(0, maxFollowers-h.reporters().hubs) }

// zoneHubs are the zone's hubs that still report. The lock is held.
func (h *hub) zoneHubs(zone string) *zoneHubs {
	z := h.zones[zone]
	now := boottime.Now()
	if z == nil {
		z = &zoneHubs{since: now, sent: make(map[string]time.Time)}
		h.zones[zone] = z
	}
	z.named = slices.DeleteFunc(z.named, func(name string) bool { _, reports := h.reports[name]; return !reports })
	maps.DeleteFunc(z.sent, func(_ string, at time.Time) bool { return now.Sub(at) > WorkAge })
	if z.assigned == nil || now.Sub(z.count) > WorkAge {
		z.assigned, z.count = make(map[string]int), now
	}
	return z
}

// direct are the names of the hosts of a zone that reported here which do so for themselves
// alone, without those that were just sent to hubs. The lock is held.
func (h *hub) direct(zone string) []string {
	var names []string
	z := h.zones[zone]
	for name, got := range h.reports {
		if _, sent := z.sent[name]; sent {
			continue
		}
		if got.report.Zone == zone && got.hosts == 1 && !got.fromHub && got.report.Address != "" {
			names = append(names, name)
		}
	}
	return names
}

// withRoom is the zone's hub that serves fewest hosts; empty if none can serve more. The lock
// is held.
func (h *hub) withRoom(z *zoneHubs) string {
	hub, fewest := "", maxFollowers
	for _, name := range z.named {
		if n := h.reports[name].hosts + z.assigned[name]; n < fewest {
			hub, fewest = name, n
		}
	}
	return hub
}

// elect names as many hubs as the zone needs, one at least, the strongest of the hosts that
// aren't hubs, and returns one of them; empty if there is no host. All are named at once: a
// strong host that follows the first one doesn't report here, and can't be named any more.
// The lock is held.
func (h *hub) elect(z *zoneHubs, zone string, direct []string) string {
	hosts := len(direct)
	for _, name := range z.named {
		hosts += h.reports[name].hosts
	}
	if zone == h.zone {
		hosts -= h.ownShare()
	}
	need := (hosts + maxFollowers - 1) / maxFollowers
	direct = slices.DeleteFunc(direct, func(name string) bool { return name == h.self || slices.Contains(z.named, name) })
	slices.SortFunc(direct, func(a, b string) int {
		return -cmp.Or(cmp.Compare(h.reports[a].report.Strength, h.reports[b].report.Strength), cmp.Compare(a, b))
	})
	for i, name := range direct {
		if i > 0 && len(z.named) >= need {
			break
		}
		z.named = append(z.named, name)
		h.log.Info().Str("event", "hub-named").Str("hub", name).Str("zone", zone).
			Float64("strength", h.reports[name].report.Strength).Int("among", len(direct)).Int("need", need).Msg("")
	}
	return h.withRoom(z)
}

// pending says that the host will be sent to a hub of its zone soon. The lock is held.
func (h *hub) pending(r Report) bool {
	z := h.zones[r.Zone]
	return r.Zone != h.zone && z != nil && len(z.named) == 0 && len(h.direct(r.Zone)) >= minFollowers
}
