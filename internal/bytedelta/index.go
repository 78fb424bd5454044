package bytedelta

// rollingHash is a polynomial hash of blockBytes bytes that can be moved by one byte.
type rollingHash uint64

// hashFactor is the base of the polynomial; hashBits is the number of bits of a hash.
const (
	hashFactor = 0x9e3779b97f4a7c15
	hashBits   = 64
)

// firstFactor is hashFactor to the power of blockBytes-1.
var firstFactor = func() rollingHash {
	factor := rollingHash(1)
	for range blockBytes - 1 {
		factor *= hashFactor
	}
	return factor
}()

func newRollingHash(block []byte) rollingHash {
	h := rollingHash(0)
	for _, b := range block {
		h = h*hashFactor + rollingHash(b) + 1
	}
	return h
}

// roll returns the hash of the block that begins one byte later.
func (h rollingHash) roll(dropped, added byte) rollingHash {
	return (h-(rollingHash(dropped)+1)*firstFactor)*hashFactor + rollingHash(added) + 1
}

// blockIndex finds blocks of a base by their hash. It holds one position a slot, plus 1; 0 marks
// an empty slot. The positions are those of whole blocks. Of several blocks with the same slot,
// the first one is kept.
type blockIndex struct {
	slots []uint32
	shift uint
}

func indexBlocks(base []byte) blockIndex {
	bits := uint(4)
	for 1<<bits < 2*len(base)/blockBytes {
		bits++
	}
	index := blockIndex{slots: make([]uint32, 1<<bits), shift: hashBits - bits}
	for at := 0; at+blockBytes <= len(base); at += blockBytes {
		if slot := &index.slots[index.slot(newRollingHash(base[at:at+blockBytes]))]; *slot == 0 {
			*slot = uint32(at) + 1
		}
	}
	return index
}

func (i *blockIndex) slot(h rollingHash) uint64 {
	mixed := uint64(h) ^ uint64(h)>>29
	return mixed * hashFactor >> i.shift
}

// find returns the position of a block that probably has the hash.
func (i *blockIndex) find(h rollingHash) (at int, ok bool) {
	position := i.slots[i.slot(h)]
	return int(position) - 1, position != 0
}
