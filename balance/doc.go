// Package balance chooses the upstream that a request goes to.
//
// A Selector is a pure chain: filters narrow the list, affinity scorers name
// preferred candidates, and a picker samples two more at random and takes the
// best weighted score. A Pool keeps the state that the chain reads: the host
// list, the upstreams' load reports, the requests that this host has in
// flight, error rates, ejections and the prefix index. Nothing in the package
// does I/O.
//
// The entry host keeps one Pool for its upstreams. Choices of different hosts
// aren't coordinated, and a choice reserves nothing: the upstream may still
// refuse.
package balance
