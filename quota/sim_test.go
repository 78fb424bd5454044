package quota

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

const (
	simTTL      = time.Minute
	simInterval = 5 * time.Second
	// clockError is the relative error of the fastest and slowest host clocks.
	clockError = 0.005
)

var simStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// limitChecker measures by how much spending exceeds a limit in any window of
// time. It is a token bucket for the whole limit; a negative balance means that
// the limit was exceeded.
type limitChecker struct {
	rate, burst float64
	tokens      float64
	last        time.Time
	spent       float64
	// overshoot is the largest number of tokens by which the bucket was
	// overdrawn.
	overshoot float64
}

func newLimitChecker(rate, burst float64) *limitChecker {
	return &limitChecker{rate: rate, burst: burst, tokens: burst, last: simStart}
}

func (c *limitChecker) refill(now time.Time) {
	c.tokens = min(c.burst, c.tokens+c.rate*now.Sub(c.last).Seconds())
	c.last = now
}

func (c *limitChecker) spend(now time.Time, n float64) {
	c.refill(now)
	c.tokens -= n
	c.spent += n
	c.overshoot = max(c.overshoot, -c.tokens)
}

// allows reports whether the limit allows n more requests.
func (c *limitChecker) allows(now time.Time, n float64) bool {
	c.refill(now)
	return c.tokens >= n
}

// sim runs the limiters of several hosts in one goroutine and in virtual time.
type sim struct {
	now           time.Time
	table         *faulty.Table
	hosts         []*Limiter
	limits        []Limit
	unleasedShare float64
	ttl           time.Duration
	// partitioned makes loan requests fail; loseLoans drops their responses.
	partitioned, loseLoans bool
	// loanDelay is the delay of a loan's request and of its response.
	loanDelay        time.Duration
	lastHolderSuffix int
	loansGranted     int
}

func newSim(hosts int, limits []Limit) *sim {
	s := &sim{now: simStart, limits: limits, ttl: simTTL, table: faulty.NewTable(memory.NewTable())}
	for i := range hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	return s
}

// newHost returns a limiter whose clock has its own speed.
func (s *sim) newHost(i int) *Limiter {
	speed := 1 + clockError*float64(i%3-1)
	l := New(Options{
		Table:         s.table,
		Host:          fmt.Sprint("host-", i),
		Peers:         s,
		TTL:           s.ttl,
		Interval:      simInterval,
		UnleasedShare: s.unleasedShare,
		NewID:         func() string { s.lastHolderSuffix++; return fmt.Sprint(s.lastHolderSuffix) },
		Clock: func() time.Time {
			return simStart.Add(time.Duration(float64(s.now.Sub(simStart)) * speed))
		},
	})
	l.SetLimits(1, s.limits)
	return l
}

var errPartitioned = errors.New("no connection")

func (s *sim) Borrow(_ context.Context, holder string, request LoanRequest) (Loan, error) {
	if s.partitioned {
		return Loan{}, errPartitioned
	}
	for _, l := range s.hosts {
		if held := l.lease.Load(); held == nil || held.id != holder {
			continue
		}
		s.now = s.now.Add(s.loanDelay)
		loan, err := l.Lend(request)
		s.now = s.now.Add(s.loanDelay)
		if s.loseLoans {
			return Loan{}, errPartitioned
		}
		if err == nil {
			s.loansGranted++
		}
		return loan, err
	}
	return Loan{}, errPartitioned
}

// checkRows decodes all account rows and checks that no slot is held twice and
// that each holder is one of the hosts.
func (s *sim) checkRows() error {
	rows, err := memoryRows(s)
	if err != nil {
		return err
	}
	for _, row := range rows {
		r, err := parseAccountRow(row)
		if err != nil {
			return err
		}
		if r.free() < r.NeverHeld || r.NeverHeld < 0 {
			return fmt.Errorf("row %s: %d free, of which %d were never held", row.Key, r.free(), r.NeverHeld)
		}
		for _, h := range r.Holdings {
			if h.Slots < 0 || !strings.HasPrefix(h.Holder, "host-") {
				return fmt.Errorf("row %s: holding %+v", row.Key, h)
			}
		}
	}
	return nil
}

func memoryRows(s *sim) ([]storage.Row, error) {
	s.table.SetDown(false)
	return s.table.List(context.Background(), accountPrefix, "", listPageSize)
}
