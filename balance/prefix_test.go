package balance

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPrefixHashes(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("a", 3*BlockBytes)
	hashes := PrefixHashes(text)
	is.Equal(len(hashes), 3)
	is.True(hashes[0] != hashes[1]) // the same block after a different prefix
	is.Equal(PrefixHashes(text[:BlockBytes] + "b")[0], hashes[0])
	other := PrefixHashes("b" + text[1:])
	is.True(other[2] != hashes[2]) // a difference at the start changes all hashes
	is.Equal(len(PrefixHashes(text[1:BlockBytes])), 0)
	is.Equal(len(PrefixHashes(strings.Repeat("a", (MaxBlocks+9)*BlockBytes))), MaxBlocks)
}

func newCacheEvent(seq uint64, at time.Duration, stored, removed []uint64) CacheEvent {
	return CacheEvent{Upstream: "u", Seq: seq, At: start.Add(at), Stored: stored, Removed: removed}
}

func TestPrefixIndexEvents(t *testing.T) {
	hashes := []uint64{1, 2, 3, 4}
	first := newCacheEvent(1, 0, nil, nil)
	tests := []struct {
		desc   string
		events []CacheEvent
		want   float64
	}{
		{"blocks sent without events have reduced weight", nil, 4 * noEventsWeight},
		{"blocks sent have full weight with events", []CacheEvent{first}, 4},
		{"a removal shortens the match", []CacheEvent{newCacheEvent(1, time.Second, nil, []uint64{3})}, 2},
		{"a removal before the blocks were sent is ignored", []CacheEvent{newCacheEvent(1, -time.Second, nil, []uint64{3})}, 4},
		{"a repeated event changes nothing", []CacheEvent{newCacheEvent(1, time.Second, nil, nil), newCacheEvent(1, time.Second, nil, hashes)}, 4},
		{"a gap reduces the weight of earlier blocks", []CacheEvent{first, newCacheEvent(3, 0, nil, nil)}, 4 * afterGapWeight},
		{"blocks confirmed after a gap have full weight", []CacheEvent{first, newCacheEvent(3, time.Second, hashes, nil)}, 4},
		{"a cleared cache is empty", []CacheEvent{{Upstream: "u", Seq: 1, At: start.Add(time.Second), Cleared: true}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			index := NewPrefixIndex(0, func() time.Time { return start })
			index.RecordSent("u", hashes)
			for _, e := range tt.events {
				index.Apply(e)
			}
			is.Equal(index.Match("u", hashes), tt.want)
			is.Equal(index.Match("other", hashes), 0.0)
			index.Forget("u")
			is.Equal(index.Match("u", hashes), 0.0)
		})
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	is := is.New(t)
	index := NewPrefixIndex(4, func() time.Time { return start })
	index.Apply(newCacheEvent(1, 0, nil, nil))
	index.RecordSent("u", []uint64{1, 2, 3, 4})
	index.RecordSent("u", []uint64{1, 9})
	is.Equal(index.Match("u", []uint64{1, 2, 3, 4}), 3.0) // the end of the prompt is evicted first
}
