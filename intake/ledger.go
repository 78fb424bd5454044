package intake

import (
	"iter"
	"slices"
	"time"
)

// Stage is what a connection is in the middle of.
type Stage uint8

const (
	// Unused is a connection on which nothing has been received.
	Unused Stage = iota
	// Head is a connection on which a part of a request's head has been received.
	Head
	// Body is a connection with a request whose body isn't complete.
	Body
	// Serving is a connection with a request that was read whole.
	Serving
	// Writing is a connection with an answer that its caller hasn't read whole.
	Writing
	// Idle is a connection between two requests.
	Idle
)

// String returns the stage's name in logs and metrics.
func (s Stage) String() string {
	return [...]string{"unused", "head", "body", "serving", "writing", "idle"}[s]
}

// Use is what memory is reserved for.
type Use int

const (
	// ForRequest is memory for a request's head or body.
	ForRequest Use = iota
	// ForAnswer is memory for the answer to a request that was read.
	ForAnswer
)

// Patience is how long a caller may take for a request, or pause in reading an answer, before its
// connection is among the first that are ended when memory or connections are short. Requests that fit a
// few packets arrive in much less.
const Patience = time.Second

// Conn is a connection in a Ledger.
type Conn struct {
	// Owner is for the ledger's user.
	Owner any

	group Group
	stage Stage
	// since is when the stage began. For Head and Body it is when the request began, for Writing when the
	// caller last read something.
	since time.Time
	// request and answer are the memory reserved for them, in bytes.
	request, answer int64
	// yielding is set once the connection is to end, closed once it has ended.
	yielding, closed bool
	// index is the connection's place in Ledger.conns.
	index int
}

// Stage returns the connection's stage.
func (c *Conn) Stage() Stage { return c.stage }

// Group returns the connection's group.
func (c *Conn) Group() Group { return c.group }

// Yielding reports whether the connection is to end.
func (c *Conn) Yielding() bool { return c.yielding }

// reserved returns the memory reserved for the use.
func (c *Conn) reserved(u Use) *int64 {
	if u == ForAnswer {
		return &c.answer
	}
	return &c.request
}

func (c *Conn) memory() int64 { return ConnectionBytes + c.request + c.answer }

// Ledger accounts the connections and the memory that callers take. It isn't safe for concurrent use.
type Ledger struct {
	limits Limits
	conns  []*Conn
	// used is the memory of all connections, in bytes; answers is that of their answers, yielding that of the
	// connections that are to end.
	used, answers, yielding int64
	// open is the number of connections of each group; ending is that of those that are to end.
	open, ending [groupCount]int
	// candidates is reused by yield.
	candidates []candidate
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger { return &Ledger{limits: limits} }

// Limits returns the ledger's limits.
func (l *Ledger) Limits() Limits { return l.limits }

// Used returns the memory that is accounted, in bytes.
func (l *Ledger) Used() int64 { return l.used }

// Open returns the number of connections of the group.
func (l *Ledger) Open(g Group) int { return l.open[g] }

// InStage returns the connections that are in the stage.
func (l *Ledger) InStage(s Stage) iter.Seq[*Conn] {
	return func(yield func(*Conn) bool) {
		for _, c := range l.conns {
			if c.stage == s && !yield(c) {
				return
			}
		}
	}
}

// Accept accounts a new connection. It returns nil if the connection has to be rejected. The connections
// that have to end in any case are returned.
func (l *Ledger) Accept(g Group, now time.Time) (c *Conn, ended []*Conn) {
	c = &Conn{group: g, since: now}
	most := l.limits.Connections[g]
	if l.open[g] >= most+max(1, most/yieldingPart) {
		return nil, nil
	}
	if l.open[g]-l.ending[g] >= most {
		ended = l.yieldSlot(g, now)
		if ended == nil {
			return nil, nil
		}
	}
	more, ok := l.makeRoom(c, ForRequest, ConnectionBytes, now)
	ended = append(ended, more...)
	if !ok {
		return nil, ended
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	l.open[g]++
	l.used += ConnectionBytes
	return c, ended
}

// Close removes a connection and frees its memory. Further calls have no effect.
func (l *Ledger) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	last := l.conns[len(l.conns)-1]
	l.conns[c.index], last.index = last, c.index
	l.conns[len(l.conns)-1] = nil
	l.conns = l.conns[:len(l.conns)-1]
	l.open[c.group]--
	l.used -= c.memory()
	l.answers -= c.answer
	if c.yielding {
		l.ending[c.group]--
		l.yielding -= c.memory()
	}
}

// SetStage sets the connection's stage. It returns false if the connection is to end, for which it may have
// been chosen by its stage before.
func (l *Ledger) SetStage(c *Conn, s Stage, now time.Time) bool {
	if c.yielding || c.closed {
		return false
	}
	if s != Body || c.stage != Head {
		c.since = now // a body continues the request that its head began
	}
	if s == Idle {
		l.ReleaseAll(c)
	}
	c.stage = s
	return true
}

// Progress records that the caller read a part of its answer.
func (l *Ledger) Progress(c *Conn, now time.Time) { c.since = now }

// Reserve accounts memory for a connection, in bytes. ok is false if there is none; the connections that
// have to end in any case are returned.
func (l *Ledger) Reserve(c *Conn, u Use, bytes int64, now time.Time) (ended []*Conn, ok bool) {
	if c.yielding || c.closed {
		return nil, false
	}
	ended, ok = l.makeRoom(c, u, bytes, now)
	if !ok {
		return ended, false
	}
	l.add(c, u, bytes)
	return ended, true
}

// Release frees memory of a connection, in bytes. What was freed already isn't freed again.
func (l *Ledger) Release(c *Conn, u Use, bytes int64) {
	if c.closed {
		return
	}
	bytes = min(bytes, *c.reserved(u))
	l.add(c, u, -bytes)
	if c.yielding {
		l.yielding -= bytes
	}
}

// add adds memory to what a connection takes, in bytes, which may be negative.
func (l *Ledger) add(c *Conn, u Use, bytes int64) {
	*c.reserved(u) += bytes
	l.used += bytes
	if u == ForAnswer {
		l.answers += bytes
	}
}

// limitFor returns the memory up to which a reservation is granted, in bytes.
func (l *Ledger) limitFor(c *Conn, u Use, bytes int64) int64 {
	size := *c.reserved(u) + bytes
	switch {
	case u == ForAnswer && size <= MinimalAnswer, c.group == Checks && size <= Small:
		return l.limits.Memory
	case u == ForAnswer:
		return l.limits.answersBeside(l.used-l.answers, size)
	case size <= Small:
		return l.limits.smallRequestsBeside(l.answers)
	default:
		return l.limits.largeRequests()
	}
}

// makeRoom reports whether the memory is available for a connection, after the ends of the connections that
// it returns.
func (l *Ledger) makeRoom(c *Conn, u Use, bytes int64, now time.Time) (ended []*Conn, ok bool) {
	limit := l.limitFor(c, u, bytes)
	if l.yielding > 0 && l.used+bytes > limit+l.limits.Memory/yieldingPart {
		return nil, false // connections that were chosen to end haven't ended yet
	}
	over := l.used - l.yielding + bytes - limit
	if over <= 0 {
		return nil, true
	}
	return l.yieldMemory(c, u, over, *c.reserved(u)+bytes, now)
}

// candidate is a connection that may be chosen to end.
type candidate struct {
	conn *Conn
	// order is the order of its kind, lower ones end first; weight is the order within a kind, higher ones
	// end first.
	order  int
	weight float64
}

// Orders in which connections end.
const (
	orderIncomplete = iota // a request that has been incomplete for longer than Patience
	orderIdle
	orderUnread // an answer of which nothing has been read for longer than Patience
	orderBegun  // a request that has just begun
	orderNever
)

func (c *Conn) order(now time.Time) int {
	late := now.Sub(c.since) >= Patience
	switch {
	case c.yielding, c.stage == Serving:
		return orderNever
	case c.stage == Idle:
		return orderIdle
	case c.stage == Writing && late:
		return orderUnread
	case c.stage == Writing:
		return orderNever
	case late:
		return orderIncomplete
	default:
		return orderBegun
	}
}

// listCandidates lists the connections that may end, in the order in which they do.
func (l *Ledger) listCandidates(now time.Time, weight func(*Conn) float64) []candidate {
	l.candidates = l.candidates[:0]
	for _, c := range l.conns {
		if order := c.order(now); order < orderNever {
			l.candidates = append(l.candidates, candidate{conn: c, order: order, weight: weight(c)})
		}
	}
	slices.SortFunc(l.candidates, func(a, b candidate) int {
		switch {
		case a.order != b.order:
			return a.order - b.order
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	return l.candidates
}

// batchPart is the part of the limits that late requests and unused connections free at once, as a divisor, so
// that candidates aren't listed for each reservation.
const batchPart = 64

// yieldMemory chooses connections to end that together take the given memory, in bytes. Within a kind, the
// connections end first that have taken the most memory for the longest. If the connection that needs the
// memory is itself among them, none ends, and ok is false. A large request ends no small one that has just
// begun, and an answer ends no request but for its first bytes. size is what the connection takes then, in
// bytes.
func (l *Ledger) yieldMemory(self *Conn, u Use, bytes, size int64, now time.Time) (ended []*Conn, ok bool) {
	batch := max(bytes, l.limits.Memory/batchPart)
	freed := int64(0)
	for _, cand := range l.listCandidates(now, func(c *Conn) float64 { return float64(c.memory()) * now.Sub(c.since).Seconds() }) {
		if freed >= bytes && (cand.order > orderIdle || freed >= batch) {
			break
		}
		if cand.conn == self {
			if freed < bytes {
				return nil, false
			}
			continue
		}
		if cand.spares(u, size) {
			continue
		}
		freed += cand.conn.memory()
		ended = append(ended, cand.conn)
	}
	if freed < bytes {
		return nil, false
	}
	l.end(ended)
	return ended, true
}

// spares reports whether a candidate doesn't end for a use of the given size, in bytes.
func (c candidate) spares(u Use, size int64) bool {
	if u == ForAnswer {
		return size > MinimalAnswer && (c.order == orderIncomplete || c.order == orderBegun)
	}
	return c.order == orderBegun && size > Small && c.conn.request <= Small
}

// yieldSlot chooses connections of the group to end, so that another one can be accepted. Within a kind,
// the oldest end first.
func (l *Ledger) yieldSlot(g Group, now time.Time) (ended []*Conn) {
	batch := max(1, l.limits.Connections[g]/batchPart)
	for _, cand := range l.listCandidates(now, func(c *Conn) float64 { return now.Sub(c.since).Seconds() }) {
		if len(ended) > 0 && (cand.order > orderIdle || len(ended) >= batch) {
			break
		}
		if cand.conn.group == g {
			ended = append(ended, cand.conn)
		}
	}
	l.end(ended)
	return ended
}

func (l *Ledger) end(conns []*Conn) {
	for _, c := range conns {
		c.yielding = true
		l.yielding += c.memory()
		l.ending[c.group]++
	}
}

// ReleaseAll frees the memory of the connection's request and answer.
func (l *Ledger) ReleaseAll(c *Conn) {
	l.Release(c, ForRequest, c.request)
	l.Release(c, ForAnswer, c.answer)
}
