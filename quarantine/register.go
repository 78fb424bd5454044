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
	// initialTerm is the initial duration of a verdict. Upstreams may be fixed in that time. One
	// host then sends the request once more, as a trial.
	initialTerm = 10 * time.Minute
	// The term is multiplied by termFactor after each trial that terminated an upstream, up to
	// maxTerm; three trials take more than seven hours.
	termFactor = 6
	maxTerm    = 24 * time.Hour
	// trialTimeout is the time after the start of a trial until another host may claim the next
	// one. It is longer than any request takes, since the time limits of routes are below half a
	// minute.
	trialTimeout = time.Minute
	// unusedRetention is how long an expired verdict is kept if the request isn't received.
	unusedRetention = 7 * 24 * time.Hour
	// MaxVerdicts bounds the number of stored verdicts. Each verdict requires the termination of
	// three upstreams.
	MaxVerdicts = 1000
)

// Verdict keeps a request away from upstreams until the verdict expires.
type Verdict struct {
	Digest Digest
	// MadeBy is the host that made the verdict. Events and Upstreams are the evidence, as in
	// Finding.
	MadeBy    string
	Events    int
	Upstreams int
	// MadeAt and ExpiresAt are when the verdict was made and when it expires. Both are readings
	// of the clock whose time callers pass to NewVerdict and to the methods of Verdict. It is
	// the same clock at all hosts.
	MadeAt    time.Duration
	ExpiresAt time.Duration
	// TrialCount is the number of trials so far: sends of the request after the verdict expired.
	TrialCount int
}

// NewVerdict returns the first verdict on a request.
func NewVerdict(f Finding, by string, now time.Duration) Verdict {
	return Verdict{
		Digest: f.Digest, MadeBy: by, Events: f.Events, Upstreams: f.Upstreams,
		MadeAt: now, ExpiresAt: now + initialTerm,
	}
}

// ForTrial returns the verdict that is in force during a trial. It applies to all hosts but the
// one that sends the request as the trial.
func (v Verdict) ForTrial(now time.Duration) Verdict {
	v.TrialCount++
	v.ExpiresAt = now + trialTimeout
	return v
}

// Renewed returns the verdict after a trial that terminated an upstream.
func (v Verdict) Renewed(now time.Duration) Verdict {
	term := initialTerm
	for range v.TrialCount {
		term = min(termFactor*term, maxTerm)
	}
	v.ExpiresAt = now + term
	return v
}

// InForce reports whether the verdict is in force at the given time.
func (v Verdict) InForce(now time.Duration) bool { return now < v.ExpiresAt }

// Unused reports whether the verdict expired more than unusedRetention ago. There was no trial
// since, so the request wasn't received in that time.
func (v Verdict) Unused(now time.Duration) bool { return now-v.ExpiresAt > unusedRetention }

// supersedes reports whether the verdict is later than another one on the same request.
func (v Verdict) supersedes(other Verdict) bool {
	if v.TrialCount != other.TrialCount {
		return v.TrialCount > other.TrialCount
	}
	return v.ExpiresAt > other.ExpiresAt
}

// verdictRow is the stored form of a verdict, which operators read.
type verdictRow struct {
	Digest    string `json:"digest"`
	By        string `json:"by"`
	Events    int    `json:"events"`
	Upstreams int    `json:"upstreams"`
	MadeAtMs  int64  `json:"judged_ms"`
	UntilMs   int64  `json:"until_ms"`
	Trials    int    `json:"trials"`
}

// MarshalJSON implements json.Marshaler.
func (v Verdict) MarshalJSON() ([]byte, error) {
	return json.Marshal(verdictRow{
		Digest: v.Digest.String(), By: v.MadeBy, Events: v.Events, Upstreams: v.Upstreams,
		MadeAtMs: v.MadeAt.Milliseconds(), UntilMs: v.ExpiresAt.Milliseconds(), Trials: v.TrialCount,
	})
}

// errInvalidVerdict means that a row isn't a verdict.
var errInvalidVerdict = errors.New("quarantine: not a verdict")

// UnmarshalJSON implements json.Unmarshaler.
func (v *Verdict) UnmarshalJSON(data []byte) error {
	var r verdictRow
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("%w: %w", errInvalidVerdict, err)
	}
	d, err := ParseDigest(r.Digest)
	if err != nil {
		return err
	}
	if r.UntilMs <= 0 || r.Trials < 0 {
		return fmt.Errorf("%w: until %d, %d trials", errInvalidVerdict, r.UntilMs, r.Trials)
	}
	*v = Verdict{
		Digest: d, MadeBy: r.By, Events: r.Events, Upstreams: r.Upstreams,
		MadeAt: time.Duration(r.MadeAtMs) * time.Millisecond, ExpiresAt: time.Duration(r.UntilMs) * time.Millisecond,
		TrialCount: r.Trials,
	}
	return nil
}

// Entry is a verdict in a host's register.
type Entry struct {
	Verdict
	// Revision is the revision of the verdict's row in the store; 0 if the row isn't known to
	// exist.
	Revision storage.Revision
	// RowMayBeLost says that the store had the verdict's row and may have lost it in a restore
	// from a backup: it then has no row, or that of an earlier verdict.
	RowMayBeLost bool
	// ReceivedAt is when the host made or first received the verdict, on the host's own clock.
	ReceivedAt time.Duration
}

// Unsaved reports whether the store may have no row of the verdict, or the row of an earlier
// verdict.
func (e *Entry) Unsaved() bool { return e.Revision == 0 || e.RowMayBeLost }

// Register holds the verdicts that a host has received. It is safe for concurrent use.
type Register struct {
	mu      sync.RWMutex
	entries map[Digest]Entry
	// withdrawn holds the requests whose verdict was withdrawn, with the time until which
	// verdicts on them from other hosts are ignored: those hosts may not have received the
	// withdrawal yet.
	withdrawn map[Digest]time.Duration
}

// withdrawnRetention is how long a withdrawn verdict may still arrive from other hosts. It
// exceeds the time for which hosts send a verdict.
const withdrawnRetention = time.Minute

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{entries: make(map[Digest]Entry), withdrawn: make(map[Digest]time.Duration)}
}

// Get returns the entry of a request.
func (r *Register) Get(d Digest) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.entries[d]
	return e, ok
}

// Add adds a verdict that this host made or received from another one. It reports whether the
// verdict is new.
func (r *Register) Add(v Verdict, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, ok := r.withdrawn[v.Digest]; ok && now < until {
		return false
	}
	known, ok := r.entries[v.Digest]
	if ok && !v.supersedes(known.Verdict) {
		return false
	}
	r.set(Entry{Verdict: v, Revision: known.Revision, ReceivedAt: now})
	return true
}

// MarkUnsaved marks all rows as possibly lost, after the store may have lost them.
func (r *Register) MarkUnsaved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, e := range r.entries {
		e.Revision, e.RowMayBeLost = 0, true
		r.entries[d] = e
	}
}

// ApplyRow applies the verdict's row from the store. It reports whether the request had no
// entry. A store restored from a backup may have the row of an earlier verdict, which doesn't
// replace a later one.
func (r *Register) ApplyRow(v Verdict, revision storage.Revision, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[v.Digest]
	if ok && revision <= known.Revision {
		return false
	}
	receivedAt := now
	if ok {
		receivedAt = known.ReceivedAt
	}
	if ok && known.RowMayBeLost && known.supersedes(v) {
		known.Revision = revision
		r.set(known)
		return false
	}
	delete(r.withdrawn, v.Digest)
	r.set(Entry{Verdict: v, Revision: revision, ReceivedAt: receivedAt})
	return !ok
}

// set stores an entry; if there are more than MaxVerdicts, it removes the one that expires
// first. The lock must be held.
func (r *Register) set(e Entry) {
	r.entries[e.Digest] = e
	if len(r.entries) <= MaxVerdicts {
		return
	}
	first := e
	for _, other := range r.entries {
		if other.ExpiresAt < first.ExpiresAt {
			first = other
		}
	}
	delete(r.entries, first.Digest)
}

// Withdraw removes the verdict, after its row was removed from the store. It reports whether
// there was one.
func (r *Register) Withdraw(d Digest, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.withdrawn {
		if now >= until {
			delete(r.withdrawn, other)
		}
	}
	if _, ok := r.entries[d]; !ok {
		return false
	}
	delete(r.entries, d)
	r.withdrawn[d] = now + withdrawnRetention
	return true
}

// All returns all entries.
func (r *Register) All() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list
}

// Len returns the number of verdicts.
func (r *Register) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}
