package groupcommit

import (
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

// outcome is the result of one transaction's commit.
type outcome struct {
	revision uint64
	err      error
}

// pendingTxn is one caller's transaction until its outcome is known. Its done
// channel has a buffer for the outcome, so that the sender doesn't block if the
// caller no longer receives.
type pendingTxn struct {
	txn       storage.Txn
	keys      map[string]struct{}
	byteCount int
	done      chan outcome
}

func newPendingTxn(txn storage.Txn) *pendingTxn {
	p := &pendingTxn{
		txn:  txn,
		keys: make(map[string]struct{}, len(txn.Conditions)+len(txn.Puts)+len(txn.Deletes)),
		done: make(chan outcome, 1),
	}
	for _, c := range txn.Conditions {
		p.addKey(c.Key, 0)
	}
	for _, put := range txn.Puts {
		p.addKey(put.Key, len(put.Value))
	}
	for _, key := range txn.Deletes {
		p.addKey(key, 0)
	}
	return p
}

func (p *pendingTxn) addKey(key string, valueBytes int) {
	p.keys[key] = struct{}{}
	p.byteCount += len(key) + valueBytes
}

func (p *pendingTxn) ops() int {
	return len(p.txn.Conditions) + len(p.txn.Puts) + len(p.txn.Deletes)
}

// queue holds the transactions that haven't been sent to the table.
type queue struct {
	mu      sync.Mutex
	items   []*pendingTxn
	opCount int
	closed  bool
	// nonEmpty has an element while there may be items that Committer.run hasn't
	// processed.
	nonEmpty chan struct{}
	// batchReady has an element when items hold the operations of a whole batch,
	// or the queue is closed.
	batchReady chan struct{}
	maxOps     int
	maxBytes   int
}

func newQueue(maxOps, maxBytes int) *queue {
	return &queue{
		nonEmpty:   make(chan struct{}, 1),
		batchReady: make(chan struct{}, 1),
		maxOps:     maxOps,
		maxBytes:   maxBytes,
	}
}

// push appends p. It returns false if the queue is closed.
func (q *queue) push(p *pendingTxn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.items = append(q.items, p)
	q.opCount += p.ops()
	signal(q.nonEmpty)
	if q.opCount >= q.maxOps {
		signal(q.batchReady)
	}
	return true
}

// remove removes p. It returns false if takeBatch has removed it already.
func (q *queue) remove(p *pendingTxn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, item := range q.items {
		if item == p {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.opCount -= p.ops()
			return true
		}
	}
	return false
}

// takeBatch removes and returns the oldest transactions that touch different
// rows and fit into one commit. The oldest one of all is always among them, so
// that none starves.
func (q *queue) takeBatch() []*pendingTxn {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := newBatch(q.maxOps, q.maxBytes)
	remaining := q.items[:0:0]
	for _, p := range q.items {
		if b.add(p) {
			q.opCount -= p.ops()
			continue
		}
		remaining = append(remaining, p)
	}
	q.items = remaining
	if len(remaining) > 0 {
		signal(q.nonEmpty)
	}
	if q.opCount < q.maxOps && !q.closed {
		clearSignal(q.batchReady)
	}
	return b.items
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	signal(q.nonEmpty)
	signal(q.batchReady)
}

// isDrained reports whether the queue is empty and accepts no more items.
func (q *queue) isDrained() bool {
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

func clearSignal(c chan struct{}) {
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
