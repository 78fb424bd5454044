package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testMemory = 4 << 20

func testLedger(connections int) *Ledger { return newTestLedger(testMemory, connections) }

func newTestLedger(memory int64, connections int) *Ledger {
	l := Limits{Memory: memory}
	l.Connections[Callers], l.Connections[Checks] = connections, 4
	return NewLedger(l)
}

// start is the time at which the tests begin.
var start = time.Unix(1_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// accept accepts a connection and takes it to a stage, with memory for its request.
func accept(t *testing.T, l *Ledger, s Stage, bytes int64, now time.Time) *Conn {
	t.Helper()
	c, _ := l.Accept(Callers, now)
	if c == nil {
		t.Fatal("connection rejected")
	}
	if s != Unused {
		l.SetStage(c, Head, now)
	}
	if bytes > 0 {
		if _, ok := l.Reserve(c, ForRequest, bytes, now); !ok {
			t.Fatalf("no %d bytes", bytes)
		}
	}
	if s != Unused && s != Head {
		l.SetStage(c, s, now)
	}
	return c
}

func TestConnectionsEndInTheirOrder(t *testing.T) {
	is := is.New(t)
	l := testLedger(6)
	serving := accept(t, l, Serving, 0, at(0))
	begun := accept(t, l, Body, 100, at(9.9))
	unread := accept(t, l, Writing, 0, at(0))
	idle := accept(t, l, Idle, 0, at(5))
	longIdle := accept(t, l, Idle, 0, at(1))
	stopped := accept(t, l, Head, 100, at(8))
	for _, want := range []*Conn{stopped, longIdle, idle, unread, begun} {
		c, ended := l.Accept(Callers, at(10))
		is.True(c != nil)
		is.Equal(ended, []*Conn{want})
		// A connection that is to end serves no further request.
		is.True(!l.SetStage(want, Serving, at(10)))
		l.Close(want)
		l.SetStage(c, Serving, at(10))
	}
	c, ended := l.Accept(Callers, at(10))
	is.True(c == nil) // all requests were read
	is.Equal(len(ended), 0)
	is.True(!serving.Yielding())
}

func TestMemoryIsTakenFromWhoHasHeldTheMostForTheLongest(t *testing.T) {
	is := is.New(t)
	l := testLedger(100)
	old := accept(t, l, Body, 700<<10, at(0))
	small := accept(t, l, Body, 1<<10, at(0))
	large := accept(t, l, Body, 900<<10, at(1))
	caller := accept(t, l, Body, 0, at(3))
	ended, ok := l.Reserve(caller, ForRequest, 500<<10, at(3))
	is.True(ok)
	is.Equal(ended, []*Conn{old})
	is.True(!small.Yielding() && !large.Yielding())
}

func TestConnectionThatHoldsTheMostIsRefusedItself(t *testing.T) {
	is := is.New(t)
	l := testLedger(100)
	first := accept(t, l, Body, 300<<10, at(0))
	second := accept(t, l, Body, 1400<<10, at(0))
	ended, ok := l.Reserve(second, ForRequest, 800<<10, at(5))
	is.True(!ok)
	is.Equal(len(ended), 0)
	is.True(!first.Yielding())
}

func TestRequestsThatWereReadLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	l := testLedger(100)
	for {
		c, _ := l.Accept(Callers, at(0))
		if _, ok := l.Reserve(c, ForRequest, 300<<10, at(0)); !ok {
			l.Close(c)
			break
		}
		l.SetStage(c, Serving, at(0))
	}
	small := accept(t, l, Body, 10<<10, at(1))
	_, ok := l.Reserve(small, ForRequest, 300<<10, at(1))
	is.True(!ok)
	_, ok = l.Reserve(small, ForAnswer, 1<<20, at(1))
	is.True(ok) // what was read is answered
}

// Answers of upstreams that don't end took the memory of callers: requests that had just begun were ended, and new ones
// rejected.
func TestAnswersThatGrowLeaveRoomForSmallRequests(t *testing.T) {
	for _, size := range []int64{20 << 10, 60 << 10, 1 << 20} {
		is := is.New(t)
		l := newTestLedger(64*testMemory, 10_000)
		begun := accept(t, l, Body, 1<<10, at(2))
		late := accept(t, l, Body, 1<<10, at(0)) // a busy host reads a request late, too
		for range 1000 {
			reader := accept(t, l, Serving, 1<<10, at(0))
			if ended, _ := l.Reserve(reader, ForAnswer, size, at(2)); len(ended) > 0 {
				t.Fatalf("%d requests ended", len(ended))
			}
		}
		is.True(!begun.Yielding() && !late.Yielding())
		room := 0
		for {
			c, ended := l.Accept(Callers, at(0))
			if c == nil || len(ended) > 0 {
				break
			}
			l.SetStage(c, Head, at(0))
			if ended, ok := l.Reserve(c, ForRequest, ServingBytes+1<<10, at(0)); !ok || len(ended) > 0 {
				break
			}
			l.SetStage(c, Serving, at(0))
			_, ok := l.Reserve(c, ForAnswer, 4<<10, at(0))
			is.True(ok) // its first bytes
			room++
		}
		is.True(room >= 100)
	}
}

func TestClosedConnectionTakesNoMemory(t *testing.T) {
	is := is.New(t)
	l := testLedger(4)
	c := accept(t, l, Body, 10<<10, at(0))
	l.Close(c)
	l.Close(c)
	l.Release(c, ForRequest, 10<<10)
	_, ok := l.Reserve(c, ForRequest, 1, at(0))
	is.True(!ok)
	is.Equal(l.Used(), int64(0))
	is.Equal(l.Open(Callers), 0)
}

// A single body as large as MaxBody states is read while its buffer grows, also by doubling.
func TestSingleLargeBodyIsReadInCalm(t *testing.T) {
	is := is.New(t)
	l := testLedger(4)
	c := accept(t, l, Body, 1<<10, at(0))
	size := int64(4 << 10)
	_, ok := l.Reserve(c, ForRequest, size, at(0))
	is.True(ok)
	limits := l.Limits()
	most := limits.MaxBody(0)
	for size < most {
		next := min(2*size, most)
		_, ok := l.Reserve(c, ForRequest, next, at(0))
		is.True(ok)
		l.Release(c, ForRequest, size)
		size = next
	}
}
