// Package ratelease bounds what an upstream is sent by all hosts together.
//
// Two loads call for it. An upstream that just started is idle, so every host believes it
// the best place for its next request; it tolerates few requests a second while it is cold,
// and ends at a rate well above that (Bound). An upstream in need names the rate that it
// takes of all hosts in its answers (Limit); each host learns of it by its own answers, and
// dozens of hosts that each keep the limit send dozens of times as much.
//
// The permitted requests are split between the roots of the hosts' tree of hubs, by their
// number in the settings, which all hosts know. Each host hands what it holds on to one of
// those that report to it, as a lease: a holder that is cut off, frozen or gone loses it by
// its own clock, before another one can have it. A host that just started hands on nothing
// until the leases of its former run are over. So the bound holds whatever hosts believe of
// each other, and no request waits for a call.
//
// The package decides only: time and messages are its callers'.
package ratelease
