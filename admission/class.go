package admission

import "time"

// class is the waiting work of one priority class: start-time fair queueing
// over its flows, and its account of the minimum share.
type class struct {
	name     string
	minShare float64
	// rank is the place in strict order, 0 first.
	rank int
	// credit is the service time that the class may claim before higher ones.
	credit time.Duration
	// arrivals is the service time asked for per second, a decayed average.
	arrivals rate

	flows map[string]*flow
	// serve orders backlogged flows by virtual start time.
	serve indexedHeap[*flow]
	// backlogs orders backlogged flows by backlog, largest first.
	backlogs indexedHeap[*flow]
	// idle orders flows without entries by virtual finish time.
	idle indexedHeap[*flow]
	// virtual is the start time of the entry served last.
	virtual float64

	count int
	work  time.Duration
	// weight is the sum over backlogged flows.
	weight float64
}

func newClass(options ClassOptions, rank int) *class {
	return &class{
		name:     options.Name,
		minShare: options.MinShare,
		rank:     rank,
		flows:    make(map[string]*flow),
		serve: indexedHeap[*flow]{
			less:  servedBefore,
			index: func(f *flow) *int { return &f.serveIndex },
		},
		backlogs: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.backlog() > b.backlog() },
			index: func(f *flow) *int { return &f.backlogIndex },
		},
		idle: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.finish < b.finish },
			index: func(f *flow) *int { return &f.idleIndex },
		},
	}
}

// servedBefore orders backlogged flows by virtual start time, and equal ones
// by arrival.
func servedBefore(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.head().seq < b.head().seq
}

// flowOf returns the account's flow, with the weight of its latest ticket.
func (c *class) flowOf(t Ticket) *flow {
	f, ok := c.flows[t.Account]
	if !ok {
		f = newFlow(c, t.Account)
		c.flows[t.Account] = f
		c.idle.push(f)
	}
	weight := float64(max(1, t.Weight))
	if f.count > 0 {
		c.weight += weight - f.weight
	}
	f.weight = weight
	c.backlogs.fix(f)
	return f
}

func (c *class) add(e *Entry) {
	f := e.flow
	c.count++
	c.work += e.estimate
	f.append(e)
	if f.count > 1 {
		c.serve.fix(f)
		c.backlogs.fix(f)
		return
	}
	f.start = max(c.virtual, f.finish)
	c.weight += f.weight
	c.idle.remove(f)
	c.serve.push(f)
	c.backlogs.push(f)
}

// drop takes a waiting entry out without serving it.
func (c *class) drop(e *Entry) {
	f := e.flow
	c.count--
	c.work -= e.estimate
	if f.count == 1 {
		c.weight -= f.weight
		c.serve.remove(f)
		c.backlogs.remove(f)
		c.idle.push(f)
		f.unlink(e)
		return
	}
	f.unlink(e)
	c.serve.fix(f)
	c.backlogs.fix(f)
}

// head is the entry that fair queueing serves next; the class has one.
func (c *class) head() *Entry {
	return c.serve.min().head()
}

// charge advances virtual time past an entry that begins to run.
func (c *class) charge(f *flow, e *Entry) {
	c.virtual = f.start
	f.finish = f.start + e.cost()/f.weight
	f.start = f.finish
	if f.count > 0 {
		c.serve.fix(f)
	} else {
		c.idle.fix(f)
	}
	c.forgetIdle()
}

// chargeAtOnce is charge for an entry that never waited.
func (c *class) chargeAtOnce(e *Entry) {
	e.flow.start = max(c.virtual, e.flow.finish)
	c.charge(e.flow, e)
}

// forgetIdle drops flows that have no claim or debt left.
func (c *class) forgetIdle() {
	for c.idle.len() > 0 && c.idle.min().finish < c.virtual {
		f := c.idle.min()
		c.idle.remove(f)
		delete(c.flows, f.account)
	}
}
