// Package routing holds the operators' routing document in the form that
// requests are decided by: which host and path lead to which service, who may
// call, and within what time.
//
// A Table is immutable. A gateway keeps the newest one in an atomic pointer and
// each request uses the one that it found when it arrived.
package routing
