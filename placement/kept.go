package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// keptParts bounds the parts that are remembered of one engine; an entry takes about
// 100 bytes. An engine's memory holds some hundred parts of thousands of tokens.
const keptParts = 512

// Kept remembers the prompts that one engine was sent, the latest of them.
type Kept struct {
	parts *simplelru.LRU[Key, struct{}]
}

// NewKept returns the memory of an engine that keeps nothing. It tells dropped, unless that
// is nil, of each run that is forgotten.
func NewKept(dropped func(Key)) *Kept {
	var evicted simplelru.EvictCallback[Key, struct{}]
	if dropped != nil {
		evicted = func(key Key, _ struct{}) { dropped(key) }
	}
	parts, err := simplelru.NewLRU(keptParts, evicted)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Kept{parts: parts}
}

// Add notes that the engine reads the parts.
func (k *Kept) Add(keys ...Key) {
	for _, key := range keys {
		k.parts.Add(key, struct{}{})
	}
}

// Remove notes that the engine didn't read the parts.
func (k *Kept) Remove(keys ...Key) {
	for _, key := range keys {
		k.parts.Remove(key)
	}
}

// Clear forgets all.
func (k *Kept) Clear() { k.parts.Purge() }

// Count is the number of leading parts that the engine keeps: those of the longest run
// that it was sent.
func (k *Kept) Count(keys []Key) int {
	for n := len(keys); n > 0; n-- {
		if k.parts.Contains(keys[n-1]) {
			return n
		}
	}
	return 0
}

// Key names a run of leading parts as read by a model, in few bytes: hosts tell each
// other keys. Two of some thousand runs have the same one time in a thousand, and then an
// engine is believed to keep what it doesn't.
type Key uint32

// Keys names the runs of the prompt's leading parts, the shortest first.
func Keys(model string, p *Prompt) []Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	list := make([]Key, len(p.Parts))
	for i, part := range p.Parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(part.ID)
		list[i] = Key(d.Sum64())
	}
	return list
}
