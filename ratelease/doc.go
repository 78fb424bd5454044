// Package ratelease limits the rate at which all hosts together send requests to one upstream.
//
// It serves two cases. An upstream that has just started is idle, so every host ranks it as the
// best place for its next request; while it is cold it tolerates only a few requests a second,
// and at a rate well above that it terminates (ColdBound). An overloaded upstream names in its
// responses the rate that it accepts from all hosts together (Limit); each host learns the rate
// from its own responses only, and dozens of hosts that each keep to it send dozens of times as
// much.
//
// The permitted requests are divided evenly between the root hubs, whose number is in the
// settings and thus known to all hosts. Each host leases the requests that it holds, in parts, to
// hosts that report to it, each part to one host at a time. The lease of a holder that is
// disconnected, frozen or gone expires by the holder's own clock before another host can get the
// part. A host that has just started grants nothing until the leases of its previous run have
// expired. The limits therefore hold even while hosts disagree on which hosts are alive, and no
// request waits for a remote call.
//
// The package does no input or output: callers supply the time and exchange the messages.
package ratelease
