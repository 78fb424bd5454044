// Package exchange lets the hosts of an installation tell each other, a few
// times a second, what each has in flight at the upstreams and what the store told
// of its tables.
//
// Each host talks to one hub of its own availability zone: a host that the settings
// name (a seed), or one that a seed names, which reports to the seed for all of its
// followers. A hub is a host like any other; nothing is decided or kept there, and a
// host without one goes on by what it knows itself. So the messages of an installation
// grow with its hosts, not with their pairs. The seeds, three at most, ask each other for
// the sums of their followers.
//
// What is told is a hint with an age. A host that doesn't hear from its hub for
// about a second asks the store itself and counts its own requests only.
package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// Interval is the time between two reports of a host. An engine reads a long
	// prompt in 300 ms; with 250 ms in place of 150 ms half more reports were
	// late on a calm day of 73 hosts (386 and 259 of 7,171).
	Interval = 150 * time.Millisecond
	// callTimeout bounds one exchange. Hosts are some milliseconds apart.
	callTimeout = 600 * time.Millisecond
	// WorkAge is the greatest age of a report, and of a hub's sum, that counts: an
	// exchange that lapsed, and one more.
	WorkAge = 900 * time.Millisecond
	// minFollowers is the number of hosts, the hub among them, from which it relays
	// the store's word. The hub then asks the store six times as often as a host
	// does for itself, so with fewer followers there would be more calls in all.
	minFollowers = 8
	// maxFollowers bounds the hosts that a hub relays to, and with that its
	// network traffic; further hosts get another hub, and ask the store until then.
	maxFollowers = 64
	// retryHub is the time between two looks for a better hub.
	retryHub = 5 * time.Second
	// retryNoHub is the same for a host without one, doubled with each look, up to
	// retryHub: when a whole installation starts, the seeds answer some 100 ms after the
	// other hosts look for them.
	retryNoHub       = 100 * time.Millisecond
	maxLookDoublings = 6

	method = "host.exchange"
)

// Report is what a host tells a hub.
type Report struct {
	Zone string `json:"zone"`
	// Hub says that another seed asks for the sums of this one's followers, Look that a
	// host only wants to know whether this one answers, and of what zone it is.
	Hub  bool `json:"hub,omitempty"`
	Look bool `json:"look,omitempty"`
	// Address is where other hosts reach this one, Strength its network link in Mbit/s
	// times its cores: who is a hub needs both.
	Address  string  `json:"address,omitempty"`
	Strength float64 `json:"strength,omitempty"`
	// Hosts is for how many hosts a hub speaks, itself included; 0 for a host that
	// speaks for itself.
	Hosts int `json:"hosts,omitempty"`
	// Work is the host's work in flight by upstream; none is left out.
	Work Work `json:"work,omitempty"`
	// Evidence is what the host saw of the roll-outs under way.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Reads are what the host's upstreams were sent for the first time since the last
	// report, ReadsSince the number up to which the host knows the hub's.
	Reads      Reads  `json:"reads,omitempty"`
	ReadsSince uint64 `json:"reads_since,omitempty"`
	// Limits are what the host's upstreams told of their limits, LimitsKnown is how far it
	// knows the hub's words. Holds is the digest of the grants that it has of the hub.
	Limits      LimitWords     `json:"limits,omitempty"`
	LimitsKnown ratelease.Mark `json:"limits_known,omitzero"`
	Holds       uint64         `json:"holds,omitempty"`
	// WantTimings asks for what the others' answers told of models' paces; a host then
	// tells what its own did.
	WantTimings bool    `json:"want_timings,omitempty"`
	Timings     Timings `json:"timings,omitempty"`
	// Sightings are what the host and its followers saw of upstreams that ended, since
	// the last report; SightingsSince is the number up to which another hub knows the
	// hub's.
	Sightings      Sightings `json:"sightings,omitzero"`
	SightingsSince uint64    `json:"sightings_since,omitempty"`
	// Revisions are the newest that the host knows of the store's tables.
	Revisions map[string]storage.Revision `json:"revisions,omitempty"`
}

// Reply is a hub's answer.
type Reply struct {
	// Zone is the hub's availability zone.
	Zone string `json:"zone"`
	// Hosts is the number of hosts that the hub knows of, to another hub that of its
	// own followers.
	Hosts int `json:"hosts,omitempty"`
	// Work is the sum of what the other hosts have in flight, by upstream.
	Work Work `json:"work,omitempty"`
	// Evidence is what the other hosts saw of the roll-outs under way.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Reads are the others' reads up to the number ReadsLast.
	Reads     Reads  `json:"reads,omitempty"`
	ReadsLast uint64 `json:"reads_last,omitempty"`
	// Timings are the sums of the other hosts'.
	Timings Timings `json:"timings,omitempty"`
	// Sightings are what the hub was told, up to the number SightingsLast: to another hub.
	Sightings     Sightings `json:"sightings,omitzero"`
	SightingsLast uint64    `json:"sightings_last,omitempty"`
	// Standing is what is known of upstreams that ended and of the requests to blame.
	Standing Standing `json:"standing,omitzero"`
	// Limits are what the hub knows of upstreams' limits and the host doesn't.
	Limits LimitNews `json:"limits"`
	// Lease is the right to send upstreams parts of their requests. Rooted says that a
	// root of the tree stands behind it.
	Lease  Lease `json:"lease,omitzero"`
	Rooted bool  `json:"rooted,omitempty"`
	// Assigned is the address of the hub to report to from now on; empty for this one.
	Assigned string `json:"assigned,omitempty"`
	// Relays says that the hub relays the store's word, Tables is that. Later says that
	// a table that the host doesn't know is likely to come: the hub reads it itself, or
	// will send the host to another one.
	Relays bool                 `json:"relays,omitempty"`
	Later  bool                 `json:"later,omitempty"`
	Tables map[string]TableNews `json:"tables,omitempty"`
}

// TableNews is feed.News on the wire.
type TableNews struct {
	Since    storage.Revision `json:"since"`
	Revision storage.Revision `json:"revision"`
	Complete bool             `json:"complete"`
	Whole    bool             `json:"whole,omitempty"`
	Packed   []byte           `json:"packed,omitempty"`
	AgeMs    int64            `json:"age_ms"`
	ClockMs  int64            `json:"clock_ms"`
	Rows     []NewsRow        `json:"rows,omitempty"`
}

// NewsRow is feed.Row on the wire.
type NewsRow struct {
	Key      string           `json:"key"`
	Data     []byte           `json:"data,omitempty"`
	Revision storage.Revision `json:"revision"`
	Deleted  bool             `json:"deleted,omitempty"`
}
