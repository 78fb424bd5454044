package claim

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// activeShards is the number of independently locked shards of the active
// claims.
const activeShards = 16

// activeClaim is a claim of this process. It is active from before its row is
// written until its outcome is in the table.
type activeClaim struct {
	// record is the row value of the claim; it is immutable.
	record record
	// outcome is the record to be written; nil until the outcome is known. It
	// is guarded by the lock of the claim's shard.
	outcome *record
}

// activeClaims is the set of active claims of this process. Duplicates that
// arrive at the same host are answered from it, without a table call.
type activeClaims struct {
	shards [activeShards]activeShard
}

type activeShard struct {
	mu      sync.Mutex
	entries map[Key]*activeClaim
}

func newActiveClaims() *activeClaims {
	a := &activeClaims{}
	for i := range a.shards {
		a.shards[i].entries = make(map[Key]*activeClaim)
	}
	return a
}

func (a *activeClaims) shard(key Key) *activeShard {
	var hash xxhash.Digest
	_, _ = hash.WriteString(key.Account)
	_, _ = hash.WriteString(key.RequestKey)
	return &a.shards[hash.Sum64()%activeShards]
}

// add adds e to the set. If its key is already active, add returns a copy of the
// other claim and false instead.
func (a *activeClaims) add(e *activeClaim) (other activeClaim, added bool) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.entries[e.record.Key]; ok {
		return *found, false
	}
	s.entries[e.record.Key] = e
	return activeClaim{}, true
}

// remove removes e from the set. It doesn't remove another claim of the same key.
func (a *activeClaims) remove(e *activeClaim) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.record.Key] == e {
		delete(s.entries, e.record.Key)
	}
}

// setOutcome sets the outcome of e. It returns false if e already has one.
func (a *activeClaims) setOutcome(e *activeClaim, outcome record) bool {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.outcome != nil {
		return false
	}
	e.outcome = &outcome
	return true
}

// replaceOutcome replaces an outcome that was set by setOutcome.
func (a *activeClaims) replaceOutcome(e *activeClaim, outcome record) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.outcome = &outcome
}

// hasToken reports whether the active claim of the key has the token.
func (a *activeClaims) hasToken(key Key, token string) bool {
	s := a.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.entries[key]
	return ok && found.record.Token == token
}
