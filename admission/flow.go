package admission

import (
	"slices"
	"time"
)

// flow holds the waiting entries of one account in one class.
type flow struct {
	account string
	class   *class
	weight  float64
	// levels holds the entries by ascending Priority; no level is empty.
	levels  []*level
	waiting int
	// waitingWork is the expected service time of all waiting entries.
	waitingWork time.Duration
	// virtualStart is the virtual start time of the first entry. The flow with
	// the lowest virtual start time is served first.
	virtualStart float64
	// virtualFinish is the virtual finish time of the last entry that started.
	virtualFinish float64

	startIndex, backlogIndex, idleIndex int
}

// level is a list of a flow's entries of one priority, in order of arrival.
type level struct {
	priority    int
	first, last *Entry
}

func newFlow(c *class, account string) *flow {
	return &flow{
		account:      account,
		class:        c,
		weight:       1,
		startIndex:   notInHeap,
		backlogIndex: notInHeap,
		idleIndex:    notInHeap,
	}
}

// weightedBacklog returns the waiting work divided by the weight. When the queue
// is full, the flow with the largest weighted backlog loses its last entry.
func (f *flow) weightedBacklog() float64 {
	return f.waitingWork.Seconds() / f.weight
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
	f.waiting++
	f.waitingWork += e.estimate
}

func (f *flow) levelOf(priority int) *level {
	i, found := f.findLevel(priority)
	if !found {
		f.levels = slices.Insert(f.levels, i, &level{priority: priority})
	}
	return f.levels[i]
}

func (f *flow) findLevel(priority int) (int, bool) {
	return slices.BinarySearchFunc(f.levels, priority, func(l *level, p int) int {
		return l.priority - p
	})
}

// head returns the entry that is served first.
func (f *flow) head() *Entry { return f.levels[0].first }

// tail returns the entry that is served last.
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
	f.waiting--
	f.waitingWork -= e.estimate
	if l.first == nil {
		i, _ := f.findLevel(l.priority)
		f.levels = slices.Delete(f.levels, i, i+1)
	}
}
