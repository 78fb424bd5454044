package membership

import (
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// notifier calls subscribers in the order of the changes, outside the lock of
// the Membership and never two at once. A subscriber may call back into it.
type notifier struct {
	mu          sync.Mutex
	queue       []notice
	delivering  bool
	next        int
	subscribers map[int]func(Event)
	watchers    map[int]watcher
}

// notice is a change of a member or of a fact.
type notice struct {
	event Event
	fact  Fact
	// isFact says which of both it is.
	isFact bool
	// only is the number of the one watcher to tell; zero tells all.
	only int
}

type watcher struct {
	prefix string
	f      func(Fact)
}

// Subscribe calls f for each change of a member's state from now on, until
// cancel is called. f must not block.
func (m *Membership) Subscribe(f func(Event)) (cancel func()) {
	n := &m.notifier
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = make(map[int]func(Event))
	}
	n.next++
	id := n.next
	n.subscribers[id] = f
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, id)
	}
}

// Watch calls f for each known fact with the prefix and then for each change,
// expiry included, until cancel is called. f must not block.
func (m *Membership) Watch(prefix string, f func(Fact)) (cancel func()) {
	n := &m.notifier
	m.mu.Lock()
	n.mu.Lock()
	if n.watchers == nil {
		n.watchers = make(map[int]watcher)
	}
	n.next++
	id := n.next
	n.watchers[id] = watcher{prefix: prefix, f: f}
	for _, fact := range m.factsWith(prefix, boottime.Now()) {
		n.queue = append(n.queue, notice{fact: fact, isFact: true, only: id})
	}
	n.mu.Unlock()
	m.mu.Unlock()
	n.flush()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.watchers, id)
	}
}

func (m *Membership) queueEvent(e Event) { m.notifier.add(notice{event: e}) }

func (m *Membership) queueFact(f Fact) { m.notifier.add(notice{fact: f, isFact: true}) }

func (n *notifier) add(c notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, c)
}

// flush delivers what is queued, unless another goroutine is at it; that one
// then delivers this too.
func (n *notifier) flush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return
	}
	n.delivering = true
	defer func() { n.delivering = false }()
	for len(n.queue) > 0 {
		c := n.queue[0]
		n.queue = n.queue[1:]
		calls := n.calls(c)
		n.mu.Unlock()
		for _, call := range calls {
			call()
		}
		n.mu.Lock()
	}
}

// calls returns what is to be called for a notice.
func (n *notifier) calls(c notice) []func() {
	var calls []func()
	if !c.isFact {
		for _, f := range n.subscribers {
			calls = append(calls, func() { f(c.event) })
		}
		return calls
	}
	for id, w := range n.watchers {
		if strings.HasPrefix(c.fact.Key, w.prefix) && (c.only == 0 || c.only == id) {
			calls = append(calls, func() { w.f(c.fact) })
		}
	}
	return calls
}
