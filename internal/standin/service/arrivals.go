package service

import (
	"cmp"
	"slices"
	"sync"
)

// Arrival counts what the service received and did for one pair of request ID
// and request key.
type Arrival struct {
	RequestID string `json:"request_id"`
	// RequestKey is empty if the request has none.
	RequestKey string `json:"request_key,omitempty"`
	// Heads counts the requests whose header was read, Bodies those whose body
	// was read to its end.
	Heads  int `json:"heads"`
	Bodies int `json:"bodies"`
	// Runs counts the runs that started.
	Runs int `json:"runs"`
	// Refused counts the error responses that state that the request wasn't
	// run.
	Refused int `json:"refused"`
}

// Arrivals is the response body of GET /arrivals.
type Arrivals struct {
	Arrivals []Arrival `json:"arrivals"`
	// RunsByKey is the number of runs of each request key, over all request IDs.
	RunsByKey map[string]int `json:"runs_by_key"`
}

type arrivalKey struct {
	requestID, requestKey string
}

type arrivalLog struct {
	mu    sync.Mutex
	byKey map[arrivalKey]*Arrival
}

func (l *arrivalLog) record(id, key string, change func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = make(map[arrivalKey]*Arrival)
	}
	k := arrivalKey{requestID: id, requestKey: key}
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

// Arrivals returns the counts of all requests so far, sorted by request ID and
// request key.
func (s *Service) Arrivals() Arrivals { return s.arrivals.list() }

// Arrival returns the counts of the request ID, summed over its request keys.
// RequestKey is the last of them in sort order.
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
