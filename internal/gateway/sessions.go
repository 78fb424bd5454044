package gateway

import (
	"sync"
	"time"
)

const sessionShards = 16

// sessions remembers the version that each session of a service ran on last.
type sessions struct {
	ttl    time.Duration
	shards [sessionShards]sessionShard
}

type sessionShard struct {
	mu    sync.Mutex
	bound map[sessionID]sessionBinding
	swept time.Time
}

type sessionID struct {
	service string
	session string
}

type sessionBinding struct {
	version string
	at      time.Time
}

func newSessions(ttl time.Duration) *sessions {
	s := &sessions{ttl: ttl}
	for i := range s.shards {
		s.shards[i].bound = make(map[sessionID]sessionBinding)
	}
	return s
}

func (s *sessions) shard(id sessionID) *sessionShard {
	return &s.shards[hash(id.service, id.session)%sessionShards]
}

// version returns the version that the session ran on within the last ttl.
func (s *sessions) version(service, session string) (string, bool) {
	id := sessionID{service, session}
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b, ok := shard.bound[id]
	if !ok || time.Since(b.at) > s.ttl {
		return "", false
	}
	return b.version, true
}

// bind notes that the session runs on the version now.
func (s *sessions) bind(service, session, version string) {
	id := sessionID{service, session}
	shard := s.shard(id)
	now := time.Now()
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.bound[id] = sessionBinding{version: version, at: now}
	if now.Sub(shard.swept) > s.ttl {
		shard.swept = now
		for id, b := range shard.bound {
			if now.Sub(b.at) > s.ttl {
				delete(shard.bound, id)
			}
		}
	}
}
