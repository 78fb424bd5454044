package config_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
)

func TestSubmitBuildsHistory(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		ctx := t.Context()
		empty, err := f.store.Head(ctx)
		is.NoErr(err)
		is.Equal(empty, config.Head{})

		first := f.submit(t, config.Head{}, "1")
		second := f.submit(t, first, "2")
		back := f.submit(t, second, "1") // the first content again, as a new epoch
		is.Equal(back.Epoch, uint64(3))
		is.True(back.Digest != first.Digest)

		head, err := f.store.Head(ctx)
		is.NoErr(err)
		is.Equal(head, back)
		history, err := f.store.History(ctx, 1, 10)
		is.NoErr(err)
		is.Equal(history, []config.Head{second, back})
		policy, err := f.store.LoadEpoch(ctx, 2)
		is.NoErr(err)
		is.Equal(policy.Document.Build, "2")
		is.Equal(policy.Digest, second.Digest)
	})
}

func TestSubmitOutcomes(t *testing.T) {
	const late = 90 * time.Millisecond // a write that is this late takes effect between two attempts
	for _, tc := range []struct {
		desc    string
		prepare func(t *testing.T, f *fixture)
		// body and token are those of the submission, whose parent is manifest "1". The
		// token "-" stands for an empty one.
		body, token string
		want        error
		already     bool
		// epoch is the head's epoch after all transactions have taken effect.
		epoch uint64
	}{
		{desc: "accepted", body: "2", epoch: 2},
		{desc: "response lost", prepare: func(_ *testing.T, f *fixture) { f.table.LoseNextResponses(1) }, body: "2", epoch: 2},
		{desc: "transaction lost", prepare: func(_ *testing.T, f *fixture) { f.table.DropNextCommits(1) }, body: "2", epoch: 2},
		{desc: "delayed effect", prepare: func(_ *testing.T, f *fixture) { f.table.DelayNextCommits(1, late) }, body: "2", epoch: 2},
		{desc: "effect delayed by a minute", prepare: func(_ *testing.T, f *fixture) { f.table.DelayNextCommits(1, time.Minute) }, body: "2", epoch: 2},
		{desc: "all effects delayed", prepare: func(_ *testing.T, f *fixture) { f.table.DelayNextCommits(100, time.Minute) }, body: "2", want: storage.ErrUnknown, epoch: 2},
		{desc: "all transactions lost", prepare: func(_ *testing.T, f *fixture) { f.table.DropNextCommits(100) }, body: "2", want: storage.ErrUnknown, epoch: 1},
		{desc: "table down", prepare: func(_ *testing.T, f *fixture) { f.table.SetDown(true) }, body: "2", want: storage.ErrUnavailable, epoch: 1},
		{desc: "object store down", prepare: func(_ *testing.T, f *fixture) { f.objects.SetDown(true) }, body: "2", want: storage.ErrUnavailable, epoch: 1},
		{desc: "accepted by another caller", prepare: acceptManifest("2", "other"), body: "2", already: true, epoch: 2},
		{desc: "accepted with the same token before", prepare: acceptManifest("2", "mine"), body: "2", already: true, epoch: 2},
		{desc: "another manifest accepted first", prepare: acceptManifest("3", "other"), body: "2", want: storage.ErrConflict, epoch: 2},
		{desc: "another manifest accepted first and the response lost", prepare: func(t *testing.T, f *fixture) {
			acceptManifest("3", "other")(t, f)
			f.table.LoseNextResponses(1)
		}, body: "2", want: storage.ErrConflict, epoch: 2},
		{desc: "no token", body: "2", token: "-", want: config.ErrInvalidToken, epoch: 1},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
				first := f.submit(t, config.Head{}, "1")
				if tc.prepare != nil {
					tc.prepare(t, f)
				}
				token := "mine"
				if tc.token == "-" {
					token = ""
				}
				result, err := f.store.Submit(t.Context(), document(first.Digest, tc.body), token)
				is.True(errors.Is(err, tc.want)) // the expected kind of error
				is.Equal(result.AlreadyAccepted, tc.already)
				time.Sleep(2 * time.Minute) // until delayed transactions have taken effect
				f.table.ClearFaults()
				head, headErr := f.store.Head(t.Context())
				is.NoErr(headErr)
				is.Equal(head.Epoch, tc.epoch)
				if err == nil {
					is.Equal(result.Head, head)
				}
			})
		})
	}
}

// acceptManifest returns a function that submits a manifest on the current head.
func acceptManifest(build, token string) func(*testing.T, *fixture) {
	return func(t *testing.T, f *fixture) {
		head, err := f.store.Head(t.Context())
		is.New(t).NoErr(err)
		_, err = f.store.Submit(t.Context(), document(head.Digest, build), token)
		is.New(t).NoErr(err)
	}
}

func TestResubmitAfterReplacement(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		f.submit(t, first, "2")
		result, err := f.store.Submit(t.Context(), document("", "1"), "another")
		is.NoErr(err)
		is.Equal(result, config.Submission{Head: first, AlreadyAccepted: true})
	})
}

func TestConflictReturnsTheAcceptedHead(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		first := f.submit(t, config.Head{}, "1")
		accepted := f.submit(t, first, "2")
		_, err := f.store.Submit(t.Context(), document(first.Digest, "3"), "loser")
		var conflict *config.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Head, accepted)
	})
}

func TestSubmitRejectsAnInvalidDocument(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	_, err := f.store.Submit(context.Background(), []byte(`{"format":1}`), "token")
	var problems manifest.Errors
	is.True(errors.As(err, &problems))
	is.Equal(f.table.Counts().Commits, 0)
}

// If the outcome of a transaction is unknown, Submit must return storage.ErrUnknown even if
// the head's row can't be decoded afterwards.
func TestSubmitWithACorruptHead(t *testing.T) {
	for _, tc := range []struct {
		desc string
		// after is the delay after which the head's row is corrupted.
		after time.Duration
		want  error
	}{
		{"before the transaction", 0, config.ErrCorrupt},
		{"after a transaction without response", 5 * time.Millisecond, storage.ErrUnknown},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				first := f.submit(t, config.Head{}, "1")
				f.table.DropNextCommits(1)
				time.AfterFunc(tc.after, func() {
					txn := storage.Txn{Puts: []storage.Put{{Key: "config/head", Value: []byte("{")}}}
					_, _ = f.rawTable.Commit(context.Background(), txn)
				})
				synctest.Wait()
				_, err := f.store.Submit(t.Context(), document(first.Digest, "2"), "token")
				is.New(t).True(errors.Is(err, tc.want)) // the expected kind of error
			})
		})
	}
}

func TestReport(t *testing.T) {
	runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
		ctx := t.Context()
		first := f.submit(t, config.Head{}, "1")
		second := f.submit(t, first, "2")
		is.NoErr(f.store.Confirm(ctx, "a", second))
		is.NoErr(f.store.Confirm(ctx, "a", first)) // an older head has no effect
		is.NoErr(f.store.Confirm(ctx, "b", first))
		f.table.LoseNextResponses(1)
		is.NoErr(f.store.Confirm(ctx, "d", second))
		report, err := f.store.ReportConfirmations(ctx, second, []string{"d", "c", "b", "a"})
		is.NoErr(err)
		is.Equal(report, config.ConfirmationReport{Confirmed: []string{"a", "d"}, Unconfirmed: []string{"b", "c"}})

		time.Sleep(time.Hour)
		is.NoErr(f.store.Confirm(ctx, "b", second))
		is.NoErr(f.store.PruneConfirmations(ctx, time.Now().Add(-time.Minute)))
		report, err = f.store.ReportConfirmations(ctx, second, []string{"a", "b", "c", "d"})
		is.NoErr(err)
		is.Equal(report.Confirmed, []string{"b"})
	})
}
