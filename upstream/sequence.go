package upstream

import "bytes"

// frameStatus is how the reorder buffer handled a received frame.
type frameStatus int

const (
	// frameInOrder is the next frame; the caller delivers it.
	frameInOrder frameStatus = iota
	// frameBuffered is out of order and kept until the frames before it arrive.
	frameBuffered
	// frameDuplicate was already delivered or buffered, or its number isn't below
	// that of the end marker.
	frameDuplicate
	// frameBeyondWindow exceeds the window or the byte limit and isn't kept.
	frameBeyondWindow
)

// reorderBuffer puts the frames of one response in order.
type reorderBuffer struct {
	// nextSeq is the number of the next frame to deliver.
	nextSeq uint64
	// window limits how far ahead of nextSeq a frame is buffered, in frames.
	window uint64
	// maxBytes limits the total size of the buffered frames.
	maxBytes      int
	bufferedBytes int
	buffered      map[uint64][]byte
	// endSeq is the number of the end marker; zero until it is received.
	endSeq uint64
}

func newReorderBuffer(window, maxBytes int) *reorderBuffer {
	return &reorderBuffer{nextSeq: 1, window: uint64(window), maxBytes: maxBytes}
}

// insert classifies the frame with number n and buffers a copy of it if it is
// out of order.
func (s *reorderBuffer) insert(n uint64, data []byte) frameStatus {
	if n < s.nextSeq || s.buffered[n] != nil || s.pastEnd(n) {
		return frameDuplicate
	}
	if n == s.nextSeq {
		s.nextSeq++
		return frameInOrder
	}
	if n-s.nextSeq > s.window || s.bufferedBytes+len(data) > s.maxBytes {
		return frameBeyondWindow
	}
	if s.buffered == nil {
		s.buffered = make(map[uint64][]byte)
	}
	s.buffered[n] = append([]byte{}, data...)
	s.bufferedBytes += len(data)
	return frameBuffered
}

// pastEnd reports whether n is at or above the number of the end marker.
func (s *reorderBuffer) pastEnd(n uint64) bool {
	return s.endSeq != 0 && n >= s.endSeq
}

// pop removes and returns the next frame if it is buffered.
func (s *reorderBuffer) pop() (n uint64, data []byte, ok bool) {
	data, ok = s.buffered[s.nextSeq]
	if !ok || s.pastEnd(s.nextSeq) {
		return 0, nil, false
	}
	n = s.nextSeq
	delete(s.buffered, n)
	s.bufferedBytes -= len(data)
	s.nextSeq++
	return n, data, true
}

// hasGap reports whether later frames or the end marker were received while the
// next frame is missing.
func (s *reorderBuffer) hasGap() bool {
	return len(s.buffered) > 0 || s.endSeq > s.nextSeq
}

// complete reports whether every frame before the end marker was delivered.
func (s *reorderBuffer) complete() bool {
	return s.endSeq != 0 && s.nextSeq == s.endSeq
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

// setEndSeq records the number of the end marker. It returns false if one is
// already recorded or if n is the number of a delivered frame.
func (s *reorderBuffer) setEndSeq(n uint64) bool {
	if s.endSeq != 0 || n < s.nextSeq {
		return false
	}
	s.endSeq = n
	return true
}
