package engine

import (
	"slices"
	"strings"
	"sync"
)

// Arrival counts what the engine received and did for one request ID.
type Arrival struct {
	RequestID string `json:"request_id"`
	// Model is "model@version" from the last request body.
	Model    string `json:"model,omitempty"`
	Priority string `json:"priority,omitempty"`
	// Heads counts the requests whose header was read, Bodies those whose body
	// was read to its end.
	Heads  int `json:"heads"`
	Bodies int `json:"bodies"`
	// Began counts the requests that started to run, Finished the runs that
	// completed.
	Began    int `json:"began"`
	Finished int `json:"finished"`
	// Refused counts the error responses that state that the request wasn't
	// run.
	Refused int `json:"refused"`
	Resumed int `json:"resumed"`
	// Cancelled counts the cancellations of a running or resumable request.
	Cancelled int `json:"cancelled"`
}

// Arrivals is the response body of GET /arrivals.
type Arrivals struct {
	Arrivals []Arrival `json:"arrivals"`
}

type arrivalLog struct {
	mu   sync.Mutex
	byID map[string]*Arrival
}

func (l *arrivalLog) record(requestID string, change func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[string]*Arrival)
	}
	a := l.byID[requestID]
	if a == nil {
		a = &Arrival{RequestID: requestID}
		l.byID[requestID] = a
	}
	change(a)
}

func (l *arrivalLog) list() Arrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Arrivals{Arrivals: make([]Arrival, 0, len(l.byID))}
	for _, a := range l.byID {
		out.Arrivals = append(out.Arrivals, *a)
	}
	slices.SortFunc(out.Arrivals, func(a, b Arrival) int {
		return strings.Compare(a.RequestID, b.RequestID)
	})
	return out
}

// Arrival returns the counts of the request ID; they are zero if it was never
// received.
func (e *Engine) Arrival(requestID string) Arrival {
	e.arrivals.mu.Lock()
	defer e.arrivals.mu.Unlock()
	if a := e.arrivals.byID[requestID]; a != nil {
		return *a
	}
	return Arrival{RequestID: requestID}
}

// Arrivals returns the counts of all request IDs, sorted by ID.
func (e *Engine) Arrivals() Arrivals { return e.arrivals.list() }
