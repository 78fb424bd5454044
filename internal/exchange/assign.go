package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// A hub that serves hosts of another availability zone causes cross-zone traffic, which
// operators pay for, and it serves the hosts of several zones. If a zone has enough hosts, the
// seed that they report to therefore names the strongest of them as their hub. That host keeps
// reporting to the seed, on behalf of all its followers. Hosts beyond the capacity of one hub
// get another hub of their zone in the same way.

const (
	// electionDelay is the time from a zone's first report to the election of its hub. It lets
	// the zone's stronger hosts report too: when all hosts start at once, they all report
	// within 300 ms.
	electionDelay = 500 * time.Millisecond
	// failedHubBackoff is how long a host isn't assigned again to a hub that failed to answer
	// it. The hub's last report to the seed may still count for WorkAge.
	failedHubBackoff = 2 * time.Second
)

// zoneHubs holds the hubs that this hub has named for one zone.
type zoneHubs struct {
	// firstReportAt is when the zone's first host reported here.
	firstReportAt time.Time
	// named holds the hubs' names, in the order in which they were elected.
	named []string
	// assigned counts the hosts that were assigned to each hub since assignedSince. The hubs'
	// own reports include these hosts only a moment later.
	assigned      map[string]int
	assignedSince time.Time
	// reassignedAt holds when each host was assigned to another hub. Its last report here still
	// counts for a while.
	reassignedAt map[string]time.Time
}

// assign returns the address of the hub that a host should report to instead of this one, or ""
// if the host should stay.
func (h *hub) assign(from string, r Report) string {
	if r.Address == "" || r.Hosts > 1 {
		return "" // a hub itself, or a host that can't be one
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	z := h.currentZoneHubs(r.Zone)
	if slices.Contains(z.named, from) {
		return ""
	}
	delete(z.reassignedAt, from) // the host still reports here
	direct := h.directHosts(r.Zone)
	if r.Zone == h.zone && len(direct) <= h.directLimit() {
		return ""
	}
	if r.Zone != h.zone && len(z.named) == 0 && len(direct) < minFollowers {
		return ""
	}
	hub := h.leastLoadedHub(z)
	if hub == "" && boottime.Since(z.firstReportAt) >= electionDelay {
		hub = h.electHubs(z, r.Zone, direct)
	}
	if hub == "" || hub == from {
		return ""
	}
	z.assigned[hub]++
	z.reassignedAt[from] = boottime.Now()
	return h.reports[hub].report.Address
}

// directLimit returns how many hosts of its own zone this hub serves directly, besides the hubs
// that report here. With more than maxFollowers in all, the hub relays tables to some of them
// only. The caller holds the lock.
func (h *hub) directLimit() int { return max(0, maxFollowers-h.reporters().hubs) }

// currentZoneHubs returns the zone's entry, without hubs and assignments that have expired. The
// caller holds the lock.
func (h *hub) currentZoneHubs(zone string) *zoneHubs {
	z := h.zones[zone]
	now := boottime.Now()
	if z == nil {
		z = &zoneHubs{firstReportAt: now, reassignedAt: make(map[string]time.Time)}
		h.zones[zone] = z
	}
	z.named = slices.DeleteFunc(z.named, func(name string) bool { _, ok := h.reports[name]; return !ok })
	maps.DeleteFunc(z.reassignedAt, func(_ string, at time.Time) bool { return now.Sub(at) > WorkAge })
	if z.assigned == nil || now.Sub(z.assignedSince) > WorkAge {
		z.assigned, z.assignedSince = make(map[string]int), now
	}
	return z
}

// directHosts returns the names of the zone's hosts that report here for themselves alone,
// except those that were just assigned to another hub. The caller holds the lock.
func (h *hub) directHosts(zone string) []string {
	var names []string
	z := h.zones[zone]
	for name, got := range h.reports {
		if _, sent := z.reassignedAt[name]; sent {
			continue
		}
		if got.report.Zone == zone && got.hosts == 1 && !got.fromHub && got.report.Address != "" {
			names = append(names, name)
		}
	}
	return names
}

// leastLoadedHub returns the zone's hub that serves the fewest hosts, or "" if all of them are
// full. The caller holds the lock.
func (h *hub) leastLoadedHub(z *zoneHubs) string {
	hub, fewest := "", maxFollowers
	for _, name := range z.named {
		if n := h.reports[name].hosts + z.assigned[name]; n < fewest {
			hub, fewest = name, n
		}
	}
	return hub
}

// electHubs names as many hubs as the zone needs, at least one, and returns one of them, or ""
// if there is no candidate. It picks the strongest hosts that aren't hubs yet. All are named at
// once: a strong host that has been assigned to the first hub no longer reports here and can't
// be named later. The caller holds the lock.
func (h *hub) electHubs(z *zoneHubs, zone string, direct []string) string {
	hosts := len(direct)
	for _, name := range z.named {
		hosts += h.reports[name].hosts
	}
	if zone == h.zone {
		hosts -= h.directLimit()
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
	return h.leastLoadedHub(z)
}

// awaitsHub reports whether the host's zone will get a hub of its own soon. The caller holds
// the lock.
func (h *hub) awaitsHub(r Report) bool {
	z := h.zones[r.Zone]
	return r.Zone != h.zone && z != nil && len(z.named) == 0 && len(h.directHosts(r.Zone)) >= minFollowers
}
