// Package exchange lets the hosts of an installation share their work in flight at the
// upstreams and the latest changes of the store's tables, several times a second.
//
// Each host reports to one hub, in its own availability zone if there is one. The hub is either
// a seed, which is a host listed in the settings, or a host that a seed appointed. An appointed
// hub reports to the seed on behalf of all its followers. A hub is an ordinary host: it decides
// nothing and stores nothing for other hosts, and a host without a hub works with its own data
// alone. The number of messages therefore grows with the number of hosts, not with the number
// of pairs of hosts. The seeds, three at most, query each other for the sums over their
// followers.
//
// All exchanged data are hints with an age. A host that hasn't received a reply from its hub
// for about a second queries the store itself and counts only its own requests.
package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// Interval is the time between two reports of a host. An inference engine processes a long
	// prompt in 300 ms. On a calm day of 73 hosts, 386 of 7,171 reports were late with an
	// interval of 250 ms, and 259 with 150 ms.
	Interval = 150 * time.Millisecond
	// callTimeout bounds one exchange, which is a report and its reply. The latency between
	// hosts is a few milliseconds.
	callTimeout = 600 * time.Millisecond
	// MaxWorkAge is the maximum age at which a report, or the sums in another hub's reply, still
	// count. It is long enough for one exchange that times out and the next one.
	MaxWorkAge = 900 * time.Millisecond
	// minHostsPerHub is the number of hosts, including the hub, from which a hub relays table
	// updates, and from which a seed appoints a hub for another zone. A relaying hub queries
	// the store six times as often as a host that queries it for itself alone, so with fewer
	// hosts the total number of calls would rise.
	minHostsPerHub = 8
	// maxHostsPerHub is the maximum number of hosts that a hub relays to, including itself. It
	// bounds the hub's network traffic. Further hosts are assigned to another hub; until then
	// they query the store themselves.
	maxHostsPerHub = 64
	// hubRetryInterval is the time between two probes for a better hub. It is also the longest time
	// between a failed query of another seed and the next query of that seed.
	hubRetryInterval = 5 * time.Second
	// noHubRetryInterval is the initial time between two probes by a host without a hub, and
	// between a failed query of another seed and the next one. It doubles with each of them, up to
	// hubRetryInterval. maxProbeDoublings limits the doublings, so that the bit shift that computes
	// them doesn't overflow. When a whole installation starts, the seeds begin to answer about
	// 100 ms after the other hosts' first probes.
	noHubRetryInterval = 100 * time.Millisecond
	maxProbeDoublings  = 6

	exchangeMethod = "host.exchange"
)

// Report is what a host sends to its hub.
type Report struct {
	Zone string `json:"zone"`
	// HubQuery marks a query by another seed for the sums over this seed's followers. Probe
	// marks a query by a host that only checks whether this host answers and which zone it is
	// in.
	HubQuery bool `json:"hub,omitempty"`
	Probe    bool `json:"look,omitempty"`
	// Address is where other hosts reach the reporting host; a host without one can't be
	// appointed as a hub. Strength is the bandwidth of its network link in Mbit/s times its
	// number of cores. The strongest hosts of a zone are appointed first.
	Address  string  `json:"address,omitempty"`
	Strength float64 `json:"strength,omitempty"`
	// Hosts is the number of hosts that a hub reports for, including itself; 0 for a host that
	// reports for itself alone.
	Hosts int `json:"hosts,omitempty"`
	// Work holds the work in flight by upstream, of the reporting host or, if Hosts is set,
	// summed over all hosts that it reports for. Upstreams without work are left out.
	Work Work `json:"work,omitempty"`
	// Evidence holds the answers counted per version in the roll-outs in progress, by the
	// reporting host or by all hosts that it reports for.
	Evidence []Evidence `json:"evidence,omitempty"`
	// SentPrefixes lists the shared prompt prefixes that the reporting host, or a host that it
	// reports for, has sent to upstreams for the first time since the last report.
	// SentPrefixesSince is the sequence number of the last entry in the hub's prefix log that
	// the reporting host has received.
	SentPrefixes      SentPrefixes `json:"reads,omitempty"`
	SentPrefixesSince uint64       `json:"reads_since,omitempty"`
	// Limits are the changes of the rate limits that the host's upstreams announced.
	// LimitsCursor is the position in the hub's limit log up to which the host has received the
	// log. GrantsDigest is the digest of the grants that the host received with the hub's last
	// lease.
	Limits       LimitUpdates        `json:"limits,omitempty"`
	LimitsCursor ratelease.LogCursor `json:"limits_known,omitzero"`
	GrantsDigest uint64              `json:"holds,omitempty"`
	// Leaving lists upstreams that stated to the reporting host, or to a host that it reports for,
	// that they are leaving, since the last report. LeavingSince is the sequence number of the last
	// entry in the hub's log of them that the reporting host has received.
	Leaving      LeavingUpstreams `json:"leaving,omitempty"`
	LeavingSince uint64           `json:"leaving_since,omitempty"`
	// Promises lists reservations for rejected requests that the reporting host, or a host that it
	// reports for, made since the last report. PromisesSince is the sequence number of the last
	// entry in the hub's log of them that the reporting host has received.
	Promises      Promises `json:"promises,omitempty"`
	PromisesSince uint64   `json:"promises_since,omitempty"`
	// WantTimings requests the speeds of models that the other hosts measured. Timings holds the
	// host's own measurements; it is set only together with WantTimings.
	WantTimings bool    `json:"want_timings,omitempty"`
	Timings     Timings `json:"timings,omitempty"`
	// Engines is the state of engines by the requests of the reporting host, or of all hosts that
	// it reports for.
	Engines *EngineStates `json:"engines,omitempty"`
	// AccountUse is the client accounts' use of engine time at the reporting host or, if Hosts is
	// set, at all hosts that it reports for. It is set only together with WantTimings.
	AccountUse AccountUse `json:"account_use,omitempty"`
	// RelaysConns reports that the host reaches upstreams and relays connections to them for other hosts.
	// WantRelayHosts requests such hosts.
	RelaysConns    bool `json:"relays_conns,omitempty"`
	WantRelayHosts bool `json:"want_relay_hosts,omitempty"`
	// Sightings are the losses and survivals of requests that the host and its followers
	// observed since the last report. SightingsSince is set only in queries by other hubs. It is
	// the sequence number of the last entry in this hub's sighting log that the querying hub has
	// received.
	Sightings      Sightings `json:"sightings,omitzero"`
	SightingsSince uint64    `json:"sightings_since,omitempty"`
	// Revisions holds, by table name, the newest revision of the store's table that the host
	// has.
	Revisions map[string]storage.Revision `json:"revisions,omitempty"`
	// Deltas reports that the host accepts deltas of large rows, except those of the tables in
	// NoDeltas.
	Deltas   bool     `json:"deltas,omitempty"`
	NoDeltas []string `json:"no_deltas,omitempty"`
	// AcceptsParts reports that the host accepts table updates in parts. Parts holds, by table name,
	// the positions in the updates that it is receiving so.
	AcceptsParts bool                    `json:"accepts_parts,omitempty"`
	Parts        map[string]PartPosition `json:"parts,omitempty"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Tables holds, by table name, the updates that the hub requested in its last reply.
	Tables map[string]TableUpdate `json:"tables,omitempty"`
}

// Reply is a hub's answer to a Report.
type Reply struct {
	// Zone is the hub's availability zone.
	Zone string `json:"zone"`
	// Hosts is the number of hosts whose data the hub has, including the receiver. In a reply to
	// another hub it counts only the hosts that report to this hub, directly or through another
	// one.
	Hosts int `json:"hosts,omitempty"`
	// Work is the sum of the other hosts' work in flight, by upstream.
	Work Work `json:"work,omitempty"`
	// Evidence holds the answers that the other hosts counted per version in the roll-outs in
	// progress.
	Evidence []Evidence `json:"evidence,omitempty"`
	// SentPrefixes lists the shared prompt prefixes that other hosts have sent to upstreams for
	// the first time, up to the sequence number SentPrefixesLast in the hub's prefix log.
	SentPrefixes     SentPrefixes `json:"reads,omitempty"`
	SentPrefixesLast uint64       `json:"reads_last,omitempty"`
	// Leaving lists upstreams that stated to other hosts that they are leaving, up to the entry of
	// the hub's log of them with the sequence number LeavingLast.
	Leaving     LeavingUpstreams `json:"leaving,omitempty"`
	LeavingLast uint64           `json:"leaving_last,omitempty"`
	// Promises lists reservations that other hosts made for rejected requests, up to the entry of
	// the hub's log of them with the sequence number PromisesLast.
	Promises     Promises `json:"promises,omitempty"`
	PromisesLast uint64   `json:"promises_last,omitempty"`
	// Timings holds, for each service and model, the sums of the other hosts' measurements.
	Timings Timings `json:"timings,omitempty"`
	// Engines is the state of engines by the requests of the other hosts.
	Engines *EngineStates `json:"engines,omitempty"`
	// AccountUse holds the sums of the client accounts' use at the other hosts.
	AccountUse AccountUse `json:"account_use,omitempty"`
	// RelayHosts are hosts that relay connections to upstreams.
	RelayHosts []RelayHost `json:"relay_hosts,omitempty"`
	// Sightings are the losses and survivals of requests that were reported to the hub, up to
	// the entry of its sighting log with the sequence number SightingsLast. Both fields are set
	// only in replies to queries by other hubs.
	Sightings     Sightings `json:"sightings,omitzero"`
	SightingsLast uint64    `json:"sightings_last,omitempty"`
	// QuarantineStatus lists the terminated upstreams, the suspects and the verdicts.
	QuarantineStatus QuarantineStatus `json:"standing,omitzero"`
	// Limits holds the limit updates that the hub has and the receiver doesn't.
	Limits LimitBatch `json:"limits"`
	// Lease grants the receiver parts of the upstreams' request limits. Rooted reports whether
	// the grants derive from a root hub.
	Lease  Lease `json:"lease,omitzero"`
	Rooted bool  `json:"rooted,omitempty"`
	// Assigned is the address of the hub to report to from now on; empty to stay with this one.
	Assigned string `json:"assigned,omitempty"`
	// Outdated reports that some of the hub's tables are older than its calls of the store account
	// for, as while it reads a large answer over a slow link.
	Outdated bool `json:"outdated,omitempty"`
	// Relays reports whether the hub relays table updates to the receiver. Tables holds the
	// updates by table name. TablePending reports that the receiver will probably get a table
	// that it doesn't have yet: this hub is still reading the table, or will assign the receiver
	// to another hub that can send it.
	Relays       bool                   `json:"relays,omitempty"`
	TablePending bool                   `json:"later,omitempty"`
	Tables       map[string]TableUpdate `json:"tables,omitempty"`
	// Requested holds, by table name, requests for changes that the receiver has and the hub lacks.
	Requested map[string]TableRequest `json:"requested,omitempty"`
}

// TableUpdate is feed.Update on the wire. AgeMs and ClockMs are its Age and Clock in
// milliseconds.
type TableUpdate struct {
	Since      storage.Revision `json:"since"`
	Revision   storage.Revision `json:"revision"`
	Complete   bool             `json:"complete"`
	IsSnapshot bool             `json:"whole,omitempty"`
	Packed     []byte           `json:"packed,omitempty"`
	AgeMs      int64            `json:"age_ms"`
	ClockMs    int64            `json:"clock_ms"`
	Outdated   bool             `json:"outdated,omitempty"`
	Rows       []UpdateRow      `json:"rows,omitempty"`
	Deltas     []RowDelta       `json:"deltas,omitempty"`
	// Part is a part of an update that is too large for one reply. Revision is that of the update;
	// the other fields, except for AgeMs, ClockMs and Outdated, are unused then.
	Part *TablePart `json:"part,omitempty"`
}

// RowDelta is feed.RowDelta on the wire.
type RowDelta struct {
	Key      string           `json:"key"`
	Base     storage.Revision `json:"base"`
	Revision storage.Revision `json:"revision"`
	Delta    []byte           `json:"delta"`
}

// UpdateRow is feed.Row on the wire.
type UpdateRow struct {
	Key      string           `json:"key"`
	Data     []byte           `json:"data,omitempty"`
	Revision storage.Revision `json:"revision"`
	Deleted  bool             `json:"deleted,omitempty"`
}
