package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid is returned for an invalid document.
var ErrInvalid = errors.New("routing: invalid document")

// Table looks up the routes, services and accounts of one document. It is
// immutable.
type Table struct {
	// Version is the version of the document.
	Version uint64
	Limits  Limits
	// routes holds the routes by host, the longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	// lowestPriority is the highest number, that is the least urgent, among all
	// priorities.
	lowestPriority int
	// requiresKey reports whether the document declares any accounts.
	requiresKey bool
}

// New validates the document and returns its table. The table refers to the
// document's slices, which must not be changed afterwards.
func New(doc Document) (*Table, error) {
	t := &Table{
		Version:     doc.Version,
		Limits:      doc.Limits,
		routes:      make(map[string][]*Route, len(doc.Routes)),
		services:    make(map[string]*Service, len(doc.Services)),
		accounts:    make(map[string]*Account),
		requiresKey: len(doc.Accounts) > 0,
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
		t.lowestPriority = max(t.lowestPriority, doc.Routes[i].Priority)
	}
	for i := range doc.Accounts {
		if p := doc.Accounts[i].Priority; p != nil {
			t.lowestPriority = max(t.lowestPriority, *p)
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
	if len(r.Shares) == 0 {
		return fmt.Errorf("%w: route %q has no service", ErrInvalid, r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return fmt.Errorf("%w: route %q refers to unknown service %q", ErrInvalid, r.Name, s.Service)
		}
	}
	host := strings.ToLower(r.Host)
	t.routes[host] = append(t.routes[host], r)
	return nil
}

// Match returns the route for the host whose prefix is the longest that matches
// the path. The host may include a port. The path must be the encoded path of the
// request.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Price returns the price of a service's model per 1,000 generated tokens, or 0
// if the document doesn't declare the model.
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

// Account returns the account with the key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// RequiresKey reports whether routes that aren't public require an account key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// LowestPriority returns the highest number, that is the least urgent, among the
// priorities of routes and accounts.
func (t *Table) LowestPriority() int { return t.lowestPriority }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, routes := range t.routes {
		n += len(routes)
	}
	return n
}

// SelectService returns the service for a point in [0, 1). The interval is divided
// among the services in proportion to their weights. The same point yields the
// same service until the shares change.
func (r *Route) SelectService(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
