package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// firstTerm is how long a judgement holds at first. Upstreams may be mended
	// meanwhile; the request is then tried once, by one host.
	firstTerm = 10 * time.Minute
	// termFactor times as long it holds after each trial that ended an upstream, up to
	// longestTerm: three trials take over seven hours.
	termFactor  = 6
	longestTerm = 24 * time.Hour
	// trialTerm is how long a trial may take: the longest time limits of routes are below
	// half a minute.
	trialTerm = time.Minute
	// unusedTerm is how long a judgement is kept after its end for a request that doesn't
	// come.
	unusedTerm = 7 * 24 * time.Hour
	// MaxVerdicts bounds the judgements that are kept. Each took three upstreams that
	// ended.
	MaxVerdicts = 1000
)

// Verdict keeps a request away from upstreams for a time.
type Verdict struct {
	Digest Digest
	// By is the host that judged, Events and Upstreams what it went by.
	By        string
	Events    int
	Upstreams int
	// Judged and Until are when the judgement was made and when it ends, on the store's
	// steady clock.
	Judged time.Duration
	Until  time.Duration
	// Trials is how often the request was tried after a judgement's end.
	Trials int
}

// NewVerdict is the first judgement of a request.
func NewVerdict(f Finding, by string, now time.Duration) Verdict {
	return Verdict{
		Digest: f.Digest, By: by, Events: f.Events, Upstreams: f.Upstreams,
		Judged: now, Until: now + firstTerm,
	}
}

// Trial is the verdict while the request is tried once more: it holds for all but the one
// that tries.
func (v Verdict) Trial(now time.Duration) Verdict {
	v.Trials++
	v.Until = now + trialTerm
	return v
}

// Renewed is the verdict after a trial that ended an upstream.
func (v Verdict) Renewed(now time.Duration) Verdict {
	term := firstTerm
	for range v.Trials {
		term = min(termFactor*term, longestTerm)
	}
	v.Until = now + term
	return v
}

// Holds says whether the request is kept away at the time.
func (v Verdict) Holds(now time.Duration) bool { return now < v.Until }

// Unused says that the request hasn't come for long after the judgement's end.
func (v Verdict) Unused(now time.Duration) bool { return now-v.Until > unusedTerm }

// after says whether the verdict follows the other one on the same request.
func (v Verdict) after(o Verdict) bool {
	if v.Trials != o.Trials {
		return v.Trials > o.Trials
	}
	return v.Until > o.Until
}

// row is a verdict in the store, as operators read it.
type row struct {
	Digest    string `json:"digest"`
	By        string `json:"by"`
	Events    int    `json:"events"`
	Upstreams int    `json:"upstreams"`
	JudgedMs  int64  `json:"judged_ms"`
	UntilMs   int64  `json:"until_ms"`
	Trials    int    `json:"trials"`
}

// MarshalJSON implements json.Marshaler.
func (v Verdict) MarshalJSON() ([]byte, error) {
	return json.Marshal(row{
		Digest: v.Digest.String(), By: v.By, Events: v.Events, Upstreams: v.Upstreams,
		JudgedMs: v.Judged.Milliseconds(), UntilMs: v.Until.Milliseconds(), Trials: v.Trials,
	})
}

// errVerdict means that a row isn't a verdict.
var errVerdict = errors.New("quarantine: not a verdict")

// UnmarshalJSON implements json.Unmarshaler.
func (v *Verdict) UnmarshalJSON(data []byte) error {
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("%w: %w", errVerdict, err)
	}
	d, err := ParseDigest(r.Digest)
	if err != nil {
		return err
	}
	if r.UntilMs <= 0 || r.Trials < 0 {
		return fmt.Errorf("%w: until %d, %d trials", errVerdict, r.UntilMs, r.Trials)
	}
	*v = Verdict{
		Digest: d, By: r.By, Events: r.Events, Upstreams: r.Upstreams,
		Judged: time.Duration(r.JudgedMs) * time.Millisecond, Until: time.Duration(r.UntilMs) * time.Millisecond,
		Trials: r.Trials,
	}
	return nil
}

// Entry is a verdict as a host knows it.
type Entry struct {
	Verdict
	// Revision is the verdict's row's in the store; 0 while it isn't known to be there.
	Revision storage.Revision
	// Lost says that the store had a row and may have lost it: it has none, or that of an
	// earlier verdict.
	Lost bool
	// Heard is when the host heard of it first, on the host's own clock.
	Heard time.Duration
}

// Unsaved says that the store has no row of the verdict, or that of an earlier one.
func (e *Entry) Unsaved() bool { return e.Revision == 0 || e.Lost }

// Register holds the verdicts that a host knows. It is safe for concurrent use.
type Register struct {
	mu      sync.RWMutex
	entries map[Digest]Entry
	// lifted are verdicts whose rows were removed, and until when another host's word of
	// them isn't taken: it may not have heard yet.
	lifted map[Digest]time.Duration
}

// liftedTerm is how long other hosts may tell a verdict that was lifted: longer than a
// verdict is told.
const liftedTerm = time.Minute

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{entries: make(map[Digest]Entry), lifted: make(map[Digest]time.Duration)}
}

// Get returns what is known of a request.
func (r *Register) Get(d Digest) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.entries[d]
	return e, ok
}

// Hear takes another host's or this host's own verdict. It reports whether it says
// something new.
func (r *Register) Hear(v Verdict, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, ok := r.lifted[v.Digest]; ok && now < until {
		return false
	}
	known, ok := r.entries[v.Digest]
	if ok && !v.after(known.Verdict) {
		return false
	}
	r.set(Entry{Verdict: v, Revision: known.Revision, Heard: now})
	return true
}

// Unsave takes in that the store may have lost all rows.
func (r *Register) Unsave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, e := range r.entries {
		e.Revision, e.Lost = 0, true
		r.entries[d] = e
	}
}

// Store takes the verdict's row. It reports whether the request wasn't known. A store that
// came back from a copy may have the row of an earlier verdict, which replaces no later one.
func (r *Register) Store(v Verdict, revision storage.Revision, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[v.Digest]
	if ok && revision <= known.Revision {
		return false
	}
	heard := now
	if ok {
		heard = known.Heard
	}
	if ok && known.Lost && known.after(v) {
		known.Revision = revision
		r.set(known)
		return false
	}
	delete(r.lifted, v.Digest)
	r.set(Entry{Verdict: v, Revision: revision, Heard: heard})
	return !ok
}

// set keeps an entry; beyond the bound the one that ends first goes. The lock is held.
func (r *Register) set(e Entry) {
	r.entries[e.Digest] = e
	if len(r.entries) <= MaxVerdicts {
		return
	}
	first := e
	for _, other := range r.entries {
		if other.Until < first.Until {
			first = other
		}
	}
	delete(r.entries, first.Digest)
}

// Lift takes in that the verdict's row was removed. It reports whether there was one.
func (r *Register) Lift(d Digest, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.lifted {
		if now >= until {
			delete(r.lifted, other)
		}
	}
	if _, ok := r.entries[d]; !ok {
		return false
	}
	delete(r.entries, d)
	r.lifted[d] = now + liftedTerm
	return true
}

// All lists what is known.
func (r *Register) All() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list
}

// Len is the number of verdicts.
func (r *Register) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}
