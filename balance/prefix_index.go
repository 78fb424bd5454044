package balance

import (
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// DefaultIndexBlocks is how many blocks the index keeps an upstream by
	// default; an entry takes about 130 bytes.
	DefaultIndexBlocks = 4096
	// doubtfulWeight is the weight of blocks last confirmed before a gap in
	// the upstream's events: an eviction may have been missed.
	doubtfulWeight = 0.8
	// partialWeight is the weight of blocks of an upstream without events:
	// what other hosts sent there isn't known.
	partialWeight = 0.35
	indexShards   = 32
)

// CacheEvent is a change of an upstream's prefix cache. Events come late and
// with gaps.
type CacheEvent struct {
	Upstream string
	// Seq rises by 1 from event to event of one upstream.
	Seq uint64
	// At is when the change took place.
	At time.Time
	// Stored and Removed are hashes as PrefixHashes makes them.
	Stored  []uint64
	Removed []uint64
	// Cleared says that the cache was emptied before Stored was added.
	Cleared bool
}

// PrefixIndex remembers which prompt blocks each upstream has probably in its
// cache: those that this host sent there and those that events name. It is
// bounded for each upstream and safe for concurrent use.
type PrefixIndex struct {
	blocks int
	clock  storage.Clock
	shards [indexShards]indexShard
}

type indexShard struct {
	mu        sync.Mutex
	upstreams map[string]*cachedBlocks
}

// cachedBlocks is the presumed cache of one upstream.
type cachedBlocks struct {
	blocks *simplelru.LRU[uint64, blockEntry]
	// nextSeq is the sequence number expected next; 0 before the first event.
	nextSeq uint64
	// gaps counts the gaps seen in the events.
	gaps uint32
}

type blockEntry struct {
	// touched is when the block was last known to be in the cache.
	touched time.Time
	// gaps is the upstream's count of gaps at that time.
	gaps uint32
}

// NewPrefixIndex returns an index of at most blocks entries an upstream; 0
// means DefaultIndexBlocks.
func NewPrefixIndex(blocks int, clock storage.Clock) *PrefixIndex {
	if blocks <= 0 {
		blocks = DefaultIndexBlocks
	}
	p := &PrefixIndex{blocks: blocks, clock: clock}
	for i := range p.shards {
		p.shards[i].upstreams = make(map[string]*cachedBlocks)
	}
	return p
}

// Sent records that a prompt with these blocks was sent to the upstream.
func (p *PrefixIndex) Sent(upstreamID string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	now := p.clock()
	shard := p.shard(upstreamID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	p.cached(shard, upstreamID).store(hashes, now)
}

// Apply takes in an event. An event about a block that was touched after the
// event took place doesn't change that block.
func (p *PrefixIndex) Apply(event CacheEvent) {
	shard := p.shard(event.Upstream)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	cached := p.cached(shard, event.Upstream)
	if !cached.advance(event.Seq) {
		return
	}
	if event.Cleared {
		cached.clear(event.At)
	}
	cached.remove(event.Removed, event.At)
	cached.store(event.Stored, event.At)
}

// Forget drops what is known of an upstream.
func (p *PrefixIndex) Forget(upstreamID string) {
	shard := p.shard(upstreamID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.upstreams, upstreamID)
}

// Match implements PrefixMatcher.
func (p *PrefixIndex) Match(upstreamID string, hashes []uint64) float64 {
	shard := p.shard(upstreamID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	cached := shard.upstreams[upstreamID]
	if cached == nil || len(hashes) == 0 {
		return 0
	}
	return cached.match(hashes)
}

func (p *PrefixIndex) shard(upstreamID string) *indexShard {
	return &p.shards[rendezvous("", upstreamID)%indexShards]
}

// cached returns the upstream's entry, made if needed. The shard is locked.
func (p *PrefixIndex) cached(shard *indexShard, upstreamID string) *cachedBlocks {
	cached := shard.upstreams[upstreamID]
	if cached != nil {
		return cached
	}
	lru, err := simplelru.NewLRU[uint64, blockEntry](p.blocks, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	cached = &cachedBlocks{blocks: lru}
	shard.upstreams[upstreamID] = cached
	return cached
}

// advance accepts an event's number. It returns false for one seen before.
func (c *cachedBlocks) advance(seq uint64) bool {
	switch {
	case c.nextSeq == 0 || seq == c.nextSeq:
	case seq < c.nextSeq:
		return false
	default:
		c.gaps++
	}
	c.nextSeq = seq + 1
	return true
}

// store adds blocks from the last to the first, so that the start of a prompt
// is evicted after its end.
func (c *cachedBlocks) store(hashes []uint64, at time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if entry, ok := c.blocks.Peek(hashes[i]); ok && entry.touched.After(at) {
			continue
		}
		c.blocks.Add(hashes[i], blockEntry{touched: at, gaps: c.gaps})
	}
}

func (c *cachedBlocks) remove(hashes []uint64, at time.Time) {
	for _, h := range hashes {
		if entry, ok := c.blocks.Peek(h); ok && !entry.touched.After(at) {
			c.blocks.Remove(h)
		}
	}
}

func (c *cachedBlocks) clear(at time.Time) {
	c.remove(c.blocks.Keys(), at)
}

// match finds the longest known prefix. Blocks are stored and evicted so that
// a known block implies its predecessors, which allows a binary search.
func (c *cachedBlocks) match(hashes []uint64) float64 {
	known := sort.Search(len(hashes), func(i int) bool { return !c.blocks.Contains(hashes[i]) })
	if known == 0 {
		return 0
	}
	entry, _ := c.blocks.Peek(hashes[known-1])
	switch {
	case c.nextSeq == 0:
		return partialWeight * float64(known)
	case entry.gaps != c.gaps:
		return doubtfulWeight * float64(known)
	default:
		return float64(known)
	}
}
