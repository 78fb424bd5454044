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
	// verdictWriteTimeout bounds a write of a verdict's row. No request waits for it.
	verdictWriteTimeout = time.Second
	// writeGap is the mean time between two tries to write rows, longer than a write and
	// its return through the watcher take.
	writeGap = time.Second
	// writeForOthers is the age from which a judging host writes a verdict that another
	// one made: that host may be gone.
	writeForOthers = 2 * time.Second
	// tidyGap is the time between two looks for rows that nobody asks for any more.
	tidyGap = time.Minute
)

// rows keep the verdicts in the store, so that they outlive the hosts, and let one
// host at a time try a request again whose judgement has ended.
type rows struct {
	host     string
	prefix   string
	table    storage.Table
	register *quarantine.Register
	log      zerolog.Logger
	// clock is the clock that all hosts share.
	clock func() time.Duration
	// known is told of a verdict that came from the store, lifted of one whose row is gone.
	known  func(v quarantine.Verdict, from string)
	lifted func(d quarantine.Digest)

	mu sync.Mutex
	// trials are requests that this host may try, or has sent.
	trials map[quarantine.Digest]*trial
	nextAt time.Time
	tidyAt time.Time
}

// trial is one send of a request whose judgement has ended.
type trial struct {
	// granted says that the store has this host's claim, sent that the request went out.
	granted, sent bool
}

func newRows(o *Options, register *quarantine.Register) *rows {
	return &rows{
		host: o.Host, prefix: o.Prefix, table: o.Table, register: register, log: o.Log, clock: o.Clock,
		trials: make(map[quarantine.Digest]*trial),
		known:  func(quarantine.Verdict, string) {}, lifted: func(quarantine.Digest) {},
	}
}

// errVerdictKey means that a verdict's row has another request's key.
var errVerdictKey = errors.New("guard: the verdict is on another request")

// TakeRow takes a verdict's row of the store.
func (g *Guard) TakeRow(key string, data []byte, revision storage.Revision) error {
	v := g.rows
	d, err := v.digest(key)
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
		v.known(verdict, "store")
	}
	return nil
}

// RowRemoved takes in that a verdict's row was removed from the store.
func (g *Guard) RowRemoved(key string) error {
	d, err := g.rows.digest(key)
	if err != nil {
		return err
	}
	g.rows.lift(d)
	return nil
}

// ForgetRows takes in that the store came back from a copy, which may lack rows of verdicts:
// those that aren't taken again are written again.
func (g *Guard) ForgetRows() { g.rows.register.MarkUnsaved() }

// KeepRows lifts the verdicts that the store had and that aren't among the keys of all its
// rows.
func (g *Guard) KeepRows(keys map[string]bool) { g.rows.keep(keys) }

// digest is the one in a row's key.
func (v *rows) digest(key string) (quarantine.Digest, error) {
	return quarantine.ParseDigest(strings.TrimPrefix(key, v.prefix))
}

// lift forgets a verdict.
func (v *rows) lift(d quarantine.Digest) {
	if v.register.Lift(d, boottime.Elapsed()) {
		v.lifted(d)
	}
}

// keep lifts the verdicts that the store had and that aren't among the keys.
func (v *rows) keep(keys map[string]bool) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && !keys[v.key(e.Digest)] {
			v.lift(e.Digest)
		}
	}
}

func (v *rows) key(d quarantine.Digest) string { return v.prefix + d.String() }

// permits says whether a request with a verdict may be sent now: the judgement has ended
// and this host is the one that tries. The first request after the end only has the host
// claim the trial, which takes a write of the store.
func (v *rows) permits(e quarantine.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.trials[e.Digest]; t != nil {
		if !t.granted || t.sent {
			return false
		}
		t.sent = true
		v.log.Info().Str("event", "quarantine-trial").Stringer("digest", e.Digest).Int("trial", e.Trials).Msg("")
		return true
	}
	if e.Holds(v.clock()) {
		return false
	}
	t := &trial{}
	v.trials[e.Digest] = t
	go v.claim(t, e)
	return false
}

// claim claims the trial in the store.
func (v *rows) claim(t *trial, e quarantine.Entry) {
	err := v.put(context.Background(), e.Trial(v.clock()), e.Revision)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		// Another host was first, or the store is away: the next request tells.
		delete(v.trials, e.Digest)
		return
	}
	t.granted = true
}

// trialLost takes in that an upstream ended with the request: if this host tried it, it is
// kept away again, for longer.
func (v *rows) trialLost(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.put(context.Background(), e.Renewed(v.clock()), e.Revision) }() // logged there
}

// trialSurvived takes in that the request was answered: if this host tried it, the verdict
// is withdrawn.
func (v *rows) trialSurvived(d quarantine.Digest) {
	e, ok := v.endTrial(d)
	if !ok {
		return
	}
	go func() { _ = v.remove(context.Background(), e) }()
}

// endTrial ends this host's trial of the request, if it was sent.
func (v *rows) endTrial(d quarantine.Digest) (quarantine.Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.trials[d]; t == nil || !t.sent {
		return quarantine.Entry{}, false
	}
	delete(v.trials, d)
	return v.register.Get(d)
}

// write writes the rows of verdicts that the store doesn't have, those of other hosts if
// this host judges, too; and removes rows that nobody asks for any more.
func (v *rows) write(ctx context.Context, judges bool) {
	now := boottime.Now()
	if now.Before(v.nextAt) {
		return
	}
	wrote := false
	for _, e := range v.register.All() {
		own := e.By == v.host
		late := judges && boottime.Elapsed()-e.Heard > writeForOthers
		if e.Unsaved() && (own || late) {
			wrote = true
			_ = v.put(ctx, e.Verdict, e.Revision) // logged there; tried again after the pause
		}
	}
	if wrote {
		v.nextAt = now.Add(writeGap/2 + rand.N(writeGap))
	}
	if judges && now.After(v.tidyAt) {
		v.tidyAt = now.Add(tidyGap)
		v.tidy(ctx)
	}
}

// tidy removes the rows of verdicts that ended long ago.
func (v *rows) tidy(ctx context.Context) {
	for _, e := range v.register.All() {
		if e.Revision > 0 && e.Unused(v.clock()) {
			_ = v.remove(ctx, e) // logged there; the next look tries again
		}
	}
}

// put writes a verdict's row in place of the revision.
func (v *rows) put(ctx context.Context, verdict quarantine.Verdict, expected storage.Revision) error {
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
func (v *rows) remove(ctx context.Context, e quarantine.Entry) error {
	key := v.key(e.Digest)
	_, err := v.commit(ctx, "remove", storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: uint64(e.Revision)}},
		Deletes:    []string{key},
	})
	if err == nil {
		v.lift(e.Digest)
	}
	return err
}

func (v *rows) commit(ctx context.Context, kind string, txn storage.Txn) (storage.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictWriteTimeout)
	defer cancel()
	number, err := v.table.Commit(ctx, txn)
	revision := storage.Revision(number)
	v.log.Info().Str("event", "verdict-write").Str("kind", kind).Str("key", txn.Conditions[0].Key).
		Stringer("revision", revision).AnErr("error", err).Msg("")
	return revision, err
}

// Withdraw removes a verdict's row and forgets the verdict. A request without one is none.
func (g *Guard) Withdraw(ctx context.Context, d quarantine.Digest) error {
	e, ok := g.register.Get(d)
	if !ok {
		return nil
	}
	return g.rows.remove(ctx, e)
}
