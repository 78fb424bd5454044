package guard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// verdictWriteTimeout is the time limit of writing or removing a verdict's row. No request
	// waits for that.
	verdictWriteTimeout = time.Second
	// writeInterval is the mean time between two attempts to write rows. It exceeds the time
	// from the write of a row until the watcher returns the row to this host.
	writeInterval = time.Second
	// takeoverAge is the time after which a host that makes verdicts writes the verdicts that it
	// received from other hosts and that aren't stored: those hosts may have stopped.
	takeoverAge = 2 * time.Second
	// cleanupInterval is the time between two searches for unused rows.
	cleanupInterval = time.Minute
)

// verdictStore writes the verdicts to the store, so that they outlast the hosts that made them.
// It also selects the one host that sends a request again, as a trial, after its verdict has
// expired: the first host that writes the verdict's row then.
type verdictStore struct {
	host     string
	prefix   string
	table    storage.Table
	register *quarantine.Register
	log      zerolog.Logger
	// clock is Options.Clock.
	clock func() time.Duration
	// onVerdict is called for a verdict that came from the store. onWithdrawal is called for a
	// verdict that was dropped because its row was removed.
	onVerdict    func(v quarantine.Verdict, source string)
	onWithdrawal func(d quarantine.Digest)

	mu sync.Mutex
	// ownTrials holds this host's trials: those that it claims, may start, or has started.
	// nextWriteAt is the earliest time of the next attempt to write rows. nextCleanupAt is the
	// earliest time of the next search for unused rows.
	ownTrials     map[quarantine.Digest]*trial
	nextWriteAt   time.Time
	nextCleanupAt time.Time
}

// trial is one send of a request whose verdict has expired.
type trial struct {
	// claimed reports whether the store accepted this host's claim of the trial. sent reports
	// whether the request was admitted as the trial.
	claimed, sent bool
}

func newVerdictStore(o *Options, register *quarantine.Register) *verdictStore {
	return &verdictStore{
		host: o.Host, prefix: o.Prefix, table: o.Table, register: register, log: o.Log, clock: o.Clock,
		ownTrials: make(map[quarantine.Digest]*trial),
		onVerdict: func(quarantine.Verdict, string) {}, onWithdrawal: func(quarantine.Digest) {},
	}
}

// errVerdictKey means that the key of a verdict's row names another request than the verdict.
var errVerdictKey = errors.New("guard: the verdict is on another request than the key of its row")

// ApplyRow applies a verdict's row from the store.
func (g *Guard) ApplyRow(key string, data []byte, revision storage.Revision) error {
	v := g.verdictStore
	d, err := v.digestFromKey(key)
	if err != nil {
		return err
	}
	var verdict quarantine.Verdict
	if err := json.Unmarshal(data, &verdict); err != nil {
		return err
	}
	if verdict.Digest != d {
		return fmt.Errorf("%w: %v", errVerdictKey, verdict.Digest)
	}
	if v.register.ApplyRow(verdict, revision, boottime.Elapsed()) {
		v.onVerdict(verdict, "store")
	}
	return nil
}

// ApplyRowRemoval processes the removal of a verdict's row from the store.
func (g *Guard) ApplyRowRemoval(key string) error {
	d, err := g.verdictStore.digestFromKey(key)
	if err != nil {
		return err
	}
	g.verdictStore.dropVerdict(d)
	return nil
}

// MarkRowsUnsaved marks the verdicts as unsaved, after the store was restored from a backup, which
// may lack some of their rows. Verdicts whose rows aren't received from the store again are
// written again.
func (g *Guard) MarkRowsUnsaved() { g.verdictStore.register.MarkUnsaved() }

// DropMissingVerdicts drops the verdicts that were stored and whose row isn't among the keys,
// which are those of all rows in the store.
func (g *Guard) DropMissingVerdicts(keys map[string]bool) { g.verdictStore.dropMissing(keys) }

// digestFromKey returns the digest in a row's key.
func (v *verdictStore) digestFromKey(key string) (quarantine.Digest, error) {
	return quarantine.ParseDigest(strings.TrimPrefix(key, v.prefix))
}

// dropVerdict removes a verdict from the register, after its row was removed from the store.
func (v *verdictStore) dropVerdict(d quarantine.Digest) {
	if v.register.Withdraw(d, boottime.Elapsed()) {
		v.onWithdrawal(d)
	}
}

// dropMissing drops the verdicts that were stored and whose row isn't among the keys.
func (v *verdictStore) dropMissing(keys map[string]bool) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && !keys[v.key(e.Digest)] {
			v.dropVerdict(e.Digest)
		}
	}
}

func (v *verdictStore) key(d quarantine.Digest) string { return v.prefix + d.String() }

// claimOrStartTrial reports whether a request with a verdict may be sent now as the trial, because
// the verdict has expired and this host has claimed the trial. The first request after the
// expiry isn't sent: it only starts the claim, which requires a write to the store.
func (v *verdictStore) claimOrStartTrial(e quarantine.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.ownTrials[e.Digest]; t != nil {
		if !t.claimed || t.sent {
			return false
		}
		t.sent = true
		v.log.Info().Str("event", "quarantine-trial").Stringer("digest", e.Digest).Int("trial", e.TrialCount).Msg("")
		return true
	}
	if e.InForce(v.clock()) {
		return false
	}
	t := &trial{}
	v.ownTrials[e.Digest] = t
	go v.claim(t, e)
	return false
}

// claim claims the trial in the store.
func (v *verdictStore) claim(t *trial, e quarantine.Entry) {
	err := v.put(context.Background(), e.ForTrial(v.clock()), e.Revision)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		// Another host claimed the trial first, or the store is unavailable; this host's next
		// request with the digest starts another claim.
		delete(v.ownTrials, e.Digest)
		return
	}
	t.claimed = true
}

// renewAfterTrial renews the verdict on a request with which an upstream terminated, with a
// longer term, if this host had sent the request as a trial.
func (v *verdictStore) renewAfterTrial(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.put(context.Background(), e.Renewed(v.clock()), e.Revision) }() // the error is logged in commit
}

// withdrawAfterTrial withdraws the verdict on a request that was answered, if this host had sent
// the request as a trial.
func (v *verdictStore) withdrawAfterTrial(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.remove(context.Background(), e) }()
}

// endTrial ends this host's trial, if the request was sent as one, and returns the verdict.
func (v *verdictStore) endTrial(d quarantine.Digest) (quarantine.Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.ownTrials[d]; t == nil || !t.sent {
		return quarantine.Entry{}, false
	}
	delete(v.ownTrials, d)
	return v.register.Get(d)
}

// writeMissing writes the rows of this host's verdicts that the store may not have. If this host
// makes verdicts, it also writes the rows of other hosts' verdicts, after takeoverAge, and
// removes unused rows.
func (v *verdictStore) writeMissing(ctx context.Context, verdictsEnabled bool) {
	now := boottime.Now()
	if now.Before(v.nextWriteAt) {
		return
	}
	wrote := false
	for _, e := range v.register.All() {
		own := e.MadeBy == v.host
		takeover := verdictsEnabled && boottime.Elapsed()-e.ReceivedAt > takeoverAge
		if e.Unsaved() && (own || takeover) {
			wrote = true
			_ = v.put(ctx, e.Verdict, e.Revision) // the error is logged in commit; a later call tries again
		}
	}
	if wrote {
		v.nextWriteAt = now.Add(writeInterval/2 + rand.N(writeInterval))
	}
	if verdictsEnabled && now.After(v.nextCleanupAt) {
		v.nextCleanupAt = now.Add(cleanupInterval)
		v.removeUnused(ctx)
	}
}

// removeUnused removes the rows of verdicts that are unused: no request was received for a long
// time after the expiry.
func (v *verdictStore) removeUnused(ctx context.Context) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && e.Unused(v.clock()) {
			_ = v.remove(ctx, e) // the error is logged in commit; a later call tries again
		}
	}
}

// put writes a verdict's row, unless the row in the store has another revision than the expected
// one.
func (v *verdictStore) put(ctx context.Context, verdict quarantine.Verdict, expected storage.Revision) error {
	data, err := json.Marshal(verdict)
	if err != nil {
		return err
	}
	key := v.key(verdict.Digest)
	revision, err := v.commit(ctx, "put", storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: uint64(expected)}},
		Puts:       []storage.Put{{Key: key, Value: data}},
	})
	if err == nil {
		v.register.ApplyRow(verdict, revision, boottime.Elapsed())
	}
	return err
}

// remove removes a verdict's row, unless it has changed, and drops the verdict.
func (v *verdictStore) remove(ctx context.Context, e quarantine.Entry) error {
	key := v.key(e.Digest)
	_, err := v.commit(ctx, "remove", storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: uint64(e.Revision)}},
		Deletes:    []string{key},
	})
	if err == nil {
		v.dropVerdict(e.Digest)
	}
	return err
}

func (v *verdictStore) commit(ctx context.Context, kind string, txn storage.Txn) (storage.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictWriteTimeout)
	defer cancel()
	number, err := v.table.Commit(ctx, txn)
	revision := storage.Revision(number)
	v.log.Info().Str("event", "verdict-write").Str("kind", kind).Str("key", txn.Conditions[0].Key).
		Stringer("revision", revision).AnErr("error", err).Msg("")
	return revision, err
}

// Withdraw removes a verdict's row and drops the verdict. It does nothing if the request has no
// verdict.
func (g *Guard) Withdraw(ctx context.Context, d quarantine.Digest) error {
	e, ok := g.register.Get(d)
	if !ok {
		return nil
	}
	return g.verdictStore.remove(ctx, e)
}
