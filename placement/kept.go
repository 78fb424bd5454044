package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MaxCachedPrefixes is the maximum number of cached prefixes tracked for all engines of a service
// together. It bounds the memory of a host independently of the number of engines: an entry
// takes about 170 bytes.
const MaxCachedPrefixes = 1 << 15

// CacheTracker tracks which prompt prefixes each engine probably has in its cache: the prefixes most
// recently sent to it. E identifies an engine.
type CacheTracker[E comparable] struct {
	lru *simplelru.LRU[cachedPrefix[E], struct{}]
	// enginesByKey lists the engines that cache a prefix, keysByEngine the prefixes that an
	// engine caches.
	enginesByKey map[PrefixKey][]E
	keysByEngine map[E][]PrefixKey
}

// cachedPrefix is a prompt prefix in the cache of an engine.
type cachedPrefix[E comparable] struct {
	engine E
	key    PrefixKey
}

// NewCacheTracker returns a tracker of at most capacity prefixes. The capacity must be positive.
func NewCacheTracker[E comparable](capacity int) *CacheTracker[E] {
	k := &CacheTracker[E]{enginesByKey: make(map[PrefixKey][]E), keysByEngine: make(map[E][]PrefixKey)}
	lru, err := simplelru.NewLRU(capacity, func(p cachedPrefix[E], _ struct{}) { k.removeFromIndexes(p) })
	if err != nil {
		panic(err) // the size is positive
	}
	k.lru = lru
	return k
}

// removeFromIndexes removes an evicted prefix from both indexes.
func (k *CacheTracker[E]) removeFromIndexes(p cachedPrefix[E]) {
	if k.enginesByKey[p.key] = removeElement(k.enginesByKey[p.key], p.engine); len(k.enginesByKey[p.key]) == 0 {
		delete(k.enginesByKey, p.key)
	}
	if k.keysByEngine[p.engine] = removeElement(k.keysByEngine[p.engine], p.key); len(k.keysByEngine[p.engine]) == 0 {
		delete(k.keysByEngine, p.engine)
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
func (k *CacheTracker[E]) Add(engine E, keys ...PrefixKey) {
	for _, key := range keys {
		p := cachedPrefix[E]{engine, key}
		if !k.lru.Contains(p) {
			k.enginesByKey[key] = append(k.enginesByKey[key], engine)
			k.keysByEngine[engine] = append(k.keysByEngine[engine], key)
		}
		k.lru.Add(p, struct{}{})
	}
}

// Remove records that the engine didn't prefill the prefixes.
func (k *CacheTracker[E]) Remove(engine E, keys ...PrefixKey) {
	for _, key := range keys {
		k.lru.Remove(cachedPrefix[E]{engine, key})
	}
}

// RemoveEngine removes all prefixes of an engine.
func (k *CacheTracker[E]) RemoveEngine(engine E) {
	k.Remove(engine, slices.Clone(k.keysByEngine[engine])...)
}

// Engines returns the engines that cache the prefix. The list is valid until the next change.
func (k *CacheTracker[E]) Engines(key PrefixKey) []E { return k.enginesByKey[key] }

// Len returns the number of tracked prefixes.
func (k *CacheTracker[E]) Len() int { return k.lru.Len() }

// CachedParts returns the number of leading parts that the engine caches: the parts of the longest
// tracked prefix among keys.
func (k *CacheTracker[E]) CachedParts(engine E, keys []PrefixKey) int {
	for n := len(keys); n > 0; n-- {
		if k.lru.Contains(cachedPrefix[E]{engine, keys[n-1]}) {
			return n
		}
	}
	return 0
}

// PrefixKey identifies a prompt prefix, a sequence of leading parts, for one model. It is short
// because hosts send keys to each other. Among some thousand prefixes, two collide with a
// probability of about one in a thousand; an engine then counts as caching a prefix that it
// doesn't cache.
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
