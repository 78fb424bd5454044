package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MaxCachedPrefixes is the maximum number of cached prefixes that a host tracks for all engines
// of a service together. It bounds the memory of the host independently of the number of
// engines: a tracked prefix of one engine takes about 170 bytes.
const MaxCachedPrefixes = 1 << 15

// CacheTracker tracks which prompt prefixes each engine probably has in its cache: the prefixes
// most recently sent to it. E identifies an engine.
type CacheTracker[E comparable] struct {
	lru *simplelru.LRU[cachedPrefix[E], struct{}]
	// enginesByKey holds the engines that cache a prefix, and keysByEngine the prefixes that
	// an engine caches.
	enginesByKey map[PrefixKey][]E
	keysByEngine map[E][]PrefixKey
}

// cachedPrefix is a prompt prefix in the cache of an engine.
type cachedPrefix[E comparable] struct {
	engine E
	key    PrefixKey
}

// NewCacheTracker returns a tracker of at most capacity prefixes, counted once for each engine
// that caches them. The capacity must be positive.
func NewCacheTracker[E comparable](capacity int) *CacheTracker[E] {
	c := &CacheTracker[E]{enginesByKey: make(map[PrefixKey][]E), keysByEngine: make(map[E][]PrefixKey)}
	lru, err := simplelru.NewLRU(capacity, func(p cachedPrefix[E], _ struct{}) { c.removeFromIndexes(p) })
	if err != nil {
		panic(err) // the capacity is positive
	}
	c.lru = lru
	return c
}

// removeFromIndexes removes an evicted prefix from both indexes.
func (c *CacheTracker[E]) removeFromIndexes(p cachedPrefix[E]) {
	if c.enginesByKey[p.key] = removeElement(c.enginesByKey[p.key], p.engine); len(c.enginesByKey[p.key]) == 0 {
		delete(c.enginesByKey, p.key)
	}
	if c.keysByEngine[p.engine] = removeElement(c.keysByEngine[p.engine], p.key); len(c.keysByEngine[p.engine]) == 0 {
		delete(c.keysByEngine, p.engine)
	}
}

// removeElement removes the element from the list without preserving the order.
func removeElement[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		list[i] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	return list
}

// Add records that the engine prefills the prefixes.
func (c *CacheTracker[E]) Add(engine E, keys ...PrefixKey) {
	for _, key := range keys {
		p := cachedPrefix[E]{engine, key}
		if !c.lru.Contains(p) {
			c.enginesByKey[key] = append(c.enginesByKey[key], engine)
			c.keysByEngine[engine] = append(c.keysByEngine[engine], key)
		}
		c.lru.Add(p, struct{}{})
	}
}

// Remove records that the engine didn't prefill the prefixes.
func (c *CacheTracker[E]) Remove(engine E, keys ...PrefixKey) {
	for _, key := range keys {
		c.lru.Remove(cachedPrefix[E]{engine, key})
	}
}

// RemoveEngine removes all prefixes of an engine.
func (c *CacheTracker[E]) RemoveEngine(engine E) {
	c.Remove(engine, slices.Clone(c.keysByEngine[engine])...)
}

// Engines returns the engines that cache the prefix. The list is valid until the next change.
func (c *CacheTracker[E]) Engines(key PrefixKey) []E { return c.enginesByKey[key] }

// Len returns the number of tracked prefixes.
func (c *CacheTracker[E]) Len() int { return c.lru.Len() }

// CachedParts returns how many leading parts of a prompt the engine caches: the number of parts
// of the longest tracked prefix. The keys are those that PrefixKeys returned for the prompt.
func (c *CacheTracker[E]) CachedParts(engine E, keys []PrefixKey) int {
	for n := len(keys); n > 0; n-- {
		if c.lru.Contains(cachedPrefix[E]{engine, keys[n-1]}) {
			return n
		}
	}
	return 0
}

// PrefixKey identifies a prompt prefix, a sequence of leading parts, for one model. It is short
// because hosts send keys to each other. Among a few thousand prefixes, some two have the same
// key with a probability of about one in a thousand; an engine then counts as caching a prefix
// that it doesn't cache.
type PrefixKey uint32

// PrefixKeys returns the keys of all prefixes of the prompt, the shortest first.
func PrefixKeys(model string, p *Prompt) []PrefixKey {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	list := make([]PrefixKey, len(p.Parts))
	for i, part := range p.Parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(part.ID)
		list[i] = PrefixKey(d.Sum64())
	}
	return list
}
