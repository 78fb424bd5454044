package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MaxKept bounds the parts that are remembered of all engines of a service together, and with
// that a host's memory, whatever number of engines there is: a part takes about 170 bytes.
const MaxKept = 1 << 15

// Kept remembers the prompts that engines were sent, the latest of them. E stands for an engine.
type Kept[E comparable] struct {
	parts *simplelru.LRU[part[E], struct{}]
	// holders are the engines that keep a run, runs what an engine keeps.
	holders map[Key][]E
	runs    map[E][]Key
}

// part is a run that an engine keeps.
type part[E comparable] struct {
	engine E
	key    Key
}

// NewKept returns a memory of most parts at most, which is above 0.
func NewKept[E comparable](most int) *Kept[E] {
	k := &Kept[E]{holders: make(map[Key][]E), runs: make(map[E][]Key)}
	parts, err := simplelru.NewLRU(most, func(p part[E], _ struct{}) { k.forget(p) })
	if err != nil {
		panic(err) // the size is positive
	}
	k.parts = parts
	return k
}

// forget takes a part out of what parts are found by.
func (k *Kept[E]) forget(p part[E]) {
	if k.holders[p.key] = remove(k.holders[p.key], p.engine); len(k.holders[p.key]) == 0 {
		delete(k.holders, p.key)
	}
	if k.runs[p.engine] = remove(k.runs[p.engine], p.key); len(k.runs[p.engine]) == 0 {
		delete(k.runs, p.engine)
	}
}

// remove takes the element out of the list, whose order doesn't matter.
func remove[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		list[i] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	return list
}

// Add notes that the engine reads the parts.
func (k *Kept[E]) Add(engine E, keys ...Key) {
	for _, key := range keys {
		p := part[E]{engine, key}
		if !k.parts.Contains(p) {
			k.holders[key] = append(k.holders[key], engine)
			k.runs[engine] = append(k.runs[engine], key)
		}
		k.parts.Add(p, struct{}{})
	}
}

// Remove notes that the engine didn't read the parts.
func (k *Kept[E]) Remove(engine E, keys ...Key) {
	for _, key := range keys {
		k.parts.Remove(part[E]{engine, key})
	}
}

// Drop forgets all of an engine.
func (k *Kept[E]) Drop(engine E) { k.Remove(engine, slices.Clone(k.runs[engine])...) }

// Holders are the engines that keep the run. The list is valid until the next change.
func (k *Kept[E]) Holders(key Key) []E { return k.holders[key] }

// Len is the number of parts that are remembered.
func (k *Kept[E]) Len() int { return k.parts.Len() }

// Count is the number of leading parts that the engine keeps: those of the longest run
// that it was sent.
func (k *Kept[E]) Count(engine E, keys []Key) int {
	for n := len(keys); n > 0; n-- {
		if k.parts.Contains(part[E]{engine, keys[n-1]}) {
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
