// Package exchange lets the hosts of an installation share, several times a second, their
// work in flight at the upstreams and the latest changes of the store's tables.
//
// Each host reports to one hub of its own availability zone. The hub is either a host named in
// the settings (a seed) or a host named by a seed, which then reports to the seed on behalf of
// all its followers. A hub is an ordinary host: it decides and stores nothing for others, and a
// host without a hub works on its own data. The number of messages therefore grows with the
// number of hosts, not with the number of pairs. The seeds, three at most, query each other
// for the sums over their followers.
//
// All exchanged data are hints with an age. A host that hasn't received an answer of its hub
// for about a second queries the store itself and counts only its own requests.
package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// Interval is the time between two reports of a host. An inference engine processes a long
	// prompt in 300 ms; with an interval of 250 ms instead of 150 ms, half as many reports
	// again were late on a calm day of 73 hosts (386 instead of 259 of 7,171).
	Interval = 150 * time.Millisecond
	// callTimeout bounds one exchange. The latency between hosts is some milliseconds.
	callTimeout = 600 * time.Millisecond
	// WorkAge is the greatest age at which a report, or a hub's sum, still counts: one exchange
	// that timed out and one more.
	WorkAge = 900 * time.Millisecond
	// minFollowers is the number of hosts, including the hub, from which a hub relays table
	// updates. A relaying hub queries the store six times as often as a host does for itself,
	// so with fewer followers the total number of calls would rise.
	minFollowers = 8
	// maxFollowers bounds the hosts that a hub relays to, and with that its network traffic.
	// Further hosts are assigned to another hub, and query the store until then.
	maxFollowers = 64
	// hubRetryInterval is the time between two probes for a better hub.
	hubRetryInterval = 5 * time.Second
	// noHubRetryInterval is the first time between two probes of a host without a hub. It
	// doubles with each probe, up to hubRetryInterval: when a whole installation starts, the
	// seeds begin to answer some 100 ms after the other hosts' first probes.
	noHubRetryInterval = 100 * time.Millisecond
	maxProbeDoublings  = 6

	method = "host.exchange"
)

// Report is what a host sends to its hub.
type Report struct {
	Zone string `json:"zone"`
	// Hub marks a query of another seed for the sums over this seed's followers. Probe marks a
	// query of a host that only checks whether this one answers, and which zone it is in.
	Hub   bool `json:"hub,omitempty"`
	Probe bool `json:"look,omitempty"`
	// Address is where other hosts reach this one. Strength is its network link in Mbit/s times
	// its number of cores. A host can be named as a hub only with both.
	Address  string  `json:"address,omitempty"`
	Strength float64 `json:"strength,omitempty"`
	// Hosts is the number of hosts that a hub reports for, including itself; 0 for a host that
	// reports for itself alone.
	Hosts int `json:"hosts,omitempty"`
	// Work is the host's work in flight by upstream. Upstreams without work are left out.
	Work Work `json:"work,omitempty"`
	// Evidence holds the host's counts for the roll-outs in progress.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Reads lists the shared prompt prefixes that the host has sent to upstreams for the first
	// time since its last report. ReadsSince is the sequence number of the last of the hub's
	// reads that the host has received.
	Reads      Reads  `json:"reads,omitempty"`
	ReadsSince uint64 `json:"reads_since,omitempty"`
	// Limits are the rate limits that the host's upstreams announced. LimitsCursor is the
	// position in the hub's log of limits up to which the host has received it. GrantsDigest is
	// the digest of the grants that the host has received from the hub.
	Limits       LimitUpdates        `json:"limits,omitempty"`
	LimitsCursor ratelease.LogCursor `json:"limits_known,omitzero"`
	GrantsDigest uint64              `json:"holds,omitempty"`
	// WantTimings requests the other hosts' measured speeds of the models. Timings are the
	// host's own measurements; it sends them with such a request.
	WantTimings bool    `json:"want_timings,omitempty"`
	Timings     Timings `json:"timings,omitempty"`
	// Sightings are the upstream losses and answered suspects that the host and its followers
	// observed since the last report. SightingsSince is the sequence number of the last of the
	// hub's sightings that another hub has received.
	Sightings      Sightings `json:"sightings,omitzero"`
	SightingsSince uint64    `json:"sightings_since,omitempty"`
	// Revisions holds the newest revision of each of the store's tables that the host has.
	Revisions map[string]storage.Revision `json:"revisions,omitempty"`
}

// Reply is a hub's answer to a Report.
type Reply struct {
	// Zone is the hub's availability zone.
	Zone string `json:"zone"`
	// Hosts is the number of hosts that the hub has reports of; in a reply to another hub, the
	// number of its own followers.
	Hosts int `json:"hosts,omitempty"`
	// Work is the sum of the other hosts' work in flight, by upstream.
	Work Work `json:"work,omitempty"`
	// Evidence holds the other hosts' counts for the roll-outs in progress.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Reads holds the other hosts' reads up to the sequence number ReadsLast.
	Reads     Reads  `json:"reads,omitempty"`
	ReadsLast uint64 `json:"reads_last,omitempty"`
	// Timings holds the sums over the other hosts' measurements.
	Timings Timings `json:"timings,omitempty"`
	// Sightings are those that the hub received, up to the sequence number SightingsLast. They
	// are sent to other hubs only.
	Sightings     Sightings `json:"sightings,omitzero"`
	SightingsLast uint64    `json:"sightings_last,omitempty"`
	// QuarantineStatus lists the upstreams that ended, the suspected requests and the verdicts.
	QuarantineStatus QuarantineStatus `json:"standing,omitzero"`
	// Limits holds the upstreams' limits that the hub has and the host doesn't.
	Limits LimitBatch `json:"limits"`
	// Lease grants the host parts of the upstreams' request limits. Rooted reports whether the
	// grants derive from a root of the hub tree.
	Lease  Lease `json:"lease,omitzero"`
	Rooted bool  `json:"rooted,omitempty"`
	// Assigned is the address of the hub to report to from now on; empty to stay with this one.
	Assigned string `json:"assigned,omitempty"`
	// Relays reports whether the hub relays table updates; Tables holds them. TablePending
	// reports that a table that the host doesn't have yet will probably follow: the hub is
	// reading it itself, or will assign the host to another hub.
	Relays       bool                   `json:"relays,omitempty"`
	TablePending bool                   `json:"later,omitempty"`
	Tables       map[string]TableUpdate `json:"tables,omitempty"`
}

// TableUpdate is feed.Update on the wire.
type TableUpdate struct {
	Since    storage.Revision `json:"since"`
	Revision storage.Revision `json:"revision"`
	Complete bool             `json:"complete"`
	Whole    bool             `json:"whole,omitempty"`
	Packed   []byte           `json:"packed,omitempty"`
	AgeMs    int64            `json:"age_ms"`
	ClockMs  int64            `json:"clock_ms"`
	Rows     []UpdateRow      `json:"rows,omitempty"`
}

// UpdateRow is feed.Row on the wire.
type UpdateRow struct {
	Key      string           `json:"key"`
	Data     []byte           `json:"data,omitempty"`
	Revision storage.Revision `json:"revision"`
	Deleted  bool             `json:"deleted,omitempty"`
}
