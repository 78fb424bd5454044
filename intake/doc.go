// Package intake bounds the memory and the connections that callers take of a host, and decides which
// connections are ended when either is short.
//
// A Ledger accounts all that callers take before and while they are served: connections, heads, bodies
// while they are read and while they are held, and answers until they are written. It does no I/O and is
// given the time, so that its decisions can be replayed. Package httpintake applies them to HTTP servers.
//
// A request that was read whole keeps its memory until it is answered. What ends first are requests that
// have been incomplete for long, then connections without a request, then answers that their callers don't
// read, and at last requests that have just begun. Large bodies leave a part of the memory to smaller
// requests, and requests leave a part to answers.
package intake
