package claim_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/claim"
)

const day = 24 * time.Hour

// TestSweep checks what Sweep does with a row by its state and age, and the result
// of Acquire for a duplicate afterwards.
func TestSweep(t *testing.T) {
	finish := func(t *testing.T, c *claim.Claim) error { return c.Finish(t.Context(), resultOfSize(10)) }
	setMayHaveRun := func(t *testing.T, c *claim.Claim) error { return c.MayHaveRun(t.Context()) }
	release := func(t *testing.T, c *claim.Claim) error { return c.Release(t.Context()) }
	inFlight := func(*testing.T, *claim.Claim) error { return nil }
	tests := []struct {
		desc          string
		setOutcome    func(*testing.T, *claim.Claim) error
		age           time.Duration
		ownerDead     bool
		want          claim.SweepResult
		wantDuplicate string
	}{
		{"finished, kept", finish, day - 1, false, claim.SweepResult{Read: 1}, "done"},
		{"finished, expired", finish, day, false, claim.SweepResult{Read: 1, Expired: 1}, "result gone"},
		{"may have run, expired", setMayHaveRun, day, false, claim.SweepResult{Read: 1, Expired: 1}, "result gone"},
		{"released, kept", release, day - 1, false, claim.SweepResult{Read: 1}, "claimed"},
		{"released, expired", release, day, false, claim.SweepResult{Read: 1, Deleted: 1}, "claimed"},
		{"in flight, owner alive", inFlight, 40 * day, false, claim.SweepResult{Read: 1}, "in flight"},
		{"in flight, owner dead, kept", inFlight, day - 1, true, claim.SweepResult{Read: 1}, "may have run"},
		{"in flight, owner dead, expired", inFlight, day, true, claim.SweepResult{Read: 1, Expired: 1}, "result gone"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
				c := mustAcquire(t, p.a)
				is.NoErr(tt.setOutcome(t, c))
				p.dead.set("host-a", tt.ownerDead)
				time.Sleep(tt.age)
				swept, err := sweepAll(t, p.b)
				is.NoErr(err)
				is.Equal(swept, tt.want)
				is.Equal(acquireResult(p.b), tt.wantDuplicate)
			})
		})
	}
}

// sweepAll makes one full pass over the rows, from the current position of the
// store back to it.
func sweepAll(t *testing.T, s *claim.Store) (claim.SweepResult, error) {
	var sum claim.SweepResult
	for range 2 {
		swept, err := s.Sweep(t.Context(), 100)
		if err != nil {
			return sum, err
		}
		sum.Read += swept.Read
		sum.Expired += swept.Expired
		sum.Deleted += swept.Deleted
		if sum.Read > 0 {
			return sum, nil
		}
	}
	return sum, nil
}

func TestTombstoneOutlivesTheResult(t *testing.T) {
	tests := []struct {
		desc          string
		age           time.Duration
		wantDuplicate string
	}{
		{"before the tombstone expires", 30*day - 1, "result gone"},
		{"after the tombstone expired, the key can be claimed", 30 * day, "claimed"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
				c := mustAcquire(t, p.a)
				is.NoErr(c.Finish(t.Context(), resultOfSize(10)))
				time.Sleep(2 * day)
				_, err := sweepAll(t, p.b)
				is.NoErr(err)
				time.Sleep(tt.age - 2*day)
				_, err = sweepAll(t, p.b)
				is.NoErr(err)
				is.Equal(acquireResult(p.a), tt.wantDuplicate)
			})
		})
	}
}

// TestSweepReachesEveryRow checks that small sweeps on two hosts cover all rows.
func TestSweepReachesEveryRow(t *testing.T) {
	withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
		const keys, step = 50, 7
		for i := range keys {
			key := claim.Key{Account: "dealer", RequestKey: fmt.Sprint(i)}
			c, err := p.a.Acquire(t.Context(), key, testDigest, "req")
			is.NoErr(err)
			is.NoErr(c.Finish(t.Context(), resultOfSize(10)))
		}
		time.Sleep(2 * day)
		expired := 0
		for range keys/step + 2 {
			for _, s := range []*claim.Store{p.a, p.b} {
				swept, err := s.Sweep(t.Context(), step)
				is.NoErr(err)
				expired += swept.Expired
			}
		}
		is.Equal(expired, keys)
	})
}

// TestOwnerPausedUntilItsClaimExpired checks that Finish fails after the claim was
// replaced by a tombstone.
func TestOwnerPausedUntilItsClaimExpired(t *testing.T) {
	withTestPlatform(t, func(t *testing.T, is *is.I, p *testPlatform) {
		c := mustAcquire(t, p.a)
		p.dead.set("host-a", true)
		time.Sleep(2 * day)
		_, err := sweepAll(t, p.b)
		is.NoErr(err)
		is.True(errors.Is(c.Finish(t.Context(), resultOfSize(10)), claim.ErrRowExpired))
		is.Equal(acquireResult(p.a), "result gone")
	})
}

// TestBacklogBounds checks which results and writes are dropped if the backlog
// overflows while the table is down.
func TestBacklogBounds(t *testing.T) {
	tests := []struct {
		desc    string
		options claim.Options
		dropped uint64
		// wantDuplicate is the result for a duplicate of the last of three
		// requests, on the owner's host.
		wantDuplicate string
	}{
		{"everything fits", claim.Options{}, 0, "done"},
		{"too many bytes", claim.Options{MaxPendingBytes: 2500}, 1, "result gone"},
		{"too many outcomes", claim.Options{MaxPending: 2}, 1, "result gone"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			p := newTestPlatform(tt.options)
			var claims []*claim.Claim
			keys := []claim.Key{{RequestKey: "1"}, {RequestKey: "2"}, {RequestKey: "3"}}
			for _, key := range keys {
				c, err := p.a.Acquire(t.Context(), key, testDigest, "req")
				is.NoErr(err)
				claims = append(claims, c)
			}
			p.table.SetDown(true)
			for _, c := range claims {
				is.True(errors.Is(c.Finish(t.Context(), resultOfSize(1000)), claim.ErrPending))
			}
			is.Equal(p.a.Dropped(), tt.dropped)
			_, err := p.a.Acquire(t.Context(), keys[0], testDigest, "again")
			is.Equal(describeAcquire(err), "done")
			_, err = p.a.Acquire(t.Context(), keys[2], testDigest, "again")
			is.Equal(describeAcquire(err), tt.wantDuplicate)
		})
	}
}

func TestOutcomeIsSetOnce(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(claim.Options{})
	c := mustAcquire(t, p.a)
	is.NoErr(c.Release(t.Context()))
	is.Equal(c.Finish(t.Context(), resultOfSize(1)), claim.ErrOutcomeSet)
	is.Equal(acquireResult(p.b), "claimed")
}

func TestRestartedHostDoesNotOwnItsPredecessorsClaims(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(claim.Options{})
	mustAcquire(t, p.a)
	restarted := p.newStore(claim.Options{}, "host-a")
	is.Equal(acquireResult(restarted), "may have run")
}

func TestKeysDoNotCollide(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(claim.Options{})
	for _, key := range []claim.Key{{"ab", "c"}, {"a", "bc"}, {"", "abc"}, {"a", "b/c"}, {"a/b", "c"}} {
		_, err := p.a.Acquire(t.Context(), key, sha256.Sum256(nil), "req")
		is.NoErr(err)
	}
	rows, err := p.table.List(t.Context(), "claim/", "", 100)
	is.NoErr(err)
	is.Equal(len(rows), 5)
}
