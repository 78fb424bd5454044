package lease_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/lease"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

const (
	ttl       = 10 * time.Second
	usableTTL = 9 * time.Second
	name      = "pool/report"
)

// managerPair is two managers that share a table.
type managerPair struct {
	table *faulty.Table
	a, b  *lease.Manager
}

func newManagerPair() managerPair {
	table := faulty.NewTable(memory.NewTable())
	return managerPair{
		table: table,
		a:     lease.NewManager(lease.Options{Table: table}),
		b:     lease.NewManager(lease.Options{Table: table}),
	}
}

// withManagerPair runs a test with a managerPair in its own synctest bubble.
func withManagerPair(t *testing.T, test func(t *testing.T, is *is.I, p managerPair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newManagerPair()) })
}

func (p managerPair) acquireA(t *testing.T) *lease.Lease {
	l, err := p.a.Acquire(t.Context(), name, "host-a", ttl)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// tryAcquireB lets b try to acquire the lease. It returns how long b still has to
// wait, or zero if b acquired the lease.
func (p managerPair) tryAcquireB(t *testing.T) time.Duration {
	_, err := p.b.Acquire(t.Context(), name, "host-b", ttl)
	var held *lease.HeldError
	if errors.As(err, &held) {
		return held.Wait
	}
	if err != nil {
		t.Fatal(err)
	}
	return 0
}

// TestValidity checks how long a lease is valid and when another holder may
// acquire it.
func TestValidity(t *testing.T) {
	tests := []struct {
		desc string
		// act runs after manager a has acquired the lease l and manager b has read
		// its row. Afterwards, valid is whether l must be valid, and wait is how long
		// b must still have to wait.
		act   func(t *testing.T, p managerPair, l *lease.Lease)
		valid bool
		wait  time.Duration
	}{
		{"right after the acquisition", func(*testing.T, managerPair, *lease.Lease) {}, true, ttl},
		{"just before the margin", func(*testing.T, managerPair, *lease.Lease) {
			time.Sleep(usableTTL - 1)
		}, true, time.Second + 1},
		{"within the margin", func(*testing.T, managerPair, *lease.Lease) {
			time.Sleep(usableTTL)
		}, false, time.Second},
		{"after the TTL", func(*testing.T, managerPair, *lease.Lease) {
			time.Sleep(ttl)
		}, false, 0},
		{"renewed", func(t *testing.T, _ managerPair, l *lease.Lease) {
			time.Sleep(5 * time.Second)
			is.New(t).NoErr(l.Renew(t.Context()))
			time.Sleep(5 * time.Second)
		}, true, ttl},
		{"renewed too late", func(t *testing.T, _ managerPair, l *lease.Lease) {
			time.Sleep(usableTTL)
			is.New(t).True(errors.Is(l.Renew(t.Context()), lease.ErrLapsed))
		}, false, time.Second},
		{"released", func(t *testing.T, _ managerPair, l *lease.Lease) {
			is.New(t).NoErr(l.Release(t.Context()))
		}, false, 0},
		{"response to renewal lost", func(t *testing.T, p managerPair, l *lease.Lease) {
			time.Sleep(8 * time.Second)
			p.table.LoseNextResponses(1)
			is.New(t).NoErr(l.Renew(t.Context()))
			time.Sleep(8 * time.Second)
		}, true, ttl},
		{"renewal lost", func(t *testing.T, p managerPair, l *lease.Lease) {
			time.Sleep(8 * time.Second)
			p.table.DropNextCommits(1)
			is.New(t).True(errors.Is(l.Renew(t.Context()), storage.ErrUnknown))
			time.Sleep(time.Second)
		}, false, time.Second},
		{"response to renewal arrives after the lease lapsed", func(t *testing.T, p managerPair, l *lease.Lease) {
			time.Sleep(8 * time.Second)
			p.table.SetDelay(2 * time.Second)
			is.New(t).True(errors.Is(l.Renew(t.Context()), lease.ErrLapsed))
			p.table.ClearFaults()
		}, false, ttl},
		{"renewal extends from its start", func(t *testing.T, p managerPair, l *lease.Lease) {
			p.table.SetDelay(4 * time.Second)
			is.New(t).NoErr(l.Renew(t.Context()))
			p.table.ClearFaults()
			time.Sleep(5 * time.Second)
		}, false, ttl},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withManagerPair(t, func(t *testing.T, is *is.I, p managerPair) {
				l := p.acquireA(t)
				is.Equal(p.tryAcquireB(t), ttl)
				tt.act(t, p, l)
				is.Equal(l.Valid(), tt.valid)
				is.Equal(p.tryAcquireB(t), tt.wait)
			})
		})
	}
}

// TestLateRenewalIsNotMistakenForANewerOne guards against a lease that is valid for
// longer than contenders wait. Renewal 1 reaches the table late, and renewal 2 is
// lost. Contenders measure the TTL from the arrival of renewal 1, so the holder must
// not measure it from the start of renewal 2.
func TestLateRenewalIsNotMistakenForANewerOne(t *testing.T) {
	withManagerPair(t, func(t *testing.T, is *is.I, p managerPair) {
		l := p.acquireA(t)
		p.table.DelayNextCommits(1, time.Second)
		is.True(errors.Is(l.Renew(t.Context()), storage.ErrUnknown)) // renewal 1
		time.Sleep(6 * time.Second)
		p.table.DropNextCommits(1)
		is.True(errors.Is(l.Renew(t.Context()), storage.ErrUnknown)) // renewal 2
		is.Equal(l.Remaining(), usableTTL-6*time.Second)
		is.NoErr(l.Renew(t.Context())) // renewal 3 replaces the late renewal 1
		is.Equal(l.Remaining(), usableTTL)
	})
}

func TestLateAcquisitionBlocksForOneTTLOnly(t *testing.T) {
	withManagerPair(t, func(t *testing.T, is *is.I, p managerPair) {
		p.table.DelayNextCommits(1, time.Second)
		_, err := p.a.Acquire(t.Context(), name, "host-a", ttl)
		is.True(errors.Is(err, storage.ErrUnknown))
		time.Sleep(2 * time.Second)
		is.Equal(p.tryAcquireB(t), ttl)
		time.Sleep(ttl)
		l, err := p.b.Acquire(t.Context(), name, "host-b", ttl)
		is.NoErr(err)
		is.Equal(l.Fencing(), uint64(2))
	})
}

func TestKeepRenewing(t *testing.T) {
	tests := []struct {
		desc string
		// outage is how long the table is down; it starts 10 s after the call of
		// KeepRenewing.
		outage time.Duration
		want   error
	}{
		{"no outage", 0, nil},
		{"outage shorter than the lease", 5 * time.Second, nil},
		{"outage longer than the lease", 20 * time.Second, lease.ErrLapsed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withManagerPair(t, func(t *testing.T, is *is.I, p managerPair) {
				l := p.acquireA(t)
				ended := make(chan error, 1)
				go func() { ended <- l.KeepRenewing(t.Context()) }()
				time.Sleep(10 * time.Second)
				p.table.SetDown(true)
				time.Sleep(tt.outage)
				p.table.ClearFaults()
				time.Sleep(time.Minute)
				is.Equal(l.Valid(), tt.want == nil)
				if tt.want != nil {
					is.Equal(<-ended, tt.want)
				}
			})
		})
	}
}

// TestLeaseLapsesDuringASuspension checks that a lease has lapsed after its host was
// suspended for longer than the lease, whatever the wall clock shows.
func TestLeaseLapsesDuringASuspension(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		l, err := lease.NewManager(lease.Options{Table: memory.NewTable()}).Acquire(t.Context(), name, "host-a", 4*time.Second)
		is.NoErr(err)
		undo := boottime.SimulateSuspension(d)
		is.Equal(l.Valid(), d < 4*time.Second*9/10)
		undo()
	}
}

func TestSuspendedMonotonicClock(t *testing.T) {
	is := is.New(t)
	// The wall clock advances by an hour while the monotonic clock stands still.
	start := time.Now()
	now := start
	m := lease.NewManager(lease.Options{Table: memory.NewTable(), Clock: func() time.Time { return now }})
	l, err := m.Acquire(t.Context(), name, "host-a", ttl)
	is.NoErr(err)
	is.True(l.Valid())
	now = start.Round(0).Add(time.Hour)
	is.True(!l.Valid())
	now = start
	is.True(!l.Valid()) // a lapsed lease stays lapsed
}
