package engine

import (
	"slices"
	"strings"
	"sync"
)

// Arrival is what the engine really got and did for one request id.
type Arrival struct {
	RequestID string `json:"request_id"`
	// Model is "model@version" as the last body said.
	Model    string `json:"model,omitempty"`
	Priority string `json:"priority,omitempty"`
	// Heads counts the requests whose head was read, Bodies those whose body
	// was read whole.
	Heads  int `json:"heads"`
	Bodies int `json:"bodies"`
	// Began and Finished count the runs.
	Began    int `json:"began"`
	Finished int `json:"finished"`
	// Refused counts the refusals that said "not run".
	Refused int `json:"refused"`
	Resumed int `json:"resumed"`
	// Cancelled counts the cancellations that came.
	Cancelled int `json:"cancelled"`
}

// Arrivals is the answer of GET /arrivals.
type Arrivals struct {
	Arrivals []Arrival `json:"arrivals"`
}

type arrivalLog struct {
	mu   sync.Mutex
	byID map[string]*Arrival
}

func (l *arrivalLog) note(requestID string, change func(*Arrival)) {
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

// Arrival returns what came with the request id; zero counts if nothing did.
func (e *Engine) Arrival(requestID string) Arrival {
	e.arrivals.mu.Lock()
	defer e.arrivals.mu.Unlock()
	if a := e.arrivals.byID[requestID]; a != nil {
		return *a
	}
	return Arrival{RequestID: requestID}
}

// Arrivals returns what came so far.
func (e *Engine) Arrivals() Arrivals { return e.arrivals.list() }
