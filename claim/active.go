package claim

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// activeShards is the number of independently locked shards of the active
// claims.
const activeShards = 16

// activeClaim is a claim of this process whose outcome isn't in the table yet. It is
// created before the claim's row is written.
type activeClaim struct {
	// record is the row value of the claim; it is immutable.
	record record
	// outcome is the record that replaces the row. It is nil until the outcome of
	// the request is known. It is guarded by the lock of the claim's shard.
	outcome *record
}

// activeClaims is the set of active claims of this process. Duplicates that
// arrive at the same host are answered from it, without a table call.
type activeClaims struct {
	shards [activeShards]activeShard
}

type activeShard struct {
	mu     sync.Mutex
	claims map[Key]*activeClaim
}

func newActiveClaims() *activeClaims {
	a := &activeClaims{}
	for i := range a.shards {
		a.shards[i].claims = make(map[Key]*activeClaim)
	}
	return a
}

func (a *activeClaims) shard(key Key) *activeShard {
	var hash xxhash.Digest
	_, _ = hash.WriteString(key.Account)
	_, _ = hash.WriteString(key.RequestKey)
	return &a.shards[hash.Sum64()%activeShards]
}

// add adds c to the set. If its key is already active, add returns a copy of the
// other claim and false instead.
func (a *activeClaims) add(c *activeClaim) (other activeClaim, added bool) {
	s := a.shard(c.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.claims[c.record.Key]; ok {
		return *found, false
	}
	s.claims[c.record.Key] = c
	return activeClaim{}, true
}

// remove removes c from the set, but not another claim of the same key.
func (a *activeClaims) remove(c *activeClaim) {
	s := a.shard(c.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[c.record.Key] == c {
		delete(s.claims, c.record.Key)
	}
}

// setOutcome sets the outcome of c. It returns false if c already has an outcome.
func (a *activeClaims) setOutcome(c *activeClaim, outcome record) bool {
	s := a.shard(c.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.outcome != nil {
		return false
	}
	c.outcome = &outcome
	return true
}

// replaceOutcome replaces an outcome that was set by setOutcome.
func (a *activeClaims) replaceOutcome(c *activeClaim, outcome record) {
	s := a.shard(c.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.outcome = &outcome
}

// hasToken reports whether the active claim of the key has the token.
func (a *activeClaims) hasToken(key Key, token string) bool {
	s := a.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.claims[key]
	return ok && found.record.Token == token
}
