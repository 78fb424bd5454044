// Package returnschedule chooses the times at which callers return whose requests were rejected for
// lack of capacity, and recognizes the requests that return.
//
// If all rejected callers wait for the same time, they return together and are rejected again. A
// Schedule therefore divides the next seconds into intervals, and books the engine time of each
// rejected request in the first interval that has room for it. The time that the caller is given is
// a reservation: a request that returns within a window around it goes before new requests.
//
// A request is recognized by a key, which is a hash of its service and its digest. A caller usually
// returns at another host, so hosts exchange their reservations. Those of other hosts are only
// recognized; they don't use the capacity of this host, which is its part of what the service's
// engines do.
//
// Equal requests have the same key. Each reservation is redeemed once, so that the number of
// requests with precedence is at most the number of reservations.
//
// The package reads no clock: callers pass the time. A time before an earlier one counts as the
// earlier one. The types aren't safe for concurrent use.
package returnschedule
