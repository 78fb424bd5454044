package measure

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
)

// answerBytes is the size of the answers that claims keep.
const answerBytes = 300

func (r *run) claims() error {
	t := newTable()
	committer := groupcommit.New(t, groupcommit.Options{CommitsPerSecond: unlimited})
	defer committer.Close()
	store := claim.New(claim.Options{Table: committer, Objects: newObjects(), Host: "entry-000"})
	n := 0
	once := func() error {
		n++
		return r.claimOnce(store, n)
	}
	micros, err := r.cpuPer(200, once)
	if err != nil {
		return err
	}
	reads, commits, bytes, first := t.gets.Load(), t.commits.Load(), t.bytes(), n
	for range r.times(200) {
		if err := once(); err != nil {
			return err
		}
	}
	claims := float64(n - first)
	r.constant(capacity.ClaimCPU, unitCPU, "claimed and finished over a table in memory", micros)
	r.constant(capacity.ClaimCommits, "commits", "of a claim alone, where group commit has nothing to join it with", float64(t.commits.Load()-commits)/claims)
	r.constant(capacity.ClaimReads, "reads", "of a claim that no other host made before", float64(t.gets.Load()-reads)/claims)
	r.constant(capacity.ClaimBytes, unitBytes, "keys and values of a claim with an answer of 300 bytes", (t.bytes()-bytes)/claims)
	return nil
}

func (r *run) claimOnce(store *claim.Store, n int) error {
	key := claim.Key{Account: "account-0001", RequestKey: fmt.Sprintf("bid-%012d", n)}
	held, err := store.Acquire(r.ctx, key, [32]byte{byte(n)}, fmt.Sprint("request-", n))
	if err != nil {
		return err
	}
	return held.Finish(context.WithoutCancel(r.ctx), claim.Result{
		Status: 200, Body: make([]byte, answerBytes), Upstream: "lanes-1", Epoch: 16_000, RequestID: fmt.Sprint("request-", n),
	})
}
