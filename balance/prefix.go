package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of prompt text in bytes.
	BlockBytes = 512
	// MaxBlocks is the maximum number of blocks hashed per prompt.
	MaxBlocks = 256
)

// PrefixHashes returns a hash for each complete block of text, at most
// MaxBlocks. Each hash covers the text from the start to the block's end, so
// the number of hashes that two prompts have in common is the number of leading
// blocks that they have in common.
func PrefixHashes(text string) []uint64 {
	n := min(len(text)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	var d xxhash.Digest
	var previous [8]byte
	for i := range hashes {
		d.Reset()
		_, _ = d.Write(previous[:])
		_, _ = d.WriteString(text[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hashes[i])
	}
	return hashes
}
