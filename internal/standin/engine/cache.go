package engine

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the size of a block of the prefix cache, in tokens. The tokens
// of a prompt are its words.
const blockTokens = 16

// retainedEvents is how many of the latest cache events are kept at least; at
// most twice as many are stored.
const retainedEvents = 4096

// cacheChange is the kind of a cache event.
type cacheChange string

const (
	// blockStored means that the block was added to the cache.
	blockStored cacheChange = "stored"
	// blockEvicted means that the block was removed from the cache.
	blockEvicted cacheChange = "evicted"
)

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	// Number increases by 1 with each event; a lost event leaves a gap.
	Number uint64      `json:"number"`
	Change cacheChange `json:"change"`
	// Block is the hash of the version and of the prompt up to the end of the
	// block.
	Block uint64 `json:"block"`
	// visibleAt is when the event becomes visible to readers.
	visibleAt time.Time
}

// cacheEvents is the response body of GET /cache-events?after=N.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	// Last is the number of the latest visible event.
	Last uint64 `json:"last"`
}

// prefixBlocks returns the hashes of the complete blocks of the prompt.
func prefixBlocks(modelVersion, prompt string) []uint64 {
	words := strings.Fields(prompt)
	blocks := make([]uint64, 0, len(words)/blockTokens)
	digest := xxhash.New()
	_, _ = digest.WriteString(modelVersion)
	for i, word := range words {
		_, _ = digest.WriteString("\n" + word)
		if (i+1)%blockTokens == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	return blocks
}

type prefixCache struct {
	eventLag          time.Duration
	eventLossInterval int

	mu              sync.Mutex
	blocks          *simplelru.LRU[uint64, struct{}]
	events          []cacheEvent
	lastEventNumber uint64
}

func newPrefixCache(opts Options) *prefixCache {
	c := &prefixCache{eventLag: opts.CacheEventLag, eventLossInterval: opts.CacheEventLossEvery}
	evicted := func(block uint64, _ struct{}) { c.recordEvent(blockEvicted, block) }
	blocks, err := simplelru.NewLRU(opts.CacheBlocks, evicted)
	if err != nil {
		panic(err) // only if CacheBlocks is negative; withDefaults replaces 0 alone
	}
	c.blocks = blocks
	return c
}

// lookupAndStore returns how many of the prompt's tokens are in the cache, and
// stores the blocks of the prompt that are missing.
func (c *prefixCache) lookupAndStore(modelVersion, prompt string) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for _, block := range prefixBlocks(modelVersion, prompt) {
		_, ok := c.blocks.Get(block)
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if !ok {
			c.blocks.Add(block, struct{}{})
			c.recordEvent(blockStored, block)
		}
	}
	return cached
}

// recordEvent appends an event, unless it is lost by the fault. The caller holds
// c.mu.
func (c *prefixCache) recordEvent(change cacheChange, block uint64) {
	c.lastEventNumber++
	if c.eventLossInterval > 0 && c.lastEventNumber%uint64(c.eventLossInterval) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.lastEventNumber, Change: change, Block: block, visibleAt: time.Now().Add(c.eventLag)})
	if len(c.events) > 2*retainedEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-retainedEvents:]...)
	}
}

// eventsAfter returns the visible events with numbers above n.
func (c *prefixCache) eventsAfter(n uint64) cacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := cacheEvents{Events: []cacheEvent{}}
	now := time.Now()
	for _, e := range c.events {
		if e.visibleAt.After(now) {
			break
		}
		out.Last = e.Number
		if e.Number > n {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
