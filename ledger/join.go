package ledger

import (
	"encoding/binary"
	"fmt"
	"iter"
)

// joinedVersion is the first byte of joined batches. It differs from every
// codecVersion.
const joinedVersion = 0x80

// join puts encoded batches into one object: a byte for the format, then each
// batch behind its length.
func join(batches [][]byte) []byte {
	data := []byte{joinedVersion}
	for _, b := range batches {
		data = binary.AppendUvarint(data, uint64(len(b)))
		data = append(data, b...)
	}
	return data
}

// split yields the encoded batches in an object: those that join put there, or
// the one that the object is.
func split(data []byte) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		if len(data) == 0 || data[0] != joinedVersion {
			yield(data, nil)
			return
		}
		rest := data[1:]
		for len(rest) > 0 {
			size, n := binary.Uvarint(rest)
			if n <= 0 || size > uint64(len(rest)-n) {
				yield(nil, fmt.Errorf("%w: joined batches cut short", ErrCorrupt))
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
