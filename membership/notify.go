package membership

import (
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// notifier calls subscribers in the order of the changes, one at a time and
// without the lock of the Membership. Subscribers may call the Membership.
type notifier struct {
	mu          sync.Mutex
	queue       []notification
	delivering  bool
	lastID      int
	subscribers map[int]func(Event)
	watchers    map[int]watcher
}

// notification is a change of a member or of a fact.
type notification struct {
	event Event
	fact  Fact
	// isFact reports whether the change is of fact, and not of a member.
	isFact bool
	// watcherID is the id of the only watcher to notify; zero means all.
	watcherID int
}

type watcher struct {
	prefix string
	f      func(Fact)
}

// Subscribe calls f for each later change of a member until cancel is called. f
// must not block.
func (m *Membership) Subscribe(f func(Event)) (cancel func()) {
	n := &m.notifier
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = make(map[int]func(Event))
	}
	n.lastID++
	id := n.lastID
	n.subscribers[id] = f
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, id)
	}
}

// Watch calls f for each stored fact with the key prefix and then for each
// change, including expiry, until cancel is called. f must not block.
func (m *Membership) Watch(prefix string, f func(Fact)) (cancel func()) {
	n := &m.notifier
	m.mu.Lock()
	n.mu.Lock()
	if n.watchers == nil {
		n.watchers = make(map[int]watcher)
	}
	n.lastID++
	id := n.lastID
	n.watchers[id] = watcher{prefix: prefix, f: f}
	for _, fact := range m.factsWith(prefix, boottime.Now()) {
		n.queue = append(n.queue, notification{fact: fact, isFact: true, watcherID: id})
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

func (m *Membership) queueEvent(e Event) { m.notifier.add(notification{event: e}) }

func (m *Membership) queueFact(f Fact) { m.notifier.add(notification{fact: f, isFact: true}) }

func (n *notifier) add(c notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, c)
}

// flush delivers the queued notifications. If another goroutine is delivering, it
// returns at once, because that goroutine also delivers the new ones.
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

// calls returns the subscriber calls for a notification.
func (n *notifier) calls(c notification) []func() {
	var calls []func()
	if !c.isFact {
		for _, f := range n.subscribers {
			calls = append(calls, func() { f(c.event) })
		}
		return calls
	}
	for id, w := range n.watchers {
		if strings.HasPrefix(c.fact.Key, w.prefix) && (c.watcherID == 0 || c.watcherID == id) {
			calls = append(calls, func() { w.f(c.fact) })
		}
	}
	return calls
}
