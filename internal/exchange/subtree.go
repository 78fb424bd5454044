package exchange

import "github.com/quetzalweir/quetzalweir/internal/boottime"

// takeHub keeps what another hub told of hosts that don't report here.
func (h *hub) takeHub(address string, r Reply, hosts int) {
	h.takeSightings(hubKey(address), r.Sightings)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[hubKey(address)] = received{report: Report{Zone: r.Zone, Work: r.Work, Evidence: r.Evidence}, at: boottime.Now(), fromHub: true, hosts: hosts}
	h.reads.add(address, true, r.Reads)
	h.takeTimings(hubKey(address), r.Timings)
}

// forgetHub forgets what a hub told that this host no longer reports to: the next one
// tells of the same hosts.
func (h *hub) forgetHub(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, hubKey(address))
}

// leads says whether other hosts report here.
func (h *hub) leads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOld()
	for name, got := range h.reports {
		if name != h.self && !got.fromHub {
			return true
		}
	}
	return false
}

// subtree is the report of this host and its followers together. What the hub at the
// address reports here, if two hosts are each other's, is left out: it would grow with
// each round.
func (h *hub) subtree(own Report, readsSince uint64, address string) (Report, uint64) {
	h.mu.Lock()
	for name, got := range h.reports {
		if got.report.Address == address {
			delete(h.reports, name)
		}
	}
	h.mu.Unlock()
	sums := h.sums("", readsSince, toHub)
	own.Hosts, own.Work, own.Evidence, own.Reads = sums.Hosts, sums.Work, sums.Evidence, sums.Reads
	if own.WantTimings {
		own.Timings = h.toldTimings("", toHub)
	}
	return own, sums.ReadsLast
}

// hubKey is where a hub's word is kept among the reports; no host has such a name.
func hubKey(address string) string { return "hub " + address }
