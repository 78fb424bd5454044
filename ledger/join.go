package ledger

import (
	"encoding/binary"
	"fmt"
	"iter"
)

// joinedVersion is the first byte of an object of joined batches. It differs
// from the first byte of every encoded batch.
const joinedVersion = 0x80

// joinBatches combines encoded batches into the content of one object: joinedVersion,
// then each batch preceded by its length.
func joinBatches(batches [][]byte) []byte {
	data := []byte{joinedVersion}
	for _, b := range batches {
		data = binary.AppendUvarint(data, uint64(len(b)))
		data = append(data, b...)
	}
	return data
}

// splitBatches yields the encoded batches of an object. An object that doesn't start
// with joinedVersion is a single batch.
func splitBatches(data []byte) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		if len(data) == 0 || data[0] != joinedVersion {
			yield(data, nil)
			return
		}
		rest := data[1:]
		for len(rest) > 0 {
			size, n := binary.Uvarint(rest)
			if n <= 0 || size > uint64(len(rest)-n) {
				yield(nil, fmt.Errorf("%w: joined batches are truncated", ErrCorrupt))
				return
			}
			end := n + int(size)
			if !yield(rest[n:end], nil) {
				return
			}
			rest = rest[end:]
		}
	}
}
