package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayCaller is a caller of the replay. Ordinary ones send a small request and read its answer; the others
// stop in a stage.
type replayCaller struct {
	conn     *Conn
	ordinary bool
	stopsIn  Stage
	// bytes is what the caller sends in each step until size is sent.
	bytes, size, sent int64
	step              int
}

// replay lets a crowd and ordinary callers use a ledger in steps of virtual time.
type replay struct {
	t       *testing.T
	random  *rand.Rand
	ledger  *Ledger
	now     time.Time
	callers []*replayCaller
	// refused is the number of ordinary requests that weren't served, served that of those that were.
	refused, served int
	// decisions has the number of connections that ended in each step.
	decisions []int
	ended     int
}

const (
	replayStep  = 20 * time.Millisecond
	replaySteps = 1500
	// replayConnections and replayMemory are the limits, replayCrowd is the number of callers that a crowd opens
	// in each step.
	replayConnections = 200
	replayMemory      = 16 << 20
	replayCrowd       = 6
	// replayServing is the number of steps in which an ordinary request is served.
	replayServing = 5
)

func newReplay(t *testing.T, seed uint64) *replay {
	return &replay{t: t, random: rand.New(rand.NewPCG(seed, 74)), ledger: newTestLedger(replayMemory, replayConnections), now: start}
}

// end ends connections as a server does: those that the ledger chose close in the same step.
func (r *replay) end(conns []*Conn) {
	for _, c := range conns {
		caller := c.Owner.(*replayCaller)
		if c.Stage() == Serving {
			r.t.Fatal("a request that was read is ended")
		}
		r.ended++
		if caller.ordinary && c.Stage() != Idle {
			r.refused++
		}
		r.ledger.Close(c)
		caller.conn = nil
	}
}

func (r *replay) open(caller *replayCaller) {
	c, ended := r.ledger.Accept(Callers, r.now)
	r.end(ended)
	if c == nil {
		if caller.ordinary {
			r.refused++
		}
		return
	}
	c.Owner, caller.conn = caller, c
	r.callers = append(r.callers, caller)
}

func (r *replay) reserve(caller *replayCaller, u Use, bytes int64) bool {
	ended, ok := r.ledger.Reserve(caller.conn, u, bytes, r.now)
	r.end(ended)
	if !ok && caller.conn != nil {
		if caller.ordinary {
			r.refused++
		}
		r.ledger.Close(caller.conn)
		caller.conn = nil
	}
	return ok
}

// drawCrowdCaller returns a caller that stops in the middle of a request or of its answer.
func (r *replay) drawCrowdCaller() *replayCaller {
	caller := &replayCaller{stopsIn: []Stage{Unused, Head, Body, Body, Serving, Writing}[r.random.IntN(6)]}
	caller.size = 1 + r.random.Int64N(2<<10)
	if caller.stopsIn == Body || caller.stopsIn == Writing {
		caller.size = 1 + r.random.Int64N(512<<10)
	}
	caller.bytes = 1 + r.random.Int64N(caller.size)
	return caller
}

// advance lets a caller do what it does in a step.
func (r *replay) advance(caller *replayCaller) {
	caller.step++
	c := caller.conn
	switch {
	case c.Stage() == caller.stopsIn && !caller.ordinary && (caller.stopsIn == Unused || caller.sent >= caller.size):
		// A crowd's requests that are being served end at their deadlines.
		if caller.stopsIn == Serving && caller.step > 150 {
			r.ledger.Close(c)
			caller.conn = nil
		}
	case c.Stage() == Unused:
		r.ledger.SetStage(c, Head, r.now)
		if r.reserve(caller, ForRequest, 2<<10) && caller.stopsIn != Head {
			r.ledger.SetStage(c, Body, r.now)
		}
	case caller.sent < caller.size:
		part := min(caller.bytes, caller.size-caller.sent)
		caller.sent += part
		if !r.reserve(caller, ForRequest, part) || caller.sent < caller.size || caller.stopsIn == Body || caller.stopsIn == Head {
			return
		}
		r.ledger.SetStage(c, Serving, r.now)
		caller.step = 0
	case c.Stage() == Serving && caller.step >= replayServing:
		if !r.reserve(caller, ForAnswer, 8<<10) {
			return
		}
		r.ledger.SetStage(c, Writing, r.now)
		if caller.ordinary {
			r.served++
			r.ledger.SetStage(c, Idle, r.now)
		}
	}
}

func (r *replay) run() {
	for range replaySteps {
		r.now, r.ended = r.now.Add(replayStep), 0
		for range r.random.IntN(replayCrowd + 1) {
			r.open(r.drawCrowdCaller())
		}
		r.open(&replayCaller{ordinary: true, stopsIn: Idle, size: 2 << 10, bytes: 2 << 10})
		open := r.callers[:0]
		for _, caller := range r.callers {
			if caller.conn != nil {
				r.advance(caller)
			}
			if caller.conn != nil {
				open = append(open, caller)
			}
		}
		r.callers = open
		r.decisions = append(r.decisions, r.ended)
		if r.ledger.Used() > replayMemory {
			r.t.Fatalf("%d bytes are used, %d may be", r.ledger.Used(), replayMemory)
		}
		if n := r.ledger.Open(Callers); n > replayConnections {
			r.t.Fatalf("%d connections, %d may be", n, replayConnections)
		}
	}
}

// Crowds of callers that open connections, stop in the middle of heads and bodies, and don't read their
// answers, take all memory and connections. Small requests of ordinary callers are still read and answered,
// and no request that was read is ended.
func TestOrdinaryCallersAreServedBesideACrowd(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		r := newReplay(t, seed)
		r.run()
		is.True(r.served > replaySteps*9/10)
		is.Equal(r.refused, 0)
		again := newReplay(t, seed)
		again.run()
		is.Equal(r.decisions, again.decisions)
	}
}
