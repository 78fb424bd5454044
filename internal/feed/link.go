package feed

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Link is what the watchers of one store share: whether the store answers. When
// one watcher's call fails, the others give up the calls that they wait on, which
// may hang on connections that are dead, and leave it to that one to try the store
// until it answers. So an outage costs the calls of one watcher, and is noticed
// when the first of several calls shows it.
//
// A call whose answer is arriving shows that the store answers. It isn't given up for
// another's failure, which is then one of a connection: a long answer would have to be
// read from its beginning again.
type Link struct {
	mu sync.Mutex
	// trying is the watcher that tries the store while it is out of reach; nil
	// while the store answers.
	trying *Watcher
	// returned is closed when the store answers again.
	returned chan struct{}
	// returnedAt is when it last did; zero before that.
	returnedAt time.Time
	// calls are those under way.
	calls map[*Watcher]*linkCall
}

// linkCall is a watcher's call.
type linkCall struct {
	cancel context.CancelFunc
	// receiving says that its answer is arriving.
	receiving bool
}

// NewLink returns the link of a store.
func NewLink() *Link {
	return &Link{calls: make(map[*Watcher]*linkCall)}
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
	l.calls[w] = &linkCall{cancel: cancel}
	return callCtx, nil
}

// receiving notes that the answer to the watcher's call is arriving.
func (l *Link) receiving(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call, ok := l.calls[w]; ok {
		call.receiving = true
	}
	l.answered(w)
}

// end ends the watcher's call. Without a result the store is out of reach, unless it
// is answering another one.
func (l *Link) end(w *Watcher, reached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[w].cancel()
	delete(l.calls, w)
	switch {
	case reached:
		l.answered(w)
	case l.trying == nil && !l.anyReceiving():
		l.trying = w
		l.returned = make(chan struct{})
		for _, call := range l.calls {
			call.cancel()
		}
	}
}

// answered lets the other watchers go on if the watcher was the one to try the store.
// l.mu is held.
func (l *Link) answered(w *Watcher) {
	if l.trying == w {
		l.trying = nil
		l.returnedAt = boottime.Now()
		close(l.returned)
	}
}

// anyReceiving says whether an answer is arriving. l.mu is held.
func (l *Link) anyReceiving() bool {
	for _, call := range l.calls {
		if call.receiving {
			return true
		}
	}
	return false
}

// lost says whether the store is out of reach.
func (l *Link) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trying != nil
}

// returnedWithin says whether the store is out of reach, or was within the span.
func (l *Link) returnedWithin(span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trying != nil || !l.returnedAt.IsZero() && boottime.Since(l.returnedAt) < span
}

// leave lets another watcher try the store when this one stops.
func (l *Link) leave(w *Watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered(w)
}
