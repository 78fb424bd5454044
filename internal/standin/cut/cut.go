// Package cut breaks connections at chosen points of an exchange. The
// stand-ins of engines and services share it.
//
// A cut loses no byte that was passed on before it; whether the other side read
// it is open.
package cut

import (
	"io"
	"net/http"
	"sync"
)

// Boundary is a point of an exchange at which the connection is cut.
type Boundary string

const (
	// BeforeHead cuts before the request's head is read.
	BeforeHead Boundary = "before-head"
	// AfterHead cuts when the head was read and nothing of the body.
	AfterHead Boundary = "after-head"
	// MidBody cuts when half of the body was read.
	MidBody Boundary = "mid-body"
	// BeforeAnswer cuts when the request began to run, before its answer.
	BeforeAnswer Boundary = "before-answer"
	// MidAnswer cuts within the answer.
	MidAnswer Boundary = "mid-answer"
)

// Boundaries are all boundaries in the order of an exchange.
func Boundaries() []Boundary {
	return []Boundary{BeforeHead, AfterHead, MidBody, BeforeAnswer, MidAnswer}
}

// Plan says where to cut and how often.
type Plan struct {
	// At is the boundary; empty means no cut.
	At Boundary `json:"at,omitempty"`
	// Times is how many exchanges are cut; 0 means none.
	Times int `json:"times,omitempty"`
	// Frames is how much of an answer goes out before a cut at MidAnswer, in
	// frames.
	Frames int `json:"frames,omitempty"`
}

// Cutter carries out a plan. The zero value cuts nothing. It is safe for
// concurrent use.
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

// Take says whether to cut this exchange at the boundary, and uses up one of
// the plan's times if so.
func (c *Cutter) Take(at Boundary) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plan.At != at || c.plan.Times <= 0 {
		return false
	}
	c.plan.Times--
	return true
}

// Frames returns how many frames go out before a cut at MidAnswer.
func (c *Cutter) Frames() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.Frames
}

// Now cuts the connection of the handler that calls it.
func Now() {
	panic(http.ErrAbortHandler)
}

// ReadBody reads the whole body, unless the plan cuts before its end.
func (c *Cutter) ReadBody(r *http.Request) ([]byte, error) {
	if c.Take(AfterHead) {
		Now()
	}
	if c.Take(MidBody) {
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		Now()
	}
	return io.ReadAll(r.Body)
}
