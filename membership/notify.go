package membership

import (
	"strings"
	"sync"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// notifier calls subscribers and watchers in the order of the changes, one at a
// time and without holding the lock of the Membership, which they may call.
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
	// isFact reports whether fact holds the change; otherwise event does.
	isFact bool
	// watcherID is the id of the only watcher to notify; zero means all.
	watcherID int
}

type watcher struct {
	prefix string
	onFact func(Fact)
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

// Watch calls f for each stored fact whose key has the prefix, and then for each
// change of such a fact, including its expiry, until cancel is called. f must not
// block.
func (m *Membership) Watch(prefix string, f func(Fact)) (cancel func()) {
	n := &m.notifier
	m.mu.Lock()
	n.mu.Lock()
	if n.watchers == nil {
		n.watchers = make(map[int]watcher)
	}
	n.lastID++
	id := n.lastID
	n.watchers[id] = watcher{prefix: prefix, onFact: f}
	for _, fact := range m.factsWithPrefix(prefix, boottime.Now()) {
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

func (n *notifier) add(change notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, change)
}

// flush delivers the queued notifications. If another goroutine is delivering
// notifications, flush returns at once, because that goroutine also delivers
// those that are queued in the meantime.
func (n *notifier) flush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return
	}
	n.delivering = true
	defer func() { n.delivering = false }()
	for len(n.queue) > 0 {
		change := n.queue[0]
		n.queue = n.queue[1:]
		calls := n.callbacksFor(change)
		n.mu.Unlock()
		for _, call := range calls {
			call()
		}
		n.mu.Lock()
	}
}

// callbacksFor returns the callbacks of the subscribers or watchers of a change,
// each bound to the change as its argument.
func (n *notifier) callbacksFor(change notification) []func() {
	var calls []func()
	if !change.isFact {
		for _, f := range n.subscribers {
			calls = append(calls, func() { f(change.event) })
		}
		return calls
	}
	for id, w := range n.watchers {
		if strings.HasPrefix(change.fact.Key, w.prefix) && (change.watcherID == 0 || change.watcherID == id) {
			calls = append(calls, func() { w.onFact(change.fact) })
		}
	}
	return calls
}
