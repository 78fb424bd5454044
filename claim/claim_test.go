package claim_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

var (
	testKey    = claim.Key{Account: "dealer", RequestKey: "bid-1"}
	testDigest = sha256.Sum256([]byte("bid 1200"))
)

// testPlatform is a table and an object store, shared by the stores of two hosts.
type testPlatform struct {
	table   *faulty.Table
	objects *faulty.Objects
	dead    *deadHosts
	a, b    *claim.Store
}

func newTestPlatform(options claim.Options) *testPlatform {
	p := &testPlatform{
		table:   faulty.NewTable(memory.NewTable()),
		objects: faulty.NewObjects(memory.NewObjects()),
		dead:    newDeadHosts(),
	}
	p.a = p.newStore(options, "host-a")
	p.b = p.newStore(options, "host-b")
	return p
}

func (p *testPlatform) newStore(options claim.Options, host string) *claim.Store {
	options.Table, options.Objects = p.table, p.objects
	options.Host, options.Liveness = host, p.dead
	return claim.NewStore(options)
}

// withTestPlatform runs a test with a testPlatform in its own synctest bubble.
func withTestPlatform(t *testing.T, test func(t *testing.T, is *is.I, p *testPlatform)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, is.New(t), newTestPlatform(claim.Options{}))
	})
}

// mustAcquire claims testKey.
func mustAcquire(t *testing.T, s *claim.Store) *claim.Claim {
	t.Helper()
	c, err := acquire(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// describeAcquire returns a short name for the result of Acquire, for test tables
// and models.
func describeAcquire(err error) string {
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	var mayHaveRun *claim.MayHaveRunError
	switch {
	case err == nil:
		return "claimed"
	case errors.As(err, &done):
		return "done"
	case errors.As(err, &inFlight):
		return "in flight"
	case errors.As(err, &mayHaveRun) && mayHaveRun.ResultGone:
		return "result gone"
	case errors.As(err, &mayHaveRun):
		return "may have run"
	case errors.Is(err, claim.ErrKeyReused):
		return "reused"
	case errors.Is(err, claim.ErrUnavailable):
		return "unavailable"
	default:
		return err.Error()
	}
}

func acquire(s *claim.Store) (*claim.Claim, error) {
	return s.Acquire(context.Background(), testKey, testDigest, "req-1")
}

func acquireResult(s *claim.Store) string {
	_, err := acquire(s)
	return describeAcquire(err)
}

func resultOfSize(size int) claim.Result {
	return claim.Result{
		Status:    200,
		Header:    []byte("content-type: text/plain"),
		Body:      bytes.Repeat([]byte("x"), size),
		Model:     "report",
		Version:   "v2",
		Upstream:  "engine-3",
		Epoch:     7,
		RequestID: "req-1",
	}
}

// TestDuplicate checks the result of Acquire for a duplicate after each outcome, on
// the host that owns the claim and on another host.
func TestDuplicate(t *testing.T) {
	tests := []struct {
		desc       string
		setOutcome func(*testPlatform, *claim.Claim) error
		onOwner    string
		onOther    string
	}{
		{"in flight", func(*testPlatform, *claim.Claim) error { return nil }, "in flight", "in flight"},
		{"owner dead", func(p *testPlatform, _ *claim.Claim) error {
			p.dead.set("host-a", true)
			return nil
		}, "in flight", "may have run"},
		{"finished", func(_ *testPlatform, c *claim.Claim) error {
			return c.Finish(context.Background(), resultOfSize(10))
		}, "done", "done"},
		{"finished with a large result", func(_ *testPlatform, c *claim.Claim) error {
			return c.Finish(context.Background(), resultOfSize(100_000))
		}, "done", "done"},
		{"finished, then the object store is down", func(p *testPlatform, c *claim.Claim) error {
			err := c.Finish(context.Background(), resultOfSize(100_000))
			p.objects.SetDown(true)
			return err
		}, "in flight", "in flight"},
		{"finished with a result over the limit", func(_ *testPlatform, c *claim.Claim) error {
			return c.Finish(context.Background(), resultOfSize(9<<20))
		}, "result gone", "result gone"},
		{"may have run", func(_ *testPlatform, c *claim.Claim) error {
			return c.MayHaveRun(context.Background())
		}, "may have run", "may have run"},
		{"released", func(_ *testPlatform, c *claim.Claim) error {
			return c.Release(context.Background())
		}, "claimed", "in flight"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			p := newTestPlatform(claim.Options{})
			c := mustAcquire(t, p.a)
			is.NoErr(tt.setOutcome(p, c))
			is.Equal(acquireResult(p.a), tt.onOwner)
			is.Equal(acquireResult(p.b), tt.onOther)
			if tt.onOther != "in flight" {
				_, err := p.b.Acquire(t.Context(), testKey, sha256.Sum256([]byte("other")), "req-2")
				is.True(errors.Is(err, claim.ErrKeyReused))
			}
		})
	}
}

func TestDuplicateGetsTheCompleteResult(t *testing.T) {
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 1 << 20} {
		is := is.New(t)
		p := newTestPlatform(claim.Options{})
		c := mustAcquire(t, p.a)
		want := resultOfSize(size)
		is.NoErr(c.Finish(t.Context(), want))
		_, err := acquire(p.b)
		var done *claim.DoneError
		is.True(errors.As(err, &done))
		is.True(bytes.Equal(done.Result.Body, want.Body))
		done.Result.Body, want.Body = nil, nil
		is.Equal(done.Result, want)
	}
}

// TestClaimWriteFaults checks that Acquire returns a claim only if the claim's row is
// in the table, and that the key can still be claimed after Acquire failed. It checks
// the results of Acquire during the fault (first) and, on the other host, after the fault
// (afterClear).
func TestClaimWriteFaults(t *testing.T) {
	tests := []struct {
		desc       string
		fault      func(*faulty.Table)
		first      string
		afterClear string
	}{
		{"down", func(f *faulty.Table) { f.SetDown(true) }, "unavailable", "claimed"},
		{"response lost", func(f *faulty.Table) { f.LoseNextResponses(1) }, "claimed", "in flight"},
		{"write lost", func(f *faulty.Table) { f.DropNextCommits(1) }, "claimed", "in flight"},
		{"all writes lost", func(f *faulty.Table) { f.DropNextCommits(100) }, "unavailable", "claimed"},
		{"write late", func(f *faulty.Table) { f.DelayNextCommits(1, time.Second) }, "claimed", "in flight"},
		{"all writes late", func(f *faulty.Table) { f.DelayNextCommits(4, time.Second) }, "unavailable", "claimed"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
				tt.fault(p.table)
				is.Equal(acquireResult(p.a), tt.first)
				p.table.ClearFaults()
				is.NoErr(p.a.Flush(t.Context()))
				time.Sleep(2 * time.Second) // late writes are applied
				is.Equal(acquireResult(p.b), tt.afterClear)
			})
		})
	}
}

// TestOutcomeFaults checks that an outcome is kept in memory until it is in the
// table, and that duplicates on the owner's host meanwhile get this outcome.
func TestOutcomeFaults(t *testing.T) {
	tests := []struct {
		desc    string
		fault   func(*faulty.Table)
		pending int
		// before and after are the results of Acquire for a duplicate on the other
		// host, before and after the table recovers.
		before, after string
	}{
		{"down", func(f *faulty.Table) { f.SetDown(true) }, 1, "unavailable", "done"},
		{"response lost", func(f *faulty.Table) { f.LoseNextResponses(1) }, 0, "done", "done"},
		{"write lost", func(f *faulty.Table) { f.DropNextCommits(1) }, 1, "in flight", "done"},
		{"write late", func(f *faulty.Table) { f.DelayNextCommits(1, time.Second) }, 1, "in flight", "done"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
				c := mustAcquire(t, p.a)
				tt.fault(p.table)
				err := c.Finish(t.Context(), resultOfSize(10))
				is.Equal(errors.Is(err, claim.ErrPending), tt.pending == 1)
				is.Equal(p.a.Pending(), tt.pending)
				is.Equal(acquireResult(p.a), "done")
				is.Equal(acquireResult(p.b), tt.before)
				p.table.ClearFaults()
				is.NoErr(p.a.Flush(t.Context()))
				is.Equal(acquireResult(p.b), tt.after)
				time.Sleep(2 * time.Second) // late writes are applied
				is.Equal(acquireResult(p.b), tt.after)
			})
		})
	}
}

func TestConflictOnUnreadableRowIsReportedAsInFlight(t *testing.T) {
	// A request with the key may have run, so Acquire must not return
	// ErrUnavailable, which the caller reports as not run.
	is := is.New(t)
	p := newTestPlatform(claim.Options{})
	mustAcquire(t, p.a)
	withoutReads := claim.NewStore(claim.Options{Table: unreadableTable{p.table}, Host: "host-b"})
	is.Equal(acquireResult(withoutReads), "in flight")
}

// unreadableTable is a table whose reads fail.
type unreadableTable struct{ storage.Table }

func (unreadableTable) Get(context.Context, string) (storage.Row, error) {
	return storage.Row{}, storage.ErrUnavailable
}
