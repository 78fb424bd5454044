package capacity

import (
	"math"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
)

const (
	// sessionRequests is the assumed number of requests of a session, each of
	// which comes to any host of one region.
	sessionRequests = 10
	// sessionTTL is how long a binding is cached, in seconds.
	sessionTTL = 1800
	// regionalCommits is the commits a second of a region's committer, for
	// claims and sessions together.
	regionalCommits = 10
	// writeSeconds is how long a bill stays in memory after the time between two
	// writes, assumed.
	writeSeconds = 2
	// scrapeSeconds is the assumed time between two readings of the metrics.
	scrapeSeconds = 15
)

func callerRole() Role {
	return Role{
		Name:      "caller side",
		State:     "an answer under way has a goroutine, buffers and two connections",
		Mechanism: "more hosts: all of it is for one host's own requests (built)",
		Status:    Built,
		AsBuilt: func(m *Model) Usage {
			s := m.Size
			streams := s.streamsPerHost()
			choose := m.at(ChooseCPU, s.subset())
			return Usage{
				DataBytes: 2 * s.tokensPerHost() * m.constant(FrameBytes),
				DataCPU:   s.requestsPerHost() * (m.at(RequestCPU, s.Tokens/s.Requests) + choose) * micro,
				DataState: streams * m.constant(StreamMemory),
			}
		},
	}
}

func claimRole() Role {
	use := func(m *Model, commits float64) Usage {
		s := m.Size
		keyed := keyedShare * s.requestsPerHost()
		u := m.commits(commits, m.constant(ClaimBytes)/m.constant(ClaimCommits))
		u.Reads += keyed * m.constant(ClaimReads) * s.Hosts
		u.CPU += keyed * m.constant(ClaimCPU) * micro
		return u.asData()
	}
	return Role{
		Name:      "claims",
		State:     "the requests that run at most once, while they run",
		Mechanism: "group commit on a host (built), which merges nothing at 0.3 such requests a second; one committer a region, 10 commits a second (not built)",
		Status:    NotBuilt,
		AsBuilt: func(m *Model) Usage {
			keyed := keyedShare * m.Size.requestsPerHost()
			commits := math.Min(keyed*m.constant(ClaimCommits), groupcommit.DefaultCommitsPerSecond)
			return use(m, commits)
		},
		Carried: func(m *Model) Usage {
			keyed := keyedShare * m.Size.requestsPerHost()
			commits := math.Min(keyed*m.constant(ClaimCommits), m.Size.regional(regionalCommits/2))
			return use(m, commits)
		},
	}
}

// regional is a rate of each region as a rate of each host.
func (s Size) regional(rate float64) float64 { return rate * s.Regions / s.Hosts }

func ledgerRole() Role {
	use := func(m *Model, flush, seconds float64) Usage {
		s := m.Size
		bills := s.requestsPerHost()
		segment := m.at(BillBytes, bills*seconds)
		u := m.commits(flush, segment)
		// A bill goes to a peer, and as many come from peers.
		u.Bytes += 2 * bills * (m.constant(CallBytes) + base64*m.at(BillBytes, 1))
		u.CPU += bills * (m.constant(BillCPU) + m.constant(CallCPU)) * micro
		// After a write the peer is told to drop its copies.
		u.Bytes += 2 * flush * m.constant(CallBytes)
		u.State = m.at(BillMemory, 2*bills*(seconds+writeSeconds))
		return u.asData()
	}
	return Role{
		Name:      "ledger",
		State:     "bills that aren't in the table yet, its own and those held for a peer",
		Mechanism: "a time between segments that follows the hosts, 50 commits/s in all, as bills are safe with a peer meanwhile; compaction by one host (built)",
		Status:    Built,
		AsBuilt: func(m *Model) Usage {
			seconds := ledger.FlushPeriod(int(m.Size.Hosts)).Seconds()
			return use(m, 1/seconds, seconds)
		},
	}
}

func sessionRole() Role {
	use := func(m *Model, most float64) Usage {
		s := m.Size
		requests := s.requestsPerHost()
		begun := requests * newSessions * rowSessions
		// Each request comes to any host of a region, which reads the row if it has
		// no copy.
		perRegion := s.Hosts / s.Regions
		reached := perRegion * (1 - math.Pow(1-1/perRegion, sessionRequests))
		reads := begun * (m.constant(BindReads) - 1 + reached)
		commits := math.Min(begun*m.constant(BindCommits), most)
		u := m.gets(reads, confirmRow).plus(m.commits(commits, confirmRow))
		u.CPU += requests * m.constant(TokenCPU) * micro
		u.Bytes += 2 * requests * m.constant(TokenBytes)
		cached := math.Min(begun*reached*sessionTTL, 16_384)
		u.State = cached * m.constant(BindMemory)
		return u.asData()
	}
	return Role{
		Name:      "sessions",
		State:     "a token keeps nothing; bindings of sessions without one are cached",
		Mechanism: "signed tokens (built); rows only for callers that return none, written by the region's committer and read once, by a host of the region chosen by the session's hash, which the others ask (not built)",
		Status:    Partly,
		AsBuilt:   func(m *Model) Usage { return use(m, groupcommit.DefaultCommitsPerSecond) },
		Carried: func(m *Model) Usage {
			u := use(m, m.Size.regional(regionalCommits/2))
			u.Reads = m.Size.Requests * newSessions * rowSessions
			return u
		},
	}
}

func admissionRole() Role {
	return Role{
		Name:      "admission",
		State:     "the requests that wait, at most 4,096",
		Mechanism: "each host by itself (built); its part of the upstreams' capacity is its own view",
		Status:    Built,
		AsBuilt: func(m *Model) Usage {
			const waiting = 4096
			return Usage{
				DataCPU:   m.Size.requestsPerHost() * m.constant(AdmitCPU) * micro,
				DataState: waiting * m.constant(WaitMemory),
			}
		},
	}
}

func logRole() Role {
	return Role{
		Name:      "metrics and logs",
		State:     "a counter or histogram for each class and code",
		Mechanism: "labels of bounded values (built); a log line for each decision is asked for, so its bytes rise with the requests of one host and not with the number of hosts (built)",
		Status:    Built,
		AsBuilt: func(m *Model) Usage {
			return Usage{
				Messages:  2.0 / scrapeSeconds,
				Bytes:     m.constant(ScrapeBytes) / scrapeSeconds,
				DataBytes: m.Size.requestsPerHost() * m.constant(LogBytes),
			}
		},
	}
}
