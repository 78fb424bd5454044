// Package balance selects the upstream for a request.
//
// A Selector is a stateless chain: filters remove candidates from the list, a
// picker samples two of the rest at random, affinity scorers add the candidates
// that they prefer, and among all these the candidate with the highest weighted
// score is selected. A Pool holds the state that the chain reads: the host list,
// the load reports of the upstreams, the requests that this host has in flight,
// error rates, ejections and the prefix index. Nothing in the package does I/O.
//
// An entry host has one Pool for all its upstreams. Selections of different
// hosts aren't coordinated, and a selection reserves no capacity: the upstream
// may still refuse the request.
package balance
