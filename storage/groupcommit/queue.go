package groupcommit

import (
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

// outcome is what one transaction came to.
type outcome struct {
	revision uint64
	err      error
}

// pending is one caller's transaction. Its done channel has room for the one
// outcome, so that nobody waits for a caller that has gone.
type pending struct {
	txn   storage.Txn
	keys  map[string]struct{}
	bytes int
	done  chan outcome
}

func newPending(txn storage.Txn) *pending {
	p := &pending{
		txn:  txn,
		keys: make(map[string]struct{}, len(txn.Conditions)+len(txn.Puts)+len(txn.Deletes)),
		done: make(chan outcome, 1),
	}
	for _, c := range txn.Conditions {
		p.add(c.Key, 0)
	}
	for _, put := range txn.Puts {
		p.add(put.Key, len(put.Value))
	}
	for _, key := range txn.Deletes {
		p.add(key, 0)
	}
	return p
}

func (p *pending) add(key string, valueBytes int) {
	p.keys[key] = struct{}{}
	p.bytes += len(key) + valueBytes
}

func (p *pending) ops() int {
	return len(p.txn.Conditions) + len(p.txn.Puts) + len(p.txn.Deletes)
}

// queue holds the transactions that haven't been sent.
type queue struct {
	mu     sync.Mutex
	items  []*pending
	ops    int
	closed bool
	// more has an element while there may be items that the loop hasn't seen.
	more chan struct{}
	// full has an element when a whole batch is there, or on close.
	full    chan struct{}
	maxOps  int
	maxSize int
}

func newQueue(maxOps, maxBytes int) *queue {
	return &queue{
		more:    make(chan struct{}, 1),
		full:    make(chan struct{}, 1),
		maxOps:  maxOps,
		maxSize: maxBytes,
	}
}

// push appends p and reports false if the queue is closed.
func (q *queue) push(p *pending) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.items = append(q.items, p)
	q.ops += p.ops()
	signal(q.more)
	if q.ops >= q.maxOps {
		signal(q.full)
	}
	return true
}

// remove takes p out and reports false if it has been taken already.
func (q *queue) remove(p *pending) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, item := range q.items {
		if item == p {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.ops -= p.ops()
			return true
		}
	}
	return false
}

// take removes the oldest transactions that touch different rows and fit into
// one commit. The oldest one of all always goes, so none starves.
func (q *queue) take() []*pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := newBatch(q.maxOps, q.maxSize)
	kept := q.items[:0:0]
	for _, p := range q.items {
		if b.add(p) {
			q.ops -= p.ops()
			continue
		}
		kept = append(kept, p)
	}
	q.items = kept
	if len(kept) > 0 {
		signal(q.more)
	}
	if q.ops < q.maxOps && !q.closed {
		drain(q.full)
	}
	return b.items
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	signal(q.more)
	signal(q.full)
}

// drained reports that no item is left and none will come.
func (q *queue) drained() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed && len(q.items) == 0
}

func (q *queue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) == 0
}

func (q *queue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
