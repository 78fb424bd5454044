package exchange

import "github.com/quetzalweir/quetzalweir/internal/boottime"

// recordHub records another hub's data on hosts that don't report here.
func (h *hub) recordHub(address string, r Reply, hosts int) {
	h.recordSightings(hubKey(address), r.Sightings)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[hubKey(address)] = receivedReport{report: Report{Zone: r.Zone, Work: r.Work, Evidence: r.Evidence}, at: boottime.Now(), fromHub: true, hosts: hosts}
	h.reads.add(address, true, r.Reads)
	h.recordTimings(hubKey(address), r.Timings)
}

// forgetHub drops the data of a hub that this host no longer reports to: the next hub covers
// the same hosts.
func (h *hub) forgetHub(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, hubKey(address))
}

// hasFollowers reports whether other hosts report here.
func (h *hub) hasFollowers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	for name, got := range h.reports {
		if name != h.self && !got.fromHub {
			return true
		}
	}
	return false
}

// subtreeReport returns the report on behalf of this host and its followers. If two hosts
// report to each other, the report of the hub at the address is left out: the sums would grow
// with each exchange.
func (h *hub) subtreeReport(own Report, readsSince uint64, address string) (Report, uint64) {
	h.mu.Lock()
	for name, got := range h.reports {
		if got.report.Address == address {
			delete(h.reports, name)
		}
	}
	h.mu.Unlock()
	sums := h.otherSums("", readsSince, toHub)
	own.Hosts, own.Work, own.Evidence, own.Reads = sums.Hosts, sums.Work, sums.Evidence, sums.Reads
	if own.WantTimings {
		own.Timings = h.otherTimings("", toHub)
	}
	return own, sums.ReadsLast
}

// hubKey is the key of a hub's data among the reports; no host has such a name.
func hubKey(address string) string { return "hub " + address }
