package deployment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcomeCounts holds the number of requests by outcome.
type outcomeCounts [outcomeCount]int

func (c outcomeCounts) sent() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// percent returns the percentage of requests with an outcome, 0 if there are no
// requests.
func (c outcomeCounts) percent(o outcome) float64 {
	if c.sent() == 0 {
		return 0
	}
	return 100 * float64(c[o]) / float64(c.sent())
}

// cellStats collects the outcomes of the requests of a cell. Its method add is
// safe for concurrent use.
type cellStats struct {
	mu      sync.Mutex
	all     outcomeCounts
	byClass map[string]*outcomeCounts
	// byAccountSize holds the counts of large accounts under true and those of
	// small ones under false.
	byAccountSize map[bool]*outcomeCounts
	// firstToken holds the times from the intended start to the first token of
	// complete answers, in microseconds.
	firstToken *hdrhistogram.Histogram
	// refusalTimeSum is the sum of the times from the intended start to the refusal.
	refusalTimeSum time.Duration
	// refusedWithFreeSlot counts refusals while an engine of the requested
	// model had a free slot.
	refusedWithFreeSlot int
	// complete holds the ids of requests with complete answers.
	complete map[string]bool
	// answers holds the complete answers if keepAnswers is set.
	keepAnswers bool
	answers     []requestAnswer
	lostExample string
}

// requestAnswer is a request with its complete answer.
type requestAnswer struct {
	request request
	answer  answer
}

// Range, in microseconds, and significant digits of the times to the first
// token.
const (
	firstTokenMin    = 1
	firstTokenMax    = 60_000_000
	firstTokenDigits = 3
)

func newCellStats() *cellStats {
	s := &cellStats{
		byClass:       map[string]*outcomeCounts{},
		byAccountSize: map[bool]*outcomeCounts{true: {}, false: {}},
		firstToken:    hdrhistogram.New(firstTokenMin, firstTokenMax, firstTokenDigits),
		complete:      map[string]bool{},
	}
	for _, c := range classes {
		s.byClass[c.name] = &outcomeCounts{}
	}
	return s
}

// add adds one request; freeSlots is the number of free slots of its model when
// it ended.
func (s *cellStats) add(r request, got answer, freeSlots int) {
	o := classify(r, got)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[o]++
	s.byClass[r.class.name][o]++
	s.byAccountSize[r.fromLargeAccount()][o]++
	if o == refused {
		s.refusalTimeSum += got.total
		if freeSlots > 0 {
			s.refusedWithFreeSlot++
		}
	}
	if o == lost && s.lostExample == "" {
		s.lostExample = got.code.String()
	}
	if !got.complete {
		return
	}
	s.complete[got.requestID] = true
	if got.firstToken > 0 {
		// Values above the range count as its maximum.
		_ = s.firstToken.RecordValue(min(got.firstToken.Microseconds(), firstTokenMax))
	}
	if s.keepAnswers {
		s.answers = append(s.answers, requestAnswer{r, got})
	}
}

// firstTokenMs returns a percentile of the time to the first token, in
// milliseconds.
func (s *cellStats) firstTokenMs(q float64) float64 {
	return float64(s.firstToken.ValueAtQuantile(q)) / 1000
}
