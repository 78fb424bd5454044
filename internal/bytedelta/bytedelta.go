// Package bytedelta encodes a byte string as its difference from another one, of which the
// receiver has a copy. It is meant for two versions of a large document that share most of
// their content.
//
// A delta consists of a head, with checksums of both versions, and of steps. Each step copies a
// range of the base and then appends literal bytes. Deltas aren't compressed.
//
// The deltas of package manifest go by lines and are part of a stored format; these are for
// documents of any layout, such as those in a single line.
package bytedelta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrOtherBase means that a delta was made from another base.
	ErrOtherBase = errors.New("bytedelta: the delta was made from another base")
	// ErrCorrupt means that a delta can't be decoded, or doesn't produce the version that it was
	// made for.
	ErrCorrupt = errors.New("bytedelta: corrupt delta")
)

const (
	// blockBytes is the size in bytes of the blocks of the base that are looked up in the target.
	// Equal ranges shorter than that are encoded as literals.
	blockBytes = 32
	// headBytes is the size in bytes of the two checksums at the start of a delta.
	headBytes = 16
)

// Encode returns a delta from which Apply builds the target out of the base.
func Encode(base, target []byte) []byte {
	e := encoder{base: base, target: target, blocks: indexBlocks(base)}
	e.delta = binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(base))
	e.delta = binary.LittleEndian.AppendUint64(e.delta, xxhash.Sum64(target))
	e.delta = binary.AppendUvarint(e.delta, uint64(len(target)))
	e.encode()
	return e.delta
}

// encoder builds a delta. The target up to position emitted is encoded.
type encoder struct {
	base, target []byte
	blocks       blockIndex
	delta        []byte
	emitted      int
	// from and length are the range of the base that the step in progress copies; its literal
	// bytes begin at emitted.
	from, length int
}

func (e *encoder) encode() {
	hash, hashed := rollingHash(0), -2 // no block is hashed yet
	for at := 0; at+blockBytes <= len(e.target); {
		// A range that was overwritten by as many bytes continues at the same distance.
		if from := e.from + e.length + at - e.emitted; e.matches(from, at) {
			at = e.copyRange(from, at)
			continue
		}
		if hashed == at-1 {
			hash = hash.roll(e.target[at-1], e.target[at+blockBytes-1])
		} else {
			hash = newRollingHash(e.target[at : at+blockBytes])
		}
		hashed = at
		if from, ok := e.blocks.find(hash); ok && e.matches(from, at) {
			at = e.copyRange(from, at)
			continue
		}
		at++
	}
	e.endStep(len(e.target))
}

// matches reports whether a block of the base at from is equal to that of the target at the
// position.
func (e *encoder) matches(from, at int) bool {
	return from >= 0 && from+blockBytes <= len(e.base) && bytes.Equal(e.base[from:from+blockBytes], e.target[at:at+blockBytes])
}

// copyRange begins a step that copies the longest equal range around the two positions, and
// returns the end of that range in the target.
func (e *encoder) copyRange(from, at int) int {
	for from > 0 && at > e.emitted && e.base[from-1] == e.target[at-1] {
		from, at = from-1, at-1
	}
	length := 0
	for from+length < len(e.base) && at+length < len(e.target) && e.base[from+length] == e.target[at+length] {
		length++
	}
	e.endStep(at)
	e.from, e.length = from, length
	e.emitted = at + length
	return e.emitted
}

// endStep appends the step in progress, with literal bytes up to the position in the target.
func (e *encoder) endStep(at int) {
	literal := e.target[e.emitted:at]
	if e.length == 0 && len(literal) == 0 {
		return
	}
	e.delta = binary.AppendUvarint(e.delta, uint64(e.from))
	e.delta = binary.AppendUvarint(e.delta, uint64(e.length))
	e.delta = binary.AppendUvarint(e.delta, uint64(len(literal)))
	e.delta = append(e.delta, literal...)
	e.from, e.length, e.emitted = e.from+e.length, 0, at
}

// Apply returns the version that the delta was made for, or an error if the base isn't the one
// that it was made from, or if the version would have more than maxBytes bytes.
func Apply(base, delta []byte, maxBytes int) ([]byte, error) {
	if len(delta) < headBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrCorrupt, len(delta))
	}
	baseSum, targetSum := binary.LittleEndian.Uint64(delta), binary.LittleEndian.Uint64(delta[8:])
	if sum := xxhash.Sum64(base); sum != baseSum {
		return nil, fmt.Errorf("%w: checksum %x, not %x", ErrOtherBase, sum, baseSum)
	}
	r := stepReader{rest: delta[headBytes:]}
	size := r.number()
	if size > uint64(maxBytes) {
		return nil, fmt.Errorf("%w: %d bytes, %d are permitted", ErrCorrupt, size, maxBytes)
	}
	target := make([]byte, 0, size)
	for len(r.rest) > 0 && !r.failed {
		from, length := r.number(), r.number()
		literal := r.bytes(r.number())
		if from > uint64(len(base)) || length > uint64(len(base))-from || uint64(len(target)+len(literal))+length > size {
			return nil, fmt.Errorf("%w: step of %d bytes from %d", ErrCorrupt, length, from)
		}
		target = append(target, base[from:from+length]...)
		target = append(target, literal...)
	}
	if r.failed || xxhash.Sum64(target) != targetSum {
		return nil, fmt.Errorf("%w: %d of %d bytes, or other content", ErrCorrupt, len(target), size)
	}
	return target, nil
}

// stepReader reads the parts of a delta's steps. After a failure all results are empty.
type stepReader struct {
	rest   []byte
	failed bool
}

func (r *stepReader) number() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *stepReader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.rest, r.failed = nil, true
		return nil
	}
	data := r.rest[:n]
	r.rest = r.rest[n:]
	return data
}
