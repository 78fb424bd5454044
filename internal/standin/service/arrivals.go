package service

import (
	"cmp"
	"slices"
	"sync"
)

// Arrival is what the service really got and did for one request id and
// request key.
type Arrival struct {
	RequestID string `json:"request_id"`
	// RequestKey is empty if the caller gave none.
	RequestKey string `json:"request_key,omitempty"`
	// Heads counts the requests whose head was read, Bodies those whose body
	// was read whole.
	Heads  int `json:"heads"`
	Bodies int `json:"bodies"`
	// Runs counts the runs.
	Runs int `json:"runs"`
	// Refused counts the refusals that said "not run".
	Refused int `json:"refused"`
}

// Arrivals is the answer of GET /arrivals.
type Arrivals struct {
	Arrivals []Arrival `json:"arrivals"`
	// RunsByKey sums the runs over the request ids of each request key.
	RunsByKey map[string]int `json:"runs_by_key"`
}

type arrivalKey struct {
	id, key string
}

type arrivalLog struct {
	mu    sync.Mutex
	byKey map[arrivalKey]*Arrival
}

func (l *arrivalLog) note(id, key string, change func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = make(map[arrivalKey]*Arrival)
	}
	k := arrivalKey{id: id, key: key}
	a := l.byKey[k]
	if a == nil {
		a = &Arrival{RequestID: id, RequestKey: key}
		l.byKey[k] = a
	}
	change(a)
}

func (l *arrivalLog) list() Arrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Arrivals{Arrivals: make([]Arrival, 0, len(l.byKey)), RunsByKey: make(map[string]int)}
	for _, a := range l.byKey {
		out.Arrivals = append(out.Arrivals, *a)
		if a.RequestKey != "" {
			out.RunsByKey[a.RequestKey] += a.Runs
		}
	}
	slices.SortFunc(out.Arrivals, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.RequestKey, b.RequestKey))
	})
	return out
}

// Arrivals returns what came and ran so far.
func (s *Service) Arrivals() Arrivals { return s.arrivals.list() }

// Arrival returns the sums over all request keys that came with the request
// id.
func (s *Service) Arrival(requestID string) Arrival {
	sum := Arrival{RequestID: requestID}
	for _, a := range s.arrivals.list().Arrivals {
		if a.RequestID != requestID {
			continue
		}
		sum.RequestKey = a.RequestKey
		sum.Heads += a.Heads
		sum.Bodies += a.Bodies
		sum.Runs += a.Runs
		sum.Refused += a.Refused
	}
	return sum
}
