// Package routing compiles the operators' routing document into a lookup table:
// which host and path prefix are routed to which service, which callers are
// permitted, and which time limits apply.
//
// A Table is immutable. A gateway holds the newest one in an atomic pointer, and
// each request uses the table that was current at its arrival throughout.
package routing
