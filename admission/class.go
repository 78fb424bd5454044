package admission

import "time"

// class holds the waiting entries of one priority class, served by start-time
// fair queueing over its flows, and its credit from the minimum share.
type class struct {
	name     string
	minShare float64
	// rank is the position of the class in the strict order of priority; 0 is
	// the highest class.
	rank int
	// credit is the unused service time from the minimum share, for which the
	// class is served before higher classes.
	credit time.Duration
	// arrivalRate is the decayed rate at which entries arrive, measured by
	// their expected service time, in seconds per second.
	arrivalRate decayedRate

	flows map[string]*flow
	// startOrder orders backlogged flows by virtual start time.
	startOrder indexedHeap[*flow]
	// backlogOrder orders backlogged flows by weighted backlog, largest first.
	backlogOrder indexedHeap[*flow]
	// idleOrder orders flows without waiting entries by virtual finish time.
	idleOrder indexedHeap[*flow]
	// virtualTime is the virtual start time of the entry served last.
	virtualTime float64

	waiting     int
	waitingWork time.Duration
	// backloggedWeight is the sum of the weights of backlogged flows.
	backloggedWeight float64
}

func newClass(options ClassOptions, rank int) *class {
	return &class{
		name:     options.Name,
		minShare: options.MinShare,
		rank:     rank,
		flows:    make(map[string]*flow),
		startOrder: indexedHeap[*flow]{
			less:  startsBefore,
			index: func(f *flow) *int { return &f.startIndex },
		},
		backlogOrder: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.weightedBacklog() > b.weightedBacklog() },
			index: func(f *flow) *int { return &f.backlogIndex },
		},
		idleOrder: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.virtualFinish < b.virtualFinish },
			index: func(f *flow) *int { return &f.idleIndex },
		},
	}
}

// startsBefore orders backlogged flows by virtual start time, and equal ones
// by arrival.
func startsBefore(a, b *flow) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.head().arrivalNumber < b.head().arrivalNumber
}

// ensureFlow returns the account's flow, which it creates if needed, and sets
// the flow's weight to that of the ticket.
func (c *class) ensureFlow(t Ticket) *flow {
	f, ok := c.flows[t.Account]
	if !ok {
		f = newFlow(c, t.Account)
		c.flows[t.Account] = f
		c.idleOrder.push(f)
	}
	weight := float64(max(1, t.Weight))
	if f.waiting > 0 {
		c.backloggedWeight += weight - f.weight
	}
	f.weight = weight
	c.backlogOrder.fix(f)
	return f
}

func (c *class) add(e *Entry) {
	f := e.flow
	c.waiting++
	c.waitingWork += e.estimate
	f.append(e)
	if f.waiting > 1 {
		c.startOrder.fix(f)
		c.backlogOrder.fix(f)
		return
	}
	f.virtualStart = max(c.virtualTime, f.virtualFinish)
	c.backloggedWeight += f.weight
	c.idleOrder.remove(f)
	c.startOrder.push(f)
	c.backlogOrder.push(f)
}

// remove removes a waiting entry without charging its flow.
func (c *class) remove(e *Entry) {
	f := e.flow
	c.waiting--
	c.waitingWork -= e.estimate
	if f.waiting == 1 {
		c.backloggedWeight -= f.weight
		c.startOrder.remove(f)
		c.backlogOrder.remove(f)
		c.idleOrder.push(f)
		f.unlink(e)
		return
	}
	f.unlink(e)
	c.startOrder.fix(f)
	c.backlogOrder.fix(f)
}

// head returns the entry that fair queueing serves next. The class must have a
// waiting entry.
func (c *class) head() *Entry {
	return c.startOrder.min().head()
}

// chargeStart advances the class's virtual time to the virtual start time of an
// entry that starts to run, and charges the entry's cost to its flow.
func (c *class) chargeStart(f *flow, e *Entry) {
	c.virtualTime = f.virtualStart
	f.virtualFinish = f.virtualStart + e.cost()/f.weight
	f.virtualStart = f.virtualFinish
	if f.waiting > 0 {
		c.startOrder.fix(f)
	} else {
		c.idleOrder.fix(f)
	}
	c.removeIdleFlows()
}

// chargeImmediateStart is chargeStart for an entry that never waited.
func (c *class) chargeImmediateStart(e *Entry) {
	e.flow.virtualStart = max(c.virtualTime, e.flow.virtualFinish)
	c.chargeStart(e.flow, e)
}

// removeIdleFlows removes idle flows whose virtual finish time has passed; they
// would be served like new flows.
func (c *class) removeIdleFlows() {
	for c.idleOrder.len() > 0 && c.idleOrder.min().virtualFinish < c.virtualTime {
		f := c.idleOrder.min()
		c.idleOrder.remove(f)
		delete(c.flows, f.account)
	}
}
