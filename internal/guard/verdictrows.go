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
	// verdictWriteTimeout bounds the write of a verdict's row. No request waits for it.
	verdictWriteTimeout = time.Second
	// writeInterval is the mean time between two attempts to write rows. It exceeds the time
	// that a write takes until the watcher returns it.
	writeInterval = time.Second
	// takeoverAge is the age from which a host that makes verdicts writes the verdicts of other
	// hosts, too: the host that made them may be gone.
	takeoverAge = 2 * time.Second
	// cleanupInterval is the time between two searches for unused rows.
	cleanupInterval = time.Minute
)

// verdictRows keeps the verdicts in the store, so that they survive the hosts, and lets one host
// at a time try a request again after its verdict has expired.
type verdictRows struct {
	host     string
	prefix   string
	table    storage.Table
	register *quarantine.Register
	log      zerolog.Logger
	// clock is the clock shared by all hosts.
	clock func() time.Duration
	// onVerdict is called for a verdict that came from the store, onLift for one whose row was
	// removed.
	onVerdict    func(v quarantine.Verdict, source string)
	onWithdrawal func(d quarantine.Digest)

	mu sync.Mutex
	// trials holds the requests that this host may try, or has sent as a trial.
	trials        map[quarantine.Digest]*trial
	nextWriteAt   time.Time
	nextCleanupAt time.Time
}

// trial is one send of a request whose verdict has expired.
type trial struct {
	// granted says that the store accepted this host's claim of the trial, sent that the request
	// was sent.
	claimed, sent bool
}

func newVerdictRows(o *Options, register *quarantine.Register) *verdictRows {
	return &verdictRows{
		host: o.Host, prefix: o.Prefix, table: o.Table, register: register, log: o.Log, clock: o.Clock,
		trials:    make(map[quarantine.Digest]*trial),
		onVerdict: func(quarantine.Verdict, string) {}, onWithdrawal: func(quarantine.Digest) {},
	}
}

// errVerdictKey means that a verdict's row has the key of another request.
var errVerdictKey = errors.New("guard: the verdict is on another request than the key of its row")

// ApplyRow applies a verdict's row from the store.
func (g *Guard) ApplyRow(key string, data []byte, revision storage.Revision) error {
	v := g.verdictRows
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

// RowRemoved processes the removal of a verdict's row from the store.
func (g *Guard) RowRemoved(key string) error {
	d, err := g.verdictRows.digestFromKey(key)
	if err != nil {
		return err
	}
	g.verdictRows.dropVerdict(d)
	return nil
}

// MarkRowsUnsaved marks the verdicts as unsaved, after the store was restored from a backup, which
// may lack rows of verdicts: those that aren't received again are written again.
func (g *Guard) MarkRowsUnsaved() { g.verdictRows.register.MarkUnsaved() }

// LiftMissingRows lifts the stored verdicts that aren't among the keys, which are those of all rows in
// the store.
func (g *Guard) LiftMissingRows(keys map[string]bool) { g.verdictRows.dropMissing(keys) }

// digest returns the digest in a row's key.
func (v *verdictRows) digestFromKey(key string) (quarantine.Digest, error) {
	return quarantine.ParseDigest(strings.TrimPrefix(key, v.prefix))
}

// lift removes a verdict from the register.
func (v *verdictRows) dropVerdict(d quarantine.Digest) {
	if v.register.Withdraw(d, boottime.Elapsed()) {
		v.onWithdrawal(d)
	}
}

// liftMissing lifts the stored verdicts that aren't among the keys.
func (v *verdictRows) dropMissing(keys map[string]bool) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && !keys[v.key(e.Digest)] {
			v.dropVerdict(e.Digest)
		}
	}
}

func (v *verdictRows) key(d quarantine.Digest) string { return v.prefix + d.String() }

// permitsTrial reports whether a request with a verdict may be sent now, because the verdict has
// expired and this host has claimed the trial. The first request after the expiry only starts
// the claim, which takes a write to the store.
func (v *verdictRows) claimOrStartTrial(e quarantine.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.trials[e.Digest]; t != nil {
		if !t.claimed || t.sent {
			return false
		}
		t.sent = true
		v.log.Info().Str("event", "quarantine-trial").Stringer("digest", e.Digest).Int("trial", e.Trials).Msg("")
		return true
	}
	if e.InForce(v.clock()) {
		return false
	}
	t := &trial{}
	v.trials[e.Digest] = t
	go v.claim(t, e)
	return false
}

// claim claims the trial in the store.
func (v *verdictRows) claim(t *trial, e quarantine.Entry) {
	err := v.put(context.Background(), e.ForTrial(v.clock()), e.Revision)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		// Another host claimed it first or the store is unavailable; the next request tries
		// again.
		delete(v.trials, e.Digest)
		return
	}
	t.claimed = true
}

// trialFailed processes the termination of an upstream with the request: if this host tried it,
// the verdict is renewed with a longer term.
func (v *verdictRows) renewIfTried(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.put(context.Background(), e.Renewed(v.clock()), e.Revision) }() // the error is logged in commit
}

// trialSucceeded processes an answer to the request: if this host tried it, the verdict is
// withdrawn.
func (v *verdictRows) withdrawIfTried(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.remove(context.Background(), e) }()
}

// endTrial ends this host's trial of the request, if it was sent.
func (v *verdictRows) endTrial(d quarantine.Digest) (quarantine.Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.trials[d]; t == nil || !t.sent {
		return quarantine.Entry{}, false
	}
	delete(v.trials, d)
	return v.register.Get(d)
}

// writeMissing writes the rows of this host's verdicts that the store doesn't have. If this host
// makes verdicts, it also writes those of other hosts and removes unused rows.
func (v *verdictRows) writeMissing(ctx context.Context, makesVerdicts bool) {
	now := boottime.Now()
	if now.Before(v.nextWriteAt) {
		return
	}
	wrote := false
	for _, e := range v.register.All() {
		own := e.By == v.host
		takeover := makesVerdicts && boottime.Elapsed()-e.ReceivedAt > takeoverAge
		if e.Unsaved() && (own || takeover) {
			wrote = true
			_ = v.put(ctx, e.Verdict, e.Revision) // logged in commit; the next call tries again
		}
	}
	if wrote {
		v.nextWriteAt = now.Add(writeInterval/2 + rand.N(writeInterval))
	}
	if makesVerdicts && now.After(v.nextCleanupAt) {
		v.nextCleanupAt = now.Add(cleanupInterval)
		v.removeUnused(ctx)
	}
}

// removeUnused removes the rows of verdicts whose requests weren't received for long after the
// expiry.
func (v *verdictRows) removeUnused(ctx context.Context) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && e.Unused(v.clock()) {
			_ = v.remove(ctx, e) // logged in commit; the next call tries again
		}
	}
}

// put writes a verdict's row in place of the expected revision.
func (v *verdictRows) put(ctx context.Context, verdict quarantine.Verdict, expected storage.Revision) error {
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

// remove removes a verdict's row.
func (v *verdictRows) remove(ctx context.Context, e quarantine.Entry) error {
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

func (v *verdictRows) commit(ctx context.Context, kind string, txn storage.Txn) (storage.Revision, error) {
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
	return g.verdictRows.remove(ctx, e)
}
