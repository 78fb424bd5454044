package feed

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Link holds the state that all watchers of one store share: whether the store answers. When
// one watcher's call fails, that watcher becomes the prober, which keeps calling the store
// until it answers. The other watchers cancel their calls, which may hang on dead connections,
// and wait. An outage therefore costs the calls of only one watcher, and all watchers notice it
// with the first call that fails.
//
// A call whose answer is arriving shows that the store answers. It isn't canceled when another
// call fails: that failure is then one of a single connection, and a long answer would have to
// be read again from its beginning.
type Link struct {
	mu sync.Mutex
	// prober is the watcher that calls the store while the store is unreachable; nil while the
	// store answers.
	prober *Watcher
	// recovered is closed when the outage ends.
	recovered chan struct{}
	// recoveredAt is when the last outage ended; zero if there was none.
	recoveredAt time.Time
	// calls holds the call in flight of each watcher.
	calls map[*Watcher]*linkCall
}

// linkCall is a call in flight.
type linkCall struct {
	cancel context.CancelFunc
	// receiving reports that the answer is arriving.
	receiving bool
}

// NewLink returns the link to a store that counts as reachable.
func NewLink() *Link {
	return &Link{calls: make(map[*Watcher]*linkCall)}
}

// beginCall waits until the store answers, unless the watcher is the prober, and returns the
// context of the watcher's next call. It returns errUpdateReceived if another host sends an update
// meanwhile that the watcher can apply.
func (l *Link) beginCall(ctx context.Context, w *Watcher) (context.Context, error) {
	l.mu.Lock()
	for l.prober != nil && l.prober != w {
		recovered := l.recovered
		l.mu.Unlock()
		select {
		case <-recovered:
		case <-w.relayed.updated:
			if w.canAdvance() {
				return nil, errUpdateReceived
			}
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

// recordReceiving records that the answer to the watcher's call is arriving. If the watcher is
// the prober, this ends the outage.
func (l *Link) recordReceiving(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call, ok := l.calls[w]; ok {
		call.receiving = true
	}
	l.markReachable(w)
}

// endCall records that the watcher's call has ended. If the call failed, the store counts as
// unreachable, unless it is answering another call.
func (l *Link) endCall(w *Watcher, reached bool) {
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

// markReachable ends the outage if the watcher is the prober, so that the other watchers
// continue. The caller holds l.mu.
func (l *Link) markReachable(w *Watcher) {
	if l.prober == w {
		l.prober = nil
		l.recoveredAt = boottime.Now()
		close(l.recovered)
	}
}

// anyReceiving reports whether the answer to any call is arriving. The caller holds l.mu.
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

// unreachableWithin reports whether the store is unreachable now or was at some time within the
// given duration before.
func (l *Link) unreachableWithin(span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prober != nil || !l.recoveredAt.IsZero() && boottime.Since(l.recoveredAt) < span
}

// stopProbing marks the store as reachable if the watcher is the prober, since the watcher makes
// no further calls for now. The other watchers then call the store again, and the first one
// whose call fails becomes the prober.
func (l *Link) stopProbing(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markReachable(w)
}
