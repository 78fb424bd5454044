package exchange

import "github.com/quetzalweir/quetzalweir/internal/boottime"

// recordHubReply stores the data in another hub's reply. They cover the given number of hosts,
// none of which reports here.
func (h *hub) recordHubReply(address string, r Reply, hosts int) {
	h.recordSightings(hubKey(address), r.Sightings)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[hubKey(address)] = receivedReport{report: Report{Zone: r.Zone, Work: r.Work, Evidence: r.Evidence}, at: boottime.Now(), fromHub: true, hosts: hosts}
	h.sentPrefixes.add(address, true, r.SentPrefixes)
	h.leaving.add(address, true, r.Leaving, boottime.Now())
	h.recordTimings(hubKey(address), r.Timings)
	h.recordAccountUse(hubKey(address), r.AccountUse)
}

// dropHubData drops the data that the hub at the address sent, since this host stops reporting
// to that hub and the next hub's data cover the same hosts.
func (h *hub) dropHubData(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reports, hubKey(address))
}

// hasFollowers reports whether other hosts report here.
func (h *hub) hasFollowers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired()
	for name, received := range h.reports {
		if name != h.self && !received.fromHub {
			return true
		}
	}
	return false
}

// subtreeReport returns the report on behalf of this host and its followers, and the sequence
// number of the last entry of the prefix log in it. It first drops the last report that the hub
// at hubAddress sent to this host, since that hub is to receive the returned report: if two
// hosts reported to each other and each included the other's report, the sums would grow with
// each exchange.
func (h *hub) subtreeReport(own Report, prefixesSince uint64, hubAddress string) (Report, uint64) {
	h.mu.Lock()
	for name, received := range h.reports {
		if received.report.Address == hubAddress {
			delete(h.reports, name)
		}
	}
	h.mu.Unlock()
	sums := h.otherSums("", prefixesSince, toHub)
	own.Hosts, own.Work, own.Evidence, own.SentPrefixes = sums.Hosts, sums.Work, sums.Evidence, sums.SentPrefixes
	if own.WantTimings {
		own.Timings, own.AccountUse = h.otherTimings("", toHub), h.otherAccountUse("", toHub)
	}
	return own, sums.SentPrefixesLast
}

// hubKey returns the key of another hub's data in the map of reports. No host has such a name.
func hubKey(address string) string { return "hub " + address }
