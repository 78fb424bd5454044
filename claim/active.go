package claim

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// activeShards is the number of locks that the active claims are spread over.
const activeShards = 16

// entry is an active claim of this process: from before its row is written
// until its outcome is in the table.
type entry struct {
	// record is the row as claimed; it doesn't change.
	record record
	// outcome is the record waiting to be written, nil before the outcome is
	// known. It is guarded by the lock of the entry's shard.
	outcome *record
}

// active is the set of this process's active claims. It answers repeats that
// arrive at the same host without the table.
type active struct {
	shards [activeShards]activeShard
}

type activeShard struct {
	mu      sync.Mutex
	entries map[Key]*entry
}

func newActive() *active {
	a := &active{}
	for i := range a.shards {
		a.shards[i].entries = make(map[Key]*entry)
	}
	return a
}

func (a *active) shard(key Key) *activeShard {
	var hash xxhash.Digest
	_, _ = hash.WriteString(key.Account)
	_, _ = hash.WriteString(key.RequestKey)
	return &a.shards[hash.Sum64()%activeShards]
}

// add registers e unless its key is active. In that case it returns a copy of
// the other entry and false.
func (a *active) add(e *entry) (other entry, added bool) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.entries[e.record.Key]; ok {
		return *found, false
	}
	s.entries[e.record.Key] = e
	return entry{}, true
}

// remove ends e. Only e's own registration is removed.
func (a *active) remove(e *entry) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.record.Key] == e {
		delete(s.entries, e.record.Key)
	}
}

// setOutcome gives e its outcome and reports false if it has one already.
func (a *active) setOutcome(e *entry, outcome record) bool {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.outcome != nil {
		return false
	}
	e.outcome = &outcome
	return true
}

// replaceOutcome changes an outcome that was set before.
func (a *active) replaceOutcome(e *entry, outcome record) {
	s := a.shard(e.record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.outcome = &outcome
}

// owns reports whether the token is that of an active claim.
func (a *active) owns(key Key, token string) bool {
	s := a.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.entries[key]
	return ok && found.record.Token == token
}
