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

// TestSweep checks what a repeat is told at each age of its claim.
func TestSweep(t *testing.T) {
	finish := func(t *testing.T, c *claim.Claim) error { return c.Finish(t.Context(), answerOf(10)) }
	unknown := func(t *testing.T, c *claim.Claim) error { return c.MayHaveRun(t.Context()) }
	release := func(t *testing.T, c *claim.Claim) error { return c.Release(t.Context()) }
	inFlight := func(*testing.T, *claim.Claim) error { return nil }
	tests := []struct {
		desc   string
		settle func(*testing.T, *claim.Claim) error
		age    time.Duration
		gone   bool
		want   claim.Swept
		told   string
	}{
		{"finished, kept", finish, day - 1, false, claim.Swept{Read: 1}, "done"},
		{"finished, expired", finish, day, false, claim.Swept{Read: 1, Expired: 1}, "answer gone"},
		{"may have run, expired", unknown, day, false, claim.Swept{Read: 1, Expired: 1}, "answer gone"},
		{"released, kept", release, day - 1, false, claim.Swept{Read: 1}, "claimed"},
		{"released, expired", release, day, false, claim.Swept{Read: 1, Deleted: 1}, "claimed"},
		{"in flight, owner alive", inFlight, 40 * day, false, claim.Swept{Read: 1}, "in flight"},
		{"in flight, owner gone, kept", inFlight, day - 1, true, claim.Swept{Read: 1}, "may have run"},
		{"in flight, owner gone, expired", inFlight, day, true, claim.Swept{Read: 1, Expired: 1}, "answer gone"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, is *is.I, w *world) {
				c := mustAcquire(t, w.a)
				is.NoErr(tt.settle(t, c))
				w.gone.set("host-a", tt.gone)
				time.Sleep(tt.age)
				swept, err := sweepAll(t, w.b)
				is.NoErr(err)
				is.Equal(swept, tt.want)
				is.Equal(outcomeOf(w.b), tt.told)
			})
		})
	}
}

// sweepAll sweeps one round, from wherever the store stands to the same place.
func sweepAll(t *testing.T, s *claim.Store) (claim.Swept, error) {
	var sum claim.Swept
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

func TestTombstoneOutlivesTheAnswer(t *testing.T) {
	tests := []struct {
		desc string
		age  time.Duration
		told string
	}{
		{"before its end", 30*day - 1, "answer gone"},
		{"after its end the key is new", 30 * day, "claimed"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, is *is.I, w *world) {
				c := mustAcquire(t, w.a)
				is.NoErr(c.Finish(t.Context(), answerOf(10)))
				time.Sleep(2 * day)
				_, err := sweepAll(t, w.b)
				is.NoErr(err)
				time.Sleep(tt.age - 2*day)
				_, err = sweepAll(t, w.b)
				is.NoErr(err)
				is.Equal(outcomeOf(w.a), tt.told)
			})
		})
	}
}

// TestSweepReachesEveryRow sweeps in small steps on two hosts.
func TestSweepReachesEveryRow(t *testing.T) {
	inWorld(t, func(t *testing.T, is *is.I, w *world) {
		const keys, step = 50, 7
		for i := range keys {
			key := claim.Key{Account: "dealer", RequestKey: fmt.Sprint(i)}
			c, err := w.a.Acquire(t.Context(), key, testDigest, "req")
			is.NoErr(err)
			is.NoErr(c.Finish(t.Context(), answerOf(10)))
		}
		time.Sleep(2 * day)
		expired := 0
		for range keys/step + 2 {
			for _, s := range []*claim.Store{w.a, w.b} {
				swept, err := s.Sweep(t.Context(), step)
				is.NoErr(err)
				expired += swept.Expired
			}
		}
		is.Equal(expired, keys)
	})
}

// TestOwnerPausedUntilItsClaimExpired lets the owner finish after its claim
// gave way to a tombstone.
func TestOwnerPausedUntilItsClaimExpired(t *testing.T) {
	inWorld(t, func(t *testing.T, is *is.I, w *world) {
		c := mustAcquire(t, w.a)
		w.gone.set("host-a", true)
		time.Sleep(2 * day)
		_, err := sweepAll(t, w.b)
		is.NoErr(err)
		is.True(errors.Is(c.Finish(t.Context(), answerOf(10)), claim.ErrLost))
		is.Equal(outcomeOf(w.a), "answer gone")
	})
}

// TestBacklogBounds checks what is given up when the table is down for long.
func TestBacklogBounds(t *testing.T) {
	tests := []struct {
		desc    string
		options claim.Options
		dropped uint64
		// told is what the owner's host says of the last of three requests.
		told string
	}{
		{"room for all", claim.Options{}, 0, "done"},
		{"too many bytes", claim.Options{MaxPendingBytes: 2500}, 1, "answer gone"},
		{"too many outcomes", claim.Options{MaxPending: 2}, 1, "answer gone"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.options)
			var claims []*claim.Claim
			keys := []claim.Key{{RequestKey: "1"}, {RequestKey: "2"}, {RequestKey: "3"}}
			for _, key := range keys {
				c, err := w.a.Acquire(t.Context(), key, testDigest, "req")
				is.NoErr(err)
				claims = append(claims, c)
			}
			w.table.SetDown(true)
			for _, c := range claims {
				is.True(errors.Is(c.Finish(t.Context(), answerOf(1000)), claim.ErrPending))
			}
			is.Equal(w.a.Dropped(), tt.dropped)
			_, err := w.a.Acquire(t.Context(), keys[0], testDigest, "again")
			is.Equal(describe(err), "done")
			_, err = w.a.Acquire(t.Context(), keys[2], testDigest, "again")
			is.Equal(describe(err), tt.told)
		})
	}
}

func TestClaimIsSettledOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(claim.Options{})
	c := mustAcquire(t, w.a)
	is.NoErr(c.Release(t.Context()))
	is.Equal(c.Finish(t.Context(), answerOf(1)), claim.ErrSettled)
	is.Equal(outcomeOf(w.b), "claimed")
}

func TestRestartedHostDoesNotOwnItsPredecessorsClaims(t *testing.T) {
	is := is.New(t)
	w := newWorld(claim.Options{})
	mustAcquire(t, w.a)
	restarted := w.store(claim.Options{}, "host-a")
	is.Equal(outcomeOf(restarted), "may have run")
}

func TestKeysDoNotCollide(t *testing.T) {
	is := is.New(t)
	w := newWorld(claim.Options{})
	for _, key := range []claim.Key{{"ab", "c"}, {"a", "bc"}, {"", "abc"}, {"a", "b/c"}, {"a/b", "c"}} {
		_, err := w.a.Acquire(t.Context(), key, sha256.Sum256(nil), "req")
		is.NoErr(err)
	}
	rows, err := w.table.List(t.Context(), "claim/", "", 100)
	is.NoErr(err)
	is.Equal(len(rows), 5)
}
