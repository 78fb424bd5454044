// Package routing compiles the operators' routing document into a lookup table:
// which host and path prefix are routed to which service, which callers are
// permitted, and which time limits apply.
//
// A Table is immutable. A gateway holds the newest table in an atomic pointer. A
// request uses the table that was current when it arrived until it ends.
package routing
