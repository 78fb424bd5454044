package feed

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Link holds the state that all watchers of one store share: whether the store answers. When
// one watcher's call fails, the others cancel their own calls, which may hang on dead
// connections, and leave it to that watcher to call the store until it answers. An outage
// therefore costs the calls of only one watcher, and all notice it with the first call that
// fails.
//
// A call whose answer is arriving shows that the store answers. It isn't canceled when another
// call fails, since that is then a failure of one connection, and a long answer would have to
// be read again from its beginning.
type Link struct {
	mu sync.Mutex
	// prober is the watcher that calls the store while it is unreachable; nil while the store
	// answers.
	prober *Watcher
	// recovered is closed when the store answers again.
	recovered chan struct{}
	// recoveredAt is when the last outage ended; zero before that.
	recoveredAt time.Time
	// calls holds the calls in flight.
	calls map[*Watcher]*linkCall
}

// linkCall is a watcher's call.
type linkCall struct {
	cancel context.CancelFunc
	// receiving reports that the answer is arriving.
	receiving bool
}

// NewLink returns the link of a store.
func NewLink() *Link {
	return &Link{calls: make(map[*Watcher]*linkCall)}
}

// begin waits until the store answers or the watcher is the prober, and returns the context of
// the watcher's next call.
func (l *Link) begin(ctx context.Context, w *Watcher) (context.Context, error) {
	l.mu.Lock()
	for l.prober != nil && l.prober != w {
		recovered := l.recovered
		l.mu.Unlock()
		select {
		case <-recovered:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	callCtx, cancel := context.WithCancel(ctx)
	l.calls[w] = &linkCall{cancel: cancel}
	return callCtx, nil
}

// receiving records that the answer to the watcher's call is arriving.
func (l *Link) receiving(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call, ok := l.calls[w]; ok {
		call.receiving = true
	}
	l.markReachable(w)
}

// end ends the watcher's call. If it failed, the store counts as unreachable, unless it is
// answering another call.
func (l *Link) end(w *Watcher, reached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[w].cancel()
	delete(l.calls, w)
	switch {
	case reached:
		l.markReachable(w)
	case l.prober == nil && !l.anyReceiving():
		l.prober = w
		l.recovered = make(chan struct{})
		for _, call := range l.calls {
			call.cancel()
		}
	}
}

// markReachable lets the other watchers continue if the watcher was the prober. The caller
// holds l.mu.
func (l *Link) markReachable(w *Watcher) {
	if l.prober == w {
		l.prober = nil
		l.recoveredAt = boottime.Now()
		close(l.recovered)
	}
}

// anyReceiving reports whether an answer is arriving. The caller holds l.mu.
func (l *Link) anyReceiving() bool {
	for _, call := range l.calls {
		if call.receiving {
			return true
		}
	}
	return false
}

// unreachable reports whether the store is unreachable.
func (l *Link) unreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prober != nil
}

// recoveredWithin reports whether the store is unreachable, or was within the span.
func (l *Link) recoveredWithin(span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prober != nil || !l.recoveredAt.IsZero() && boottime.Since(l.recoveredAt) < span
}

// stopProbing lets another watcher call the store if the watcher was the prober.
func (l *Link) stopProbing(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markReachable(w)
}
