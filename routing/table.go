package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid means that a document can't be used.
var ErrInvalid = errors.New("routing: invalid document")

// Table answers questions on one document. It is immutable.
type Table struct {
	// Version is the document's.
	Version uint64
	Limits  Limits
	// routes are grouped by host, longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	// lowestRank is the highest number of all priorities.
	lowestRank int
	// keyed says that the document declares accounts at all.
	keyed bool
}

// New checks the document and returns its table.
func New(doc Document) (*Table, error) {
	t := &Table{
		Version:  doc.Version,
		Limits:   doc.Limits,
		routes:   make(map[string][]*Route, len(doc.Routes)),
		services: make(map[string]*Service, len(doc.Services)),
		accounts: make(map[string]*Account),
		keyed:    len(doc.Accounts) > 0,
	}
	for i := range doc.Services {
		t.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Routes {
		if err := t.addRoute(&doc.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range doc.Routes {
		t.lowestRank = max(t.lowestRank, doc.Routes[i].Priority)
	}
	for i := range doc.Accounts {
		if p := doc.Accounts[i].Priority; p != nil {
			t.lowestRank = max(t.lowestRank, *p)
		}
		for _, key := range doc.Accounts[i].Keys {
			t.accounts[key] = &doc.Accounts[i]
		}
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if len(r.Split) == 0 {
		return fmt.Errorf("%w: route %q leads to no service", ErrInvalid, r.Name)
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return fmt.Errorf("%w: route %q leads to unknown service %q", ErrInvalid, r.Name, s.Service)
		}
	}
	host := strings.ToLower(r.Host)
	t.routes[host] = append(t.routes[host], r)
	return nil
}

// Match returns the route of the host with the longest prefix of path. The host
// may carry a port; the path is the request's own, not decoded.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Price is what a service's model costs for each 1,000 tokens generated; 0 if it
// isn't declared.
func (t *Table) Price(service, model string) float64 {
	s := t.services[service]
	if s == nil {
		return 0
	}
	for i := range s.Models {
		if s.Models[i].Name == model {
			return s.Models[i].Price
		}
	}
	return 0
}

// Account returns the account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Keyed says whether routes that aren't public need a key.
func (t *Table) Keyed() bool { return t.keyed }

// LowestRank is the highest number among the priorities of routes and accounts.
func (t *Table) LowestRank() int { return t.lowestRank }

// Routes counts the routes.
func (t *Table) Routes() int {
	n := 0
	for _, routes := range t.routes {
		n += len(routes)
	}
	return n
}

// Pick returns the service for a point from 0 up to 1. The same point gives the
// same service as long as the shares stay.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
