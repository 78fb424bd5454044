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

// world is a platform with two hosts' stores on it.
type world struct {
	table   *faulty.Table
	objects *faulty.Objects
	gone    *goneHosts
	a, b    *claim.Store
}

func newWorld(options claim.Options) *world {
	w := &world{
		table:   faulty.New(memory.New()),
		objects: faulty.NewObjects(memory.NewObjects()),
		gone:    newGoneHosts(),
	}
	w.a = w.store(options, "host-a")
	w.b = w.store(options, "host-b")
	return w
}

func (w *world) store(options claim.Options, host string) *claim.Store {
	options.Table, options.Objects = w.table, w.objects
	options.Host, options.Alive = host, w.gone
	return claim.New(options)
}

// inWorld runs a test in a synctest bubble of its own.
func inWorld(t *testing.T, test func(t *testing.T, is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, is.New(t), newWorld(claim.Options{}))
	})
}

// mustAcquire claims the test's key.
func mustAcquire(t *testing.T, s *claim.Store) *claim.Claim {
	t.Helper()
	c, err := acquire(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// describe turns an outcome of Acquire into a word for the tables.
func describe(err error) string {
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
	case errors.As(err, &mayHaveRun) && mayHaveRun.AnswerGone:
		return "answer gone"
	case errors.As(err, &mayHaveRun):
		return "may have run"
	case errors.Is(err, claim.ErrReused):
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

func outcomeOf(s *claim.Store) string {
	_, err := acquire(s)
	return describe(err)
}

func answerOf(size int) claim.Result {
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

// TestRepeat checks what repeats are told, on the owner's host and elsewhere.
func TestRepeat(t *testing.T) {
	tests := []struct {
		desc    string
		settle  func(*world, *claim.Claim) error
		onOwner string
		onOther string
	}{
		{"in flight", func(*world, *claim.Claim) error { return nil }, "in flight", "in flight"},
		{"owner gone", func(w *world, _ *claim.Claim) error {
			w.gone.set("host-a", true)
			return nil
		}, "in flight", "may have run"},
		{"finished", func(_ *world, c *claim.Claim) error {
			return c.Finish(context.Background(), answerOf(10))
		}, "done", "done"},
		{"finished with a large answer", func(_ *world, c *claim.Claim) error {
			return c.Finish(context.Background(), answerOf(100_000))
		}, "done", "done"},
		{"finished, then the object store goes down", func(w *world, c *claim.Claim) error {
			err := c.Finish(context.Background(), answerOf(100_000))
			w.objects.SetDown(true)
			return err
		}, "in flight", "in flight"},
		{"finished with too large an answer", func(_ *world, c *claim.Claim) error {
			return c.Finish(context.Background(), answerOf(9<<20))
		}, "answer gone", "answer gone"},
		{"may have run", func(_ *world, c *claim.Claim) error {
			return c.MayHaveRun(context.Background())
		}, "may have run", "may have run"},
		{"released", func(_ *world, c *claim.Claim) error {
			return c.Release(context.Background())
		}, "claimed", "in flight"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(claim.Options{})
			c := mustAcquire(t, w.a)
			is.NoErr(tt.settle(w, c))
			is.Equal(outcomeOf(w.a), tt.onOwner)
			is.Equal(outcomeOf(w.b), tt.onOther)
			if tt.onOther != "in flight" {
				_, err := w.b.Acquire(t.Context(), testKey, sha256.Sum256([]byte("other")), "req-2")
				is.True(errors.Is(err, claim.ErrReused))
			}
		})
	}
}

func TestRepeatGetsTheWholeAnswer(t *testing.T) {
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 1 << 20} {
		is := is.New(t)
		w := newWorld(claim.Options{})
		c := mustAcquire(t, w.a)
		want := answerOf(size)
		is.NoErr(c.Finish(t.Context(), want))
		_, err := acquire(w.b)
		var done *claim.DoneError
		is.True(errors.As(err, &done))
		is.True(bytes.Equal(done.Result.Body, want.Body))
		done.Result.Body, want.Body = nil, nil
		is.Equal(done.Result, want)
	}
}

// TestClaimWriteFaults checks that a claim is handed out only when its row is
// there, and that the key isn't lost when the claim was not handed out.
func TestClaimWriteFaults(t *testing.T) {
	tests := []struct {
		desc   string
		fault  func(*faulty.Table)
		first  string
		healed string
	}{
		{"down", func(f *faulty.Table) { f.SetDown(true) }, "unavailable", "claimed"},
		{"answer lost", func(f *faulty.Table) { f.LoseNext(1) }, "claimed", "in flight"},
		{"write lost", func(f *faulty.Table) { f.DropNext(1) }, "claimed", "in flight"},
		{"all writes lost", func(f *faulty.Table) { f.DropNext(100) }, "unavailable", "claimed"},
		{"write late", func(f *faulty.Table) { f.DelayNext(1, time.Second) }, "claimed", "in flight"},
		{"all writes late", func(f *faulty.Table) { f.DelayNext(4, time.Second) }, "unavailable", "claimed"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, is *is.I, w *world) {
				tt.fault(w.table)
				is.Equal(outcomeOf(w.a), tt.first)
				w.table.Heal()
				is.NoErr(w.a.Flush(t.Context()))
				time.Sleep(2 * time.Second) // late writes arrive
				is.Equal(outcomeOf(w.b), tt.healed)
			})
		})
	}
}

// TestOutcomeFaults checks that an outcome is kept until the table has it, and
// that repeats on the owner's host are answered meanwhile.
func TestOutcomeFaults(t *testing.T) {
	tests := []struct {
		desc    string
		fault   func(*faulty.Table)
		pending int
		// before and after are what the other host says before and after the
		// table is well again.
		before, after string
	}{
		{"down", func(f *faulty.Table) { f.SetDown(true) }, 1, "unavailable", "done"},
		{"answer lost", func(f *faulty.Table) { f.LoseNext(1) }, 0, "done", "done"},
		{"write lost", func(f *faulty.Table) { f.DropNext(1) }, 1, "in flight", "done"},
		{"write late", func(f *faulty.Table) { f.DelayNext(1, time.Second) }, 1, "in flight", "done"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, is *is.I, w *world) {
				c := mustAcquire(t, w.a)
				tt.fault(w.table)
				err := c.Finish(t.Context(), answerOf(10))
				is.Equal(errors.Is(err, claim.ErrPending), tt.pending == 1)
				is.Equal(w.a.Pending(), tt.pending)
				is.Equal(outcomeOf(w.a), "done")
				is.Equal(outcomeOf(w.b), tt.before)
				w.table.Heal()
				is.NoErr(w.a.Flush(t.Context()))
				is.Equal(outcomeOf(w.b), tt.after)
				time.Sleep(2 * time.Second) // late writes arrive
				is.Equal(outcomeOf(w.b), tt.after)
			})
		})
	}
}

func TestConflictWithoutReadIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(claim.Options{})
	mustAcquire(t, w.a)
	blind := claim.New(claim.Options{Table: noReads{w.table}, Host: "host-b"})
	is.Equal(outcomeOf(blind), "in flight")
}

// noReads is a table whose reads fail.
type noReads struct{ storage.Table }

func (noReads) Get(context.Context, string) (storage.Row, error) {
	return storage.Row{}, storage.ErrUnavailable
}
