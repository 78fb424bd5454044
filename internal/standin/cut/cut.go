// Package cut closes connections at chosen points of an HTTP exchange. The
// stand-ins for engines and services share it.
//
// Bytes written before the cut are still sent; whether the peer reads them is
// not guaranteed.
package cut

import (
	"io"
	"net/http"
	"sync"
)

// Boundary is a point of an HTTP exchange at which the connection is closed.
type Boundary string

const (
	// BeforeHead cuts before the handler receives the request: its first
	// bytes are discarded.
	BeforeHead Boundary = "before-head"
	// AfterHead cuts after the request header and before the body is read.
	AfterHead Boundary = "after-head"
	// MidBody cuts after half of the request body is read.
	MidBody Boundary = "mid-body"
	// BeforeAnswer cuts after the request has started to run and before any
	// byte of the response is sent.
	BeforeAnswer Boundary = "before-answer"
	// MidAnswer cuts after a part of the response is sent.
	MidAnswer Boundary = "mid-answer"
)

// Boundaries returns all boundaries in the order in which an exchange reaches
// them.
func Boundaries() []Boundary {
	return []Boundary{BeforeHead, AfterHead, MidBody, BeforeAnswer, MidAnswer}
}

// Plan configures where to cut and how often.
type Plan struct {
	// At is the boundary; empty means no cut.
	At Boundary `json:"at,omitempty"`
	// Times is how many of the next exchanges are cut; 0 means none.
	Times int `json:"times,omitempty"`
	// Frames is the number of frames of a streamed answer that are sent before
	// a cut at MidAnswer.
	Frames int `json:"frames,omitempty"`
}

// Cutter counts down the cuts of a plan. The zero value cuts nothing. It is
// safe for concurrent use.
type Cutter struct {
	mu   sync.Mutex
	plan Plan
}

// Set replaces the plan.
func (c *Cutter) Set(plan Plan) {
	c.mu.Lock()
	c.plan = plan
	c.mu.Unlock()
}

// Take reports whether the caller must cut this exchange at the boundary; if
// so, it decrements the number of remaining cuts.
func (c *Cutter) Take(at Boundary) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plan.At != at || c.plan.Times <= 0 {
		return false
	}
	c.plan.Times--
	return true
}

// Frames returns the number of frames to send before a cut at MidAnswer.
func (c *Cutter) Frames() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.Frames
}

// Abort aborts the HTTP handler that calls it, which closes its connection.
func Abort() {
	panic(http.ErrAbortHandler)
}

// ReadBody reads the whole request body, or cuts the connection if the plan
// has a cut at AfterHead or MidBody.
func (c *Cutter) ReadBody(r *http.Request) ([]byte, error) {
	if c.Take(AfterHead) {
		Abort()
	}
	if c.Take(MidBody) {
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		Abort()
	}
	return io.ReadAll(r.Body)
}
