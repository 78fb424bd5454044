package upstream

import "bytes"

// arrival says what became of a frame that arrived.
type arrival int

const (
	// arrivedInOrder is the next frame; the caller delivers it.
	arrivedInOrder arrival = iota
	// arrivedEarly is kept until the frames before it are there.
	arrivedEarly
	// arrivedAgain was delivered or kept before, or lies behind the end mark.
	arrivedAgain
	// arrivedBeyond is too far ahead to be kept.
	arrivedBeyond
)

// sequence puts the frames of one answer in order.
type sequence struct {
	// next is the number of the next frame to deliver.
	next uint64
	// window bounds how far ahead a frame is kept, in frames.
	window uint64
	// budget bounds the bytes of the frames that are kept.
	budget int
	held   int
	early  map[uint64][]byte
	// end is the number of the end mark; zero until it arrived.
	end uint64
}

func newSequence(window, budget int) *sequence {
	return &sequence{next: 1, window: uint64(window), budget: budget}
}

// place judges the frame with number n and keeps a copy of an early one.
func (s *sequence) place(n uint64, data []byte) arrival {
	if n < s.next || s.early[n] != nil || s.pastEnd(n) {
		return arrivedAgain
	}
	if n == s.next {
		s.next++
		return arrivedInOrder
	}
	if n-s.next > s.window || s.held+len(data) > s.budget {
		return arrivedBeyond
	}
	if s.early == nil {
		s.early = make(map[uint64][]byte)
	}
	s.early[n] = append([]byte{}, data...)
	s.held += len(data)
	return arrivedEarly
}

// pastEnd says that n isn't below the end mark's number.
func (s *sequence) pastEnd(n uint64) bool {
	return s.end != 0 && n >= s.end
}

// pop returns the next frame if it arrived early.
func (s *sequence) pop() (n uint64, data []byte, ok bool) {
	data, ok = s.early[s.next]
	if !ok || s.pastEnd(s.next) {
		return 0, nil, false
	}
	n = s.next
	delete(s.early, n)
	s.held -= len(data)
	s.next++
	return n, data, true
}

// waiting says that later frames are kept while the next one is missing.
func (s *sequence) waiting() bool {
	return len(s.early) > 0 || s.end > s.next
}

// complete says whether every frame before the end mark was delivered.
func (s *sequence) complete() bool {
	return s.end != 0 && s.next == s.end
}

// parseEventID returns the sequence number in an event id if the id belongs
// to requestID.
func parseEventID(id []byte, requestID string) (seq uint64, ok bool) {
	at := bytes.LastIndexByte(id, ':')
	if at < 0 || string(id[:at]) != requestID {
		return 0, false
	}
	return parseSeq(id[at+1:])
}

// maxSeqDigits keeps sequence numbers far below overflow.
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

// setEnd notes the number of the end mark. It is false for a mark that comes
// again or lies before a frame that was delivered.
func (s *sequence) setEnd(n uint64) bool {
	if s.end != 0 || n < s.next {
		return false
	}
	s.end = n
	return true
}
