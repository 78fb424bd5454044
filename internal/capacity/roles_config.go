package capacity

import (
	"math"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/quota"
	"github.com/quetzalweir/quetzalweir/storage/client"
)

const (
	// headRow and confirmRow are the bytes of the rows.
	headRow    = 300
	confirmRow = 160
	// pollsPerBound is the least number of reads of the head within
	// config.DefaultBound.
	pollsPerBound = 2
	// many connections are what one is taken from.
	many = 1000
	// upkeepSeconds is the time between two rounds of upkeep, upkeepRows the
	// claims of a round, leaseRow the bytes of a lease, and listedRow those of
	// the rows that lists were measured with.
	upkeepSeconds = 10
	upkeepRows    = 500
	leaseRow      = 200
	listedRow     = 256
	// quotaPage is the rows of a page of package quota.
	quotaPage = 500
	// quotaActive is the assumed part of the accounts that one host serves within
	// loanSeconds.
	quotaActive = 0.05
	// passSeconds is the time between two passes over the rows, and loanSeconds
	// the length of a loan, with the mechanism.
	passSeconds = 60
	loanSeconds = 30
	// holdingBytes is a holding in a row or a loan.
	holdingBytes = 60
)

// headInterval is the time between two reads of the head on one host.
func headInterval(hosts float64) float64 {
	shared := hosts / config.DefaultReadsPerSecond
	high := config.DefaultBound.Seconds() / pollsPerBound
	return math.Min(math.Max(shared, config.DefaultPoll.Seconds()), high)
}

// confirmInterval is the same for confirmations.
func confirmInterval(hosts float64) float64 {
	return math.Max(hosts/config.DefaultConfirmsPerSecond, config.DefaultPoll.Seconds()/pollsPerBound)
}

func manifestRole() Role {
	return Role{
		Name:      "manifest",
		State:     "the document and its compiled policy, twice during a change",
		Mechanism: "a shared budget of reads and of confirmations, deltas (`config.LoadFrom`), heads passed on as facts (built); the time to parse grows with the accounts: unchanged lines kept from the parent (not built) are needed above the size given here",
		Status:    Built,
		AsBuilt: func(m *Model) Usage {
			s := m.Size
			changes := s.changesPerSecond()
			u := m.gets(1/headInterval(s.Hosts), headRow)
			confirms := math.Min(changes, 1/confirmInterval(s.Hosts))
			u = u.plus(m.gets(confirms, confirmRow)).plus(m.commits(confirms, confirmRow))
			// An accepted manifest takes two reads and a commit of its submitter.
			u.Reads += 2 * changes
			u.Commits += changes
			return u.plus(Usage{
				State:    2 * m.at(LoadMemory, s.Accounts),
				Messages: 2 * changes,
				Bytes:    changes * (m.constant(ObjectBytes) + m.at(DeltaBytes, s.Accounts)),
				CPU:      changes * (m.at(LoadCPU, s.Accounts) + m.at(SetLimitsCPU, s.Accounts)) * micro,
			})
		},
	}
}

func quotaRole() Role {
	return Role{
		Name:      "quotas",
		State:     "a bucket for each account with a limit, and its holders",
		Mechanism: "each account has one host in a region, by rendezvous hashing, that holds the region's slots; the others borrow from it for 30 s (loans are built, the choice of the host isn't); only the accounts' holders read their rows, each minute; hosts come from the membership, not from rows (not built)",
		Status:    NotBuilt,
		AsBuilt: func(m *Model) Usage {
			s := m.Size
			rate := 1 / quota.DefaultInterval.Seconds()
			pages := math.Floor(s.Hosts/quotaPage) + 1 + math.Floor(s.Accounts/quotaPage) + 1
			renewals := 4 / quota.DefaultTTL.Seconds()
			// Holdings and hosts are listed. That each host holds a part of each
			// account is an upper bound: it does once it served it.
			listed := s.Hosts * (s.Accounts + 1)
			return Usage{
				State:    m.at(QuotaMemory, listed),
				Messages: 2 * rate * pages,
				Bytes:    rate * m.at(QuotaPassBytes, listed),
				CPU:      rate * m.at(QuotaPassCPU, listed) * micro,
				Reads:    rate * pages * s.Hosts,
				Commits:  renewals * s.Hosts,
			}
		},
		Carried: func(m *Model) Usage {
			s := m.Size
			perRegion := s.Hosts / s.Regions
			held := s.Accounts / perRegion
			u := m.gets(held/passSeconds, holdingBytes*s.Regions)
			// An account's holder is asked once a loan by each host that serves it.
			lenders := math.Min(quotaActive*s.Accounts, perRegion-1)
			loans := 2 * lenders / loanSeconds
			perLoan := quotaActive * s.Accounts / math.Max(1, lenders)
			u = u.plus(Usage{
				State:    m.at(QuotaMemory, held*s.Regions+quotaActive*s.Accounts),
				Messages: 2 * loans,
				Bytes:    loans * (m.constant(CallBytes) + perLoan*holdingBytes),
				CPU:      loans * m.constant(CallCPU) / 2 * micro,
			})
			u.Commits += 4 / quota.DefaultTTL.Seconds() * s.Hosts
			return u
		},
	}
}

func upkeepRole() Role {
	return Role{
		Name:      "table upkeep",
		State:     "a lease, and rows while they are looked at",
		Mechanism: "one host at a time, under a lease that the others look at each 10 s (built); the figures are those of the host that holds it, for claims alone; ranges of the rows for each host in place of one host for all (`claim` spreads its first rows by host already, the lease stands against it)",
		Status:    Partly,
		AsBuilt: func(m *Model) Usage {
			u := m.gets(1.0/upkeepSeconds, leaseRow)
			rows := math.Min(upkeepRows, keyedShare*m.Size.Requests*secondsPerDay)
			claims := m.lists(1.0/upkeepSeconds, rows*m.constant(ClaimBytes)/2/listedRow, upkeepRows*m.constant(ClaimBytes)/2/listedRow)
			claims.Reads /= m.Size.Hosts
			return u.plus(claims)
		},
		// Each host looks at its part, as fast as claims are made.
		Carried: func(m *Model) Usage {
			perHost := keyedShare * m.Size.requestsPerHost()
			const rounds = 2 // a row becomes a tombstone, and then goes
			u := m.lists(1.0/upkeepSeconds, rounds*upkeepSeconds*perHost*m.constant(ClaimBytes)/2/listedRow, upkeepRows)
			return u
		},
	}
}

func tableRole() Role {
	return Role{
		Name:      "table client",
		State:     "up to 4 kept connections; what the calls take is in the rows of their callers",
		Mechanism: "group commit on a host (built); one committer a region for claims, sessions and bills, chosen by rendezvous hashing, with the way straight to the table where it isn't reached (not built)",
		Status:    Partly,
		AsBuilt: func(m *Model) Usage {
			return Usage{State: client.DefaultMaxIdle * m.at(PollMemory, many) / many}
		},
	}
}
