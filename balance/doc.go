// Package balance selects the upstream for a request.
//
// A Selector is a chain without state: filters reduce the list of candidates,
// affinity scorers add preferred candidates, a picker samples two more at
// random, and the candidate with the best weighted score is selected. A Pool
// holds the state that the chain reads: the host list, the load reports of the
// upstreams, the requests that this host has in flight, error rates, ejections
// and the prefix index. Nothing in the package does I/O.
//
// An entry host has one Pool for all its upstreams. Selections of different
// hosts aren't coordinated, and a selection reserves no capacity: the upstream
// may still refuse the request.
package balance
