package engine

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the size of a block of the prefix cache. A prompt's tokens
// are its words.
const blockTokens = 16

// keptEvents bounds the cache events that can be asked for.
const keptEvents = 4096

// cacheChange says what happened to a block.
type cacheChange string

const (
	// blockStored means that the block came into the cache.
	blockStored cacheChange = "stored"
	// blockEvicted means that it was dropped.
	blockEvicted cacheChange = "evicted"
)

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	// Number rises by 1 with each event; a lost event leaves a gap.
	Number uint64      `json:"number"`
	Change cacheChange `json:"change"`
	// Block is the hash of the version and the prompt up to the block's end.
	Block uint64 `json:"block"`
	// at is when the event becomes visible.
	at time.Time
}

// cacheEvents is the answer of GET /cache-events?after=N.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
	// Last is the number of the newest visible event.
	Last uint64 `json:"last"`
}

// prefixBlocks returns the hashes of the whole blocks of the prompt.
func prefixBlocks(versioned, prompt string) []uint64 {
	words := strings.Fields(prompt)
	blocks := make([]uint64, 0, len(words)/blockTokens)
	digest := xxhash.New()
	_, _ = digest.WriteString(versioned)
	for i, word := range words {
		_, _ = digest.WriteString("\n" + word)
		if (i+1)%blockTokens == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	return blocks
}

type prefixCache struct {
	lag  time.Duration
	loss int

	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, struct{}]
	events []cacheEvent
	number uint64
}

func newPrefixCache(opts Options) *prefixCache {
	c := &prefixCache{lag: opts.CacheEventLag, loss: opts.CacheEventLoss}
	evicted := func(block uint64, _ struct{}) { c.note(blockEvicted, block) }
	blocks, err := simplelru.NewLRU(opts.CacheBlocks, evicted)
	if err != nil {
		panic(err) // only for a size below 1, which withDefaults leaves to the caller
	}
	c.blocks = blocks
	return c
}

// use takes a prompt through the cache and returns how many of its tokens
// were there.
func (c *prefixCache) use(versioned, prompt string) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for _, block := range prefixBlocks(versioned, prompt) {
		_, ok := c.blocks.Get(block)
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if !ok {
			c.blocks.Add(block, struct{}{})
			c.note(blockStored, block)
		}
	}
	return cached
}

// note adds an event; c.mu is held.
func (c *prefixCache) note(change cacheChange, block uint64) {
	c.number++
	if c.loss > 0 && c.number%uint64(c.loss) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.number, Change: change, Block: block, at: time.Now().Add(c.lag)})
	if len(c.events) > 2*keptEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-keptEvents:]...)
	}
}

// after returns the visible events with numbers above n.
func (c *prefixCache) after(n uint64) cacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := cacheEvents{Events: []cacheEvent{}}
	now := time.Now()
	for _, e := range c.events {
		if e.at.After(now) {
			break
		}
		out.Last = e.Number
		if e.Number > n {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
