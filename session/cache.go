package session

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// cacheShards is the number of independently locked shards, a power of two.
const cacheShards = 16

// cachedBinding is a cached copy of a binding. readAt is the time at which the call of
// Bind or Rebind that cached the binding started.
type cachedBinding struct {
	record record
	// durable is true if the binding was read from or written to its row.
	durable bool
	readAt  time.Time
}

// cache is a sharded LRU cache of bindings by row key. Each shard has its own
// lock.
type cache struct {
	shards [cacheShards]*lru.Cache[string, cachedBinding]
}

func newCache(size int) *cache {
	c := new(cache)
	perShard := max(1, size/cacheShards)
	for i := range c.shards {
		// New fails only for sizes below 1.
		c.shards[i], _ = lru.New[string, cachedBinding](perShard)
	}
	return c
}

func (c *cache) shard(key string) *lru.Cache[string, cachedBinding] {
	return c.shards[xxhash.Sum64String(key)%cacheShards]
}

func (c *cache) get(key string) (cachedBinding, bool) {
	return c.shard(key).Get(key)
}

func (c *cache) put(key string, cached cachedBinding) {
	c.shard(key).Add(key, cached)
}

func (c *cache) evictVersion(model, version string) {
	for _, s := range c.shards {
		for _, key := range s.Keys() {
			cached, ok := s.Peek(key)
			if ok && cached.record.Model == model && cached.record.Version == version {
				s.Remove(key)
			}
		}
	}
}
