package deployment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counts are how many requests came to each verdict.
type counts [verdicts]int

func (c counts) sent() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// part is the part of a verdict, in percent; zero of nothing.
func (c counts) part(v verdict) float64 {
	if c.sent() == 0 {
		return 0
	}
	return 100 * float64(c[v]) / float64(c.sent())
}

// tally collects what the requests of a cell came to. It is safe for concurrent
// use until the cell ends.
type tally struct {
	mu      sync.Mutex
	all     counts
	byClass map[string]*counts
	// bySize is large accounts' at true and small ones' at false.
	bySize map[bool]*counts
	// firstToken is of whole answers from the intended start, in microseconds.
	firstToken *hdrhistogram.Histogram
	// refusedAfter sums the times to the refusals.
	refusedAfter time.Duration
	// refusedWithPlace counts refusals for a model of which a place was free.
	refusedWithPlace int
	// whole are the ids of requests with whole answers.
	whole map[string]bool
	// replies are kept where the cell asks for them.
	keep    bool
	replies []kept
	example string
}

// kept is a request and its whole answer.
type kept struct {
	request request
	reply   reply
}

// Range and precision of first token times, in microseconds.
const (
	firstTokenLeast  = 1
	firstTokenMost   = 60_000_000
	firstTokenDigits = 3
)

func newTally() *tally {
	t := &tally{
		byClass:    map[string]*counts{},
		bySize:     map[bool]*counts{true: {}, false: {}},
		firstToken: hdrhistogram.New(firstTokenLeast, firstTokenMost, firstTokenDigits),
		whole:      map[string]bool{},
	}
	for _, c := range classes {
		t.byClass[c.name] = &counts{}
	}
	return t
}

// add takes in one request; idle are the free places of its model at its end.
func (t *tally) add(r request, got reply, idle int) {
	v := judge(r, got)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[v]++
	t.byClass[r.class.name][v]++
	t.bySize[r.large()][v]++
	if v == refused {
		t.refusedAfter += got.end
		if idle > 0 {
			t.refusedWithPlace++
		}
	}
	if v == lost && t.example == "" {
		t.example = got.code.String()
	}
	if !got.whole {
		return
	}
	t.whole[got.requestID] = true
	if got.firstToken > 0 {
		// Values beyond the range count as its ends.
		_ = t.firstToken.RecordValue(min(got.firstToken.Microseconds(), firstTokenMost))
	}
	if t.keep {
		t.replies = append(t.replies, kept{r, got})
	}
}

// quantile is the first token's latency in milliseconds.
func (t *tally) quantile(q float64) float64 {
	return float64(t.firstToken.ValueAtQuantile(q)) / 1000
}
