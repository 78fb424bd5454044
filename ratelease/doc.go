// Package warmup bounds what cold upstreams are sent by all hosts together.
//
// The load that it answers: an upstream that just started is idle, so every host believes
// it the best place for its next request. It tolerates few requests a second while it is
// cold, and ends at a rate well above that; when the upstreams of a whole availability
// zone return, those of a burst meet it within one second.
//
// The permitted number is split between the roots of the hosts' tree of hubs, by their
// number in the settings, which all know without a word. Each host hands what it holds on
// to one of those that report to it, as a lease: a holder that is cut off, frozen or gone
// loses it by its own clock, before another one can have it. A host that just started
// hands on nothing until the leases of its former run are over. So the bound holds
// whatever hosts believe of each other, and no request waits for a call.
//
// The package decides only: time and messages are its callers'.
package warmup
