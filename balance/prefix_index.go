package balance

import (
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// DefaultIndexBlocks is the default maximum number of blocks per upstream;
	// a block takes about 130 bytes of the index.
	DefaultIndexBlocks = 4096
	// afterGapWeight is the weight of blocks last confirmed before a gap in
	// the upstream's events, because the missed events may include an eviction.
	afterGapWeight = 0.8
	// noEventsWeight is the weight of blocks of an upstream without events,
	// because the prompts sent by other hosts, and the evictions that they
	// caused, are unknown.
	noEventsWeight  = 0.35
	indexShardCount = 32
)

// CacheEvent is a change of an upstream's prefix cache. Events may arrive late
// and with gaps.
type CacheEvent struct {
	Upstream string
	// Seq increases by 1 with each event of an upstream.
	Seq uint64
	// At is the time of the change.
	At time.Time
	// Stored and Removed are block hashes as returned by PrefixHashes.
	Stored  []uint64
	Removed []uint64
	// Cleared reports whether the cache was emptied before Stored was added.
	Cleared bool
}

// PrefixIndex tracks which prompt blocks each upstream probably has in its
// cache: those that this host sent to it and those that its events report. The
// number of blocks per upstream is bounded. It is safe for concurrent use.
type PrefixIndex struct {
	maxBlocks int
	clock     storage.Clock
	shards    [indexShardCount]indexShard
}

type indexShard struct {
	mu        sync.Mutex
	upstreams map[string]*cachedBlocks
}

// cachedBlocks is the presumed content of one upstream's cache.
type cachedBlocks struct {
	blocks *simplelru.LRU[uint64, blockEntry]
	// nextSeq is the sequence number expected next. It is 0 before the first
	// event.
	nextSeq uint64
	// gaps counts the gaps in the sequence of events.
	gaps uint32
}

type blockEntry struct {
	// confirmedAt is when the block was last sent or reported as stored.
	confirmedAt time.Time
	// gaps is the value of cachedBlocks.gaps at confirmedAt.
	gaps uint32
}

// NewPrefixIndex returns an index of at most maxBlocks blocks per upstream; 0
// means DefaultIndexBlocks.
func NewPrefixIndex(maxBlocks int, clock storage.Clock) *PrefixIndex {
	if maxBlocks <= 0 {
		maxBlocks = DefaultIndexBlocks
	}
	p := &PrefixIndex{maxBlocks: maxBlocks, clock: clock}
	for i := range p.shards {
		p.shards[i].upstreams = make(map[string]*cachedBlocks)
	}
	return p
}

// RecordSent records that a prompt with these block hashes was sent to the upstream.
func (p *PrefixIndex) RecordSent(upstreamID string, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	now := p.clock()
	shard := p.shard(upstreamID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	p.ensureCached(shard, upstreamID).store(hashes, now)
}

// Apply applies an event. It doesn't change blocks that were confirmed after
// the time of the event.
func (p *PrefixIndex) Apply(event CacheEvent) {
	shard := p.shard(event.Upstream)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	cached := p.ensureCached(shard, event.Upstream)
	if !cached.acceptSeq(event.Seq) {
		return
	}
	if event.Cleared {
		cached.clear(event.At)
	}
	cached.remove(event.Removed, event.At)
	cached.store(event.Stored, event.At)
}

// Forget removes all blocks of an upstream.
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
	return &p.shards[rendezvous("", upstreamID)%indexShardCount]
}

// ensureCached returns the blocks of an upstream and creates an empty set if
// there is none. The caller holds the shard's lock.
func (p *PrefixIndex) ensureCached(shard *indexShard, upstreamID string) *cachedBlocks {
	cached := shard.upstreams[upstreamID]
	if cached != nil {
		return cached
	}
	lru, err := simplelru.NewLRU[uint64, blockEntry](p.maxBlocks, nil)
	if err != nil {
		panic(err) // maxBlocks is positive
	}
	cached = &cachedBlocks{blocks: lru}
	shard.upstreams[upstreamID] = cached
	return cached
}

// acceptSeq records the sequence number of an event and counts gaps in the
// sequence. It returns false for an outdated or repeated event.
func (c *cachedBlocks) acceptSeq(seq uint64) bool {
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

// store adds blocks from the last to the first, so that the LRU evicts the start
// of a prompt after its end.
func (c *cachedBlocks) store(hashes []uint64, at time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if entry, ok := c.blocks.Peek(hashes[i]); ok && entry.confirmedAt.After(at) {
			continue
		}
		c.blocks.Add(hashes[i], blockEntry{confirmedAt: at, gaps: c.gaps})
	}
}

func (c *cachedBlocks) remove(hashes []uint64, at time.Time) {
	for _, h := range hashes {
		if entry, ok := c.blocks.Peek(h); ok && !entry.confirmedAt.After(at) {
			c.blocks.Remove(h)
		}
	}
}

func (c *cachedBlocks) clear(at time.Time) {
	c.remove(c.blocks.Keys(), at)
}

// match returns the number of blocks in the longest cached prefix, multiplied by
// their weight. Because the LRU evicts the start of a prompt after its end, the
// blocks before a cached block are cached too, which allows a binary search.
func (c *cachedBlocks) match(hashes []uint64) float64 {
	matched := sort.Search(len(hashes), func(i int) bool { return !c.blocks.Contains(hashes[i]) })
	if matched == 0 {
		return 0
	}
	entry, _ := c.blocks.Peek(hashes[matched-1])
	switch {
	case c.nextSeq == 0:
		return noEventsWeight * float64(matched)
	case entry.gaps != c.gaps:
		return afterGapWeight * float64(matched)
	default:
		return float64(matched)
	}
}
