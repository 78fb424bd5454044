package intake

import "slices"

// Group is a set of listeners whose connections have a common limit.
type Group int

const (
	// Callers are the connections of callers.
	Callers Group = iota
	// Checks are the connections of load balancers, metrics collectors and operators. They may take the
	// memory that is left when callers have taken all that they may.
	Checks
	groupCount
)

// String returns the group's name in logs and metrics.
func (g Group) String() string {
	if g == Checks {
		return "checks"
	}
	return "callers"
}

// Limits are the limits of a Ledger.
type Limits struct {
	// Memory is the memory that all connections may take, in bytes.
	Memory int64
	// Connections is the maximum number of connections of each group.
	Connections [groupCount]int
}

const (
	// ConnectionBytes is the memory that is accounted for a connection: its goroutine, its buffers and
	// what the HTTP server keeps for it.
	ConnectionBytes = 24 << 10
	// ServingBytes is the memory that is accounted for a request that is being served, beside its head and
	// body: the connection to its upstream and what is recorded of it.
	ServingBytes = 16 << 10
	// MinimalAnswer is the size up to which an answer may take all that is left, in bytes.
	MinimalAnswer = 4 << 10
	// mediumAnswer is the size of an answer of a few kilobytes with the buffer that it is copied from, in bytes.
	mediumAnswer = 16 << 10
	// Small is the size up to which a request or an answer counts as small, in bytes.
	Small = 64 << 10
	// memoryPart is the part of a process's memory that callers may take, as a divisor. Half of the memory
	// is left to the rest of the process, and the garbage collector lets the heap grow to twice its size.
	memoryPart = 4
	// minConnections is the least number of connections of a group.
	minConnections = 16
	// maxChecks is the number of connections of the group Checks.
	maxChecks = 64
	// yieldingPart is the part of a limit that connections may take beyond it while they are being ended,
	// as a divisor.
	yieldingPart = 8
)

// Sockets divides the sockets that a process may open.
type Sockets struct {
	// Callers and Checks are the maximum numbers of connections of these groups.
	Callers, Checks int
	// IdleUpstreams is the maximum number of unused connections to upstreams. Each request that is being
	// served needs one more.
	IdleUpstreams int
	// Peers is the maximum number of connections that other hosts open.
	Peers int
}

// DivideSockets divides the given number of sockets: as many for connections to upstreams as for callers,
// and some for other hosts, the store and checks.
func DivideSockets(total int) Sockets {
	part := func(percent int) int { return max(minConnections, total*percent/100) }
	return Sockets{
		Callers:       part(25),
		Checks:        min(maxChecks, max(minConnections, total/100)),
		IdleUpstreams: part(10),
		Peers:         part(20),
	}
}

// NewLimits returns the limits of a process with the given memory, in bytes, and sockets.
func NewLimits(memory int64, sockets Sockets) Limits {
	l := Limits{Memory: memory / memoryPart}
	l.Connections[Callers], l.Connections[Checks] = sockets.Callers, sockets.Checks
	return l
}

// MaxBody returns the size of the largest body that can be read and of which the given number of copies can
// be made, in bytes; at least one, since a body is copied while its buffer grows.
func (l *Limits) MaxBody(copies int) int64 {
	return max(0, l.largeRequests()/int64(1+max(1, copies))-Small)
}

// largeRequests is the memory up to which reservations for large requests are granted, in bytes.
func (l *Limits) largeRequests() int64 { return l.Memory / 2 }

// sixteenths is the divisor of the parts of the memory below.
const sixteenths = 16

const (
	// smallRequestParts are the parts of the memory that small requests may take, and ignoredAnswerParts those that
	// answers may take beside them. Answers may take more than that, but not all that requests may take.
	smallRequestParts  = 12
	ignoredAnswerParts = 3
)

// answerParts are the parts of the memory up to which reservations for answers of a size are granted.
type answerParts struct {
	// maxSize is the largest size of these answers, in bytes; 0 for any.
	maxSize int64
	// shared is what answers and requests may take together. reserved is what answers may take beside requests in any
	// case, as long as both don't take more than most.
	shared, reserved, most int64
}

// answerLimits are the parts for answers above MinimalAnswer. The larger answers are the less they may take, since many of
// them may not end, and a request that was read is to be answered.
var answerLimits = []answerParts{
	{maxSize: mediumAnswer, shared: 13, reserved: 5, most: 15},
	{maxSize: Small, shared: 12, reserved: 4, most: 14},
	{shared: 10, reserved: 4, most: 14},
}

// smallRequestsBeside is the memory up to which reservations for small requests are granted, in bytes, beside answers
// that take the given memory.
func (l *Limits) smallRequestsBeside(answers int64) int64 {
	return l.parts(smallRequestParts) + min(answers, l.parts(ignoredAnswerParts))
}

// answersBeside is the memory up to which reservations for an answer of the given size are granted, in bytes, beside
// requests that take the given memory.
func (l *Limits) answersBeside(requests, size int64) int64 {
	i := slices.IndexFunc(answerLimits, func(p answerParts) bool { return p.maxSize == 0 || size <= p.maxSize })
	p := answerLimits[i]
	return min(l.parts(p.most), max(l.parts(p.shared), requests+l.parts(p.reserved)))
}

func (l *Limits) parts(n int64) int64 { return l.Memory * n / sixteenths }
