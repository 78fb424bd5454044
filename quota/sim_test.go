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

// limitChecker checks that spending stays within a limit over every window: it
// is a token bucket of the whole limit, which must never be overdrawn.
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

func (m *limitChecker) refill(now time.Time) {
	m.tokens = min(m.burst, m.tokens+m.rate*now.Sub(m.last).Seconds())
	m.last = now
}

func (m *limitChecker) spend(now time.Time, n float64) {
	m.refill(now)
	m.tokens -= n
	m.spent += n
	m.overshoot = max(m.overshoot, -m.tokens)
}

// allows reports whether the whole limit allows n more requests.
func (m *limitChecker) allows(now time.Time, n float64) bool {
	m.refill(now)
	return m.tokens >= n
}

// sim runs limiters of several hosts in one goroutine and virtual time.
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
	loanDelay time.Duration
	lastID    int
	loans     int
}

func newSim(hosts int, limits []Limit) *sim {
	s := &sim{now: simStart, limits: limits, ttl: simTTL, table: faulty.New(memory.New())}
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
		NewID:         func() string { s.lastID++; return fmt.Sprint(s.lastID) },
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
			s.loans++
		}
		return loan, err
	}
	return Loan{}, errPartitioned
}

// checkRows decodes all account rows and checks that no slot is held twice.
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
