package capacity

import "math"

// Size says how large a system is and how much it does.
type Size struct {
	// Hosts are entry hosts, Upstreams engines and plain services.
	Hosts, Zones, Regions, Upstreams float64
	// Pools are the models and services that upstreams are grouped by.
	Pools float64
	// Accounts are client accounts; Versions are those of all models, of which
	// RollingIn roll in at a time.
	Accounts, Versions, RollingIn float64
	// Requests and Tokens are per second, over all hosts.
	Requests, Tokens float64
	// Changes are accepted manifests a day.
	Changes float64
	// Restarts are entry hosts and upstreams that fail, restart or are
	// replaced, a day.
	Restarts float64
}

// Today is the size of one of the present installations. Its load isn't known:
// it is taken as that of 7 hosts out of Full.
func Today() Size {
	return Size{
		Hosts: 7, Zones: 3, Regions: 1, Upstreams: 21, Pools: 2,
		Accounts: 10, Versions: 4, RollingIn: 1,
		Requests: 14_000 * 7 / 440.0, Tokens: 4_200_000 * 7 / 440.0,
		Changes: 16_000 * 7 / 440.0, Restarts: 3499 * 28 / 12_440.0,
	}
}

// Full is the size that the design has to reach. The number of accounts isn't
// given and is assumed.
func Full() Size {
	return Size{
		Hosts: 440, Zones: 32, Regions: 11, Upstreams: 12_000, Pools: 22,
		Accounts: 1000, Versions: 22, RollingIn: 2,
		Requests: 14_000, Tokens: 4_200_000,
		Changes: 16_000, Restarts: 3499,
	}
}

// Between returns the size with a number of hosts on the line between Today
// and Full, on which each quantity is a power of the number of hosts. It goes
// on beyond both ends.
func Between(hosts float64) Size {
	today, full := Today(), Full()
	part := math.Log(hosts/today.Hosts) / math.Log(full.Hosts/today.Hosts)
	on := func(a, b float64) float64 { return a * math.Pow(b/a, part) }
	return Size{
		Hosts:     hosts,
		Zones:     on(today.Zones, full.Zones),
		Regions:   on(today.Regions, full.Regions),
		Upstreams: on(today.Upstreams, full.Upstreams),
		Pools:     on(today.Pools, full.Pools),
		Accounts:  on(today.Accounts, full.Accounts),
		Versions:  on(today.Versions, full.Versions),
		RollingIn: on(today.RollingIn, full.RollingIn),
		Requests:  on(today.Requests, full.Requests),
		Tokens:    on(today.Tokens, full.Tokens),
		Changes:   on(today.Changes, full.Changes),
		Restarts:  on(today.Restarts, full.Restarts),
	}
}

const (
	secondsPerDay = 86_400
	// keyedShare is the assumed part of requests that run at most once.
	keyedShare = 0.01
	// newSessions is the assumed part of requests that begin a session.
	newSessions = 0.1
	// rowSessions is the assumed part of sessions whose callers return no token.
	rowSessions = 0.1
	// listChanges is the changes of the host list that a restart makes: leaving,
	// gone, back.
	listChanges = 3
	// memberChanges is the changes of a member's state that a restart makes.
	memberChanges = 4
	// firstToken and nextToken are the 95th percentiles, in seconds.
	firstToken = 1.6
	nextToken  = 0.036
)

// requestsPerHost is per second.
func (s Size) requestsPerHost() float64 { return s.Requests / s.Hosts }

// tokensPerHost is per second.
func (s Size) tokensPerHost() float64 { return s.Tokens / s.Hosts }

// streamsPerHost is the number of answers under way, if each took the 95th
// percentiles.
func (s Size) streamsPerHost() float64 {
	perRequest := s.Tokens / s.Requests
	return s.requestsPerHost() * (firstToken + perRequest*nextToken)
}

// changesPerSecond is the rate of accepted manifests.
func (s Size) changesPerSecond() float64 { return s.Changes / secondsPerDay }

// hostRestarts and upstreamRestarts are per second; restarts are spread evenly
// over entry hosts and upstreams.
func (s Size) hostRestarts() float64 {
	return s.Restarts * s.Hosts / (s.Hosts + s.Upstreams) / secondsPerDay
}

func (s Size) upstreamRestarts() float64 {
	return s.Restarts * s.Upstreams / (s.Hosts + s.Upstreams) / secondsPerDay
}
