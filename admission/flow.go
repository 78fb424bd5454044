package admission

import (
	"slices"
	"time"
)

// flow is the waiting work of one account in one class.
type flow struct {
	account string
	class   *class
	weight  float64
	// levels hold the entries by rising Priority; none is empty.
	levels []*level
	count  int
	// work is the expected service time of all entries.
	work time.Duration
	// start is the virtual start time of the first entry, by which backlogged
	// flows are served.
	start float64
	// finish is the virtual finish time of the entry served last.
	finish float64

	serveIndex, backlogIndex, idleIndex int
}

// level is a list of entries of one priority in order of arrival.
type level struct {
	priority    int
	first, last *Entry
}

func newFlow(c *class, account string) *flow {
	return &flow{
		account:      account,
		class:        c,
		weight:       1,
		serveIndex:   noIndex,
		backlogIndex: noIndex,
		idleIndex:    noIndex,
	}
}

// backlog is the work in proportion to the weight, by which the flow that
// takes most of a full queue is found.
func (f *flow) backlog() float64 {
	return f.work.Seconds() / f.weight
}

func (f *flow) append(e *Entry) {
	l := f.levelOf(e.Ticket.Priority)
	e.level = l
	e.prev = l.last
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	f.count++
	f.work += e.estimate
}

func (f *flow) levelOf(priority int) *level {
	i, found := f.find(priority)
	if !found {
		f.levels = slices.Insert(f.levels, i, &level{priority: priority})
	}
	return f.levels[i]
}

func (f *flow) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(f.levels, priority, func(l *level, p int) int {
		return l.priority - p
	})
}

// head is the entry served next.
func (f *flow) head() *Entry { return f.levels[0].first }

// tail is the entry served last.
func (f *flow) tail() *Entry { return f.levels[len(f.levels)-1].last }

func (f *flow) unlink(e *Entry) {
	l := e.level
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.last = e.prev
	}
	e.prev, e.next, e.level = nil, nil, nil
	f.count--
	f.work -= e.estimate
	if l.first == nil {
		i, _ := f.find(l.priority)
		f.levels = slices.Delete(f.levels, i, i+1)
	}
}
