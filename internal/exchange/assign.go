package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// A hub that serves hosts of another availability zone causes cross-zone traffic, which
// operators pay for, and it may have to serve the hosts of several zones. If a zone has enough
// hosts, the seed that they report to therefore appoints the strongest of them as their hub.
// The appointed host keeps reporting to the seed, on behalf of all its followers. Hosts beyond
// the capacity of one hub get further hubs in their zone in the same way.

const (
	// appointmentDelay is the time from the first report of a zone's hosts to the appointment
	// of its hub. It allows stronger hosts of the zone to report too: when all hosts start at
	// once, all of them report within 300 ms.
	appointmentDelay = 500 * time.Millisecond
	// failedHubBackoff is how long a host ignores assignments to a hub that failed to answer its
	// report. The seed may assign the host to that hub again meanwhile, since the hub's last
	// report to the seed counts for MaxWorkAge.
	failedHubBackoff = 2 * time.Second
)

// zoneHubs holds the hubs that this hub has appointed for one zone.
type zoneHubs struct {
	// firstReportAt is when the first host of the zone reported here.
	firstReportAt time.Time
	// appointed holds the names of the hubs in the order of their appointment.
	appointed []string
	// recentAssignments holds, by hub, the number of hosts assigned to it since
	// recentAssignmentsSince. The hubs' own reports include these hosts only a moment later.
	recentAssignments      map[string]int
	recentAssignmentsSince time.Time
	// reassignedAt holds, by host, when the host was assigned to another hub. The host's last
	// report to this hub counts for MaxWorkAge after that.
	reassignedAt map[string]time.Time
}

// assign returns the address of the hub to which the host named by from should report instead of
// this one, or "" if the host should stay.
func (h *hub) assign(from string, r Report) string {
	if r.Address == "" || r.Hosts > 1 {
		return "" // a hub itself, or a host that can't be one
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	z := h.pruneZoneHubs(r.Zone)
	if slices.Contains(z.appointed, from) {
		return ""
	}
	delete(z.reassignedAt, from) // the host still reports here
	direct := h.directHosts(r.Zone)
	if r.Zone == h.zone && len(direct) <= h.maxDirectHosts() {
		return ""
	}
	if r.Zone != h.zone && len(z.appointed) == 0 && len(direct) < minHostsPerHub {
		return ""
	}
	hub := h.leastLoadedHub(z)
	if hub == "" && boottime.Since(z.firstReportAt) >= appointmentDelay {
		hub = h.appointHubs(z, r.Zone, direct)
	}
	if hub == "" || hub == from {
		return ""
	}
	z.recentAssignments[hub]++
	z.reassignedAt[from] = boottime.Now()
	return h.reports[hub].report.Address
}

// maxDirectHosts returns the maximum number of hosts of its own zone that this hub serves
// directly: maxHostsPerHub minus the number of hubs that report here. With more than
// maxHostsPerHub reporters, the hub would relay tables to only some of them. The caller holds
// the lock.
func (h *hub) maxDirectHosts() int { return max(0, maxHostsPerHub-h.countReporters().hubs) }

// pruneZoneHubs drops the zone's hubs that no longer report and the assignments that have
// expired, and returns the zone's record. The caller holds the lock.
func (h *hub) pruneZoneHubs(zone string) *zoneHubs {
	z := h.zones[zone]
	now := boottime.Now()
	if z == nil {
		z = &zoneHubs{firstReportAt: now, reassignedAt: make(map[string]time.Time)}
		h.zones[zone] = z
	}
	z.appointed = slices.DeleteFunc(z.appointed, func(name string) bool { _, ok := h.reports[name]; return !ok })
	maps.DeleteFunc(z.reassignedAt, func(_ string, at time.Time) bool { return now.Sub(at) > MaxWorkAge })
	if z.recentAssignments == nil || now.Sub(z.recentAssignmentsSince) > MaxWorkAge {
		z.recentAssignments, z.recentAssignmentsSince = make(map[string]int), now
	}
	return z
}

// directHosts returns the names of the zone's hosts that report here on their own behalf alone
// and can be reached by other hosts, except those that were just assigned to another hub. The
// caller holds the lock.
func (h *hub) directHosts(zone string) []string {
	var names []string
	z := h.zones[zone]
	for name, received := range h.reports {
		if _, reassigned := z.reassignedAt[name]; reassigned {
			continue
		}
		if received.report.Zone == zone && received.hosts == 1 && !received.fromHub && received.report.Address != "" {
			names = append(names, name)
		}
	}
	return names
}

// leastLoadedHub returns the name of the zone's appointed hub that serves the fewest hosts, or
// "" if each of them serves maxHostsPerHub. The caller holds the lock.
func (h *hub) leastLoadedHub(z *zoneHubs) string {
	hub, fewest := "", maxHostsPerHub
	for _, name := range z.appointed {
		if n := h.reports[name].hosts + z.recentAssignments[name]; n < fewest {
			hub, fewest = name, n
		}
	}
	return hub
}

// appointHubs appoints as many hubs as the zone needs, at least one, and returns the name of
// one of them, or "" if there is no candidate. It picks the strongest hosts that aren't hubs
// yet. It appoints all of them at once, because a strong host that has been assigned to the
// first hub no longer reports here and can't be appointed later. The caller holds the lock.
func (h *hub) appointHubs(z *zoneHubs, zone string, direct []string) string {
	hosts := len(direct)
	for _, name := range z.appointed {
		hosts += h.reports[name].hosts
	}
	if zone == h.zone {
		hosts -= h.maxDirectHosts()
	}
	needed := (hosts + maxHostsPerHub - 1) / maxHostsPerHub
	direct = slices.DeleteFunc(direct, func(name string) bool { return name == h.self || slices.Contains(z.appointed, name) })
	slices.SortFunc(direct, func(a, b string) int {
		return -cmp.Or(cmp.Compare(h.reports[a].report.Strength, h.reports[b].report.Strength), cmp.Compare(a, b))
	})
	for i, name := range direct {
		if i > 0 && len(z.appointed) >= needed {
			break
		}
		z.appointed = append(z.appointed, name)
		h.log.Info().Str("event", "hub-named").Str("hub", name).Str("zone", zone).
			Float64("strength", h.reports[name].report.Strength).Int("among", len(direct)).Int("need", needed).Msg("")
	}
	return h.leastLoadedHub(z)
}

// awaitsZoneHub reports whether the host's zone will get a hub of its own soon. The caller
// holds the lock.
func (h *hub) awaitsZoneHub(r Report) bool {
	z := h.zones[r.Zone]
	return r.Zone != h.zone && z != nil && len(z.appointed) == 0 && len(h.directHosts(r.Zone)) >= minHostsPerHub
}
