package feed

import (
	"context"
	"sync"
)

// Link is what the watchers of one store share: whether the store answers. When
// one watcher's call fails, the others give up the calls that they wait on, which
// may hang on connections that are dead, and leave it to that one to try the store
// until it answers. So an outage costs the calls of one watcher, and is noticed
// when the first of several calls shows it.
type Link struct {
	mu sync.Mutex
	// trying is the watcher that tries the store while it is out of reach; nil
	// while the store answers.
	trying *Watcher
	// returned is closed when the store answers again.
	returned chan struct{}
	// calls are the ends of the calls that wait now.
	calls map[*Watcher]context.CancelFunc
}

// NewLink returns the link of a store.
func NewLink() *Link {
	return &Link{calls: make(map[*Watcher]context.CancelFunc)}
}

// begin waits until the store is believed to answer, or it is the watcher's own
// turn to try, and returns the context of the watcher's next call.
func (l *Link) begin(ctx context.Context, w *Watcher) (context.Context, error) {
	l.mu.Lock()
	for l.trying != nil && l.trying != w {
		returned := l.returned
		l.mu.Unlock()
		select {
		case <-returned:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	callCtx, cancel := context.WithCancel(ctx)
	l.calls[w] = cancel
	return callCtx, nil
}

// end ends the watcher's call. Without a result the store is out of reach.
func (l *Link) end(w *Watcher, reached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[w]()
	delete(l.calls, w)
	switch {
	case reached && l.trying == w:
		l.trying = nil
		close(l.returned)
	case !reached && l.trying == nil:
		l.trying = w
		l.returned = make(chan struct{})
		for _, cancel := range l.calls {
			cancel()
		}
	}
}

// lost says whether the store is out of reach.
func (l *Link) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trying != nil
}

// leave lets another watcher try the store when this one stops.
func (l *Link) leave(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trying == w {
		l.trying = nil
		close(l.returned)
	}
}
