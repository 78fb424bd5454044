package upstream

import "bytes"

// frameStatus is how the reorder buffer handled a received frame.
type frameStatus int

const (
	// frameInOrder means that the frame is the next one; the caller delivers it.
	frameInOrder frameStatus = iota
	// frameBuffered means that the frame is out of order and kept until the frames
	// before it arrive.
	frameBuffered
	// frameDuplicate means that the frame was already delivered or buffered, or that
	// its sequence number isn't below the sequence number of the end marker.
	frameDuplicate
	// frameBeyondWindow means that the frame exceeds the window or the byte limit
	// and isn't kept.
	frameBeyondWindow
)

// reorderBuffer puts the frames of one response in order. buffered holds the
// out-of-order frames by sequence number.
type reorderBuffer struct {
	// nextSeq is the number of the next frame to deliver.
	nextSeq uint64
	// window is the maximum difference between nextSeq and the number of a buffered
	// frame.
	window uint64
	// maxBytes limits bufferedBytes, the total size of the buffered frames.
	maxBytes      int
	bufferedBytes int
	buffered      map[uint64][]byte
	// endSeq is the number of the end marker. It is zero until it is received.
	endSeq uint64
}

func newReorderBuffer(window, maxBytes int) *reorderBuffer {
	return &reorderBuffer{nextSeq: 1, window: uint64(window), maxBytes: maxBytes}
}

// insert classifies the frame with number n and buffers a copy of it if it is
// out of order.
func (b *reorderBuffer) insert(n uint64, data []byte) frameStatus {
	if n < b.nextSeq || b.buffered[n] != nil || b.pastEnd(n) {
		return frameDuplicate
	}
	if n == b.nextSeq {
		b.nextSeq++
		return frameInOrder
	}
	if n-b.nextSeq > b.window || b.bufferedBytes+len(data) > b.maxBytes {
		return frameBeyondWindow
	}
	if b.buffered == nil {
		b.buffered = make(map[uint64][]byte)
	}
	b.buffered[n] = append([]byte{}, data...)
	b.bufferedBytes += len(data)
	return frameBuffered
}

// pastEnd reports whether n is at or above the number of the end marker.
func (b *reorderBuffer) pastEnd(n uint64) bool {
	return b.endSeq != 0 && n >= b.endSeq
}

// pop removes and returns the next frame if it is buffered.
func (b *reorderBuffer) pop() (n uint64, data []byte, ok bool) {
	data, ok = b.buffered[b.nextSeq]
	if !ok || b.pastEnd(b.nextSeq) {
		return 0, nil, false
	}
	n = b.nextSeq
	delete(b.buffered, n)
	b.bufferedBytes -= len(data)
	b.nextSeq++
	return n, data, true
}

// hasGap reports whether later frames or the end marker were received while the
// next frame is missing.
func (b *reorderBuffer) hasGap() bool {
	return len(b.buffered) > 0 || b.endSeq > b.nextSeq
}

// complete reports whether every frame before the end marker was delivered.
func (b *reorderBuffer) complete() bool {
	return b.endSeq != 0 && b.nextSeq == b.endSeq
}

// parseEventID returns the sequence number in an event id; ok is false if the id
// is malformed or belongs to a request other than requestID.
func parseEventID(id []byte, requestID string) (seq uint64, ok bool) {
	sep := bytes.LastIndexByte(id, ':')
	if sep < 0 || string(id[:sep]) != requestID {
		return 0, false
	}
	return parseSeq(id[sep+1:])
}

// maxSeqDigits limits sequence numbers to values that fit in a uint64.
const maxSeqDigits = 18

func parseSeq(digits []byte) (uint64, bool) {
	if len(digits) == 0 || len(digits) > maxSeqDigits {
		return 0, false
	}
	var n uint64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, n > 0
}

// setEndSeq records n as the number of the end marker. It returns false if a number
// is already recorded or if n is the number of a delivered frame.
func (b *reorderBuffer) setEndSeq(n uint64) bool {
	if b.endSeq != 0 || n < b.nextSeq {
		return false
	}
	b.endSeq = n
	return true
}
