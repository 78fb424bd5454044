// Package claim makes a keyed request run at most once, whichever hosts its
// repeats arrive at, and gives each repeat the whole answer of the first run.
//
// Before a host sends anything upstream it claims the request's key by a
// conditional write to the platform's table. The claim belongs to one process
// for good: nobody takes it over, neither after a timeout nor after the owner
// died, since an owner that is only paused may still send. A repeat is told
// what is known instead: the answer, that the request is in flight, or that it
// may have run. docs/design/0008-claims.md gives the reasons and the costs.
//
// The entry host embeds it. It doesn't promise that a request ran: after a
// failure a repeat may be told only that it may have run. Once a key's rows
// have expired and been swept, the key is new.
package claim
