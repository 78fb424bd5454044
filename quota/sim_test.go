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
	// clockError is how far the fastest host clock is off.
	clockError = 0.005
)

var simStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// meter checks spending against a limit over every window: it is a token
// bucket of the whole limit, which must never be overdrawn.
type meter struct {
	rate, burst float64
	level       float64
	last        time.Time
	spent       float64
	// overshoot is by how much the bucket was overdrawn at worst.
	overshoot float64
}

func newMeter(rate, burst float64) *meter {
	return &meter{rate: rate, burst: burst, level: burst, last: simStart}
}

func (m *meter) refill(now time.Time) {
	m.level = min(m.burst, m.level+m.rate*now.Sub(m.last).Seconds())
	m.last = now
}

func (m *meter) spend(now time.Time, n float64) {
	m.refill(now)
	m.level -= n
	m.spent += n
	m.overshoot = max(m.overshoot, -m.level)
}

// allows reports whether the limit as a whole had room.
func (m *meter) allows(now time.Time, n float64) bool {
	m.refill(now)
	return m.level >= n
}

// sim runs limiters of several hosts in one goroutine and virtual time.
type sim struct {
	now    time.Time
	table  *faulty.Table
	hosts  []*Limiter
	limits []Limit
	floor  float64
	ttl    time.Duration
	// cut cuts hosts from each other, loseLoans loses answers of loans.
	cut, loseLoans bool
	// loanDelay is the time that the request and the answer of a loan take.
	loanDelay time.Duration
	made      int
	loans     int
}

func newSim(hosts int, limits []Limit) *sim {
	s := &sim{now: simStart, limits: limits, ttl: simTTL, table: faulty.New(memory.New())}
	for i := range hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	return s
}

// newHost starts a limiter whose clock runs at its own speed.
func (s *sim) newHost(i int) *Limiter {
	speed := 1 + clockError*float64(i%3-1)
	l := New(Options{
		Table:    s.table,
		Host:     fmt.Sprint("host-", i),
		Peers:    s,
		TTL:      s.ttl,
		Interval: simInterval,
		Floor:    s.floor,
		NewID:    func() string { s.made++; return fmt.Sprint(s.made) },
		Clock: func() time.Time {
			return simStart.Add(time.Duration(float64(s.now.Sub(simStart)) * speed))
		},
	})
	l.SetLimits(1, s.limits)
	return l
}

var errCut = errors.New("no connection")

func (s *sim) Borrow(_ context.Context, holder string, request LoanRequest) (Loan, error) {
	if s.cut {
		return Loan{}, errCut
	}
	for _, l := range s.hosts {
		if held := l.lease.Load(); held == nil || held.id != holder {
			continue
		}
		s.now = s.now.Add(s.loanDelay)
		loan, err := l.Lend(request)
		s.now = s.now.Add(s.loanDelay)
		if s.loseLoans {
			return Loan{}, errCut
		}
		if err == nil {
			s.loans++
		}
		return loan, err
	}
	return Loan{}, errCut
}

// rows parses all account rows and checks that no slot is held twice.
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
		if r.free() < r.Fresh || r.Fresh < 0 {
			return fmt.Errorf("row %s: %d free of which %d fresh", row.Key, r.free(), r.Fresh)
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
	return s.table.List(context.Background(), accountPrefix, "", listPage)
}
