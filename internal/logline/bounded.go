package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines queued for a slow output: about what a busy host logs in a
// second.
const queueLines = 4096

// Bounded is an asynchronous writer with a bounded queue. If the queue is full, a line is
// dropped and counted, so that Write never blocks.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closed  sync.Once
	drained chan struct{}
}

// NewBounded returns a writer to out. Close stops it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queueLines), drained: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; it never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (b *Bounded) Close() {
	b.closed.Do(func() { close(b.lines) })
	<-b.drained
}

func (b *Bounded) run() {
	defer close(b.drained)
	reported := uint64(0)
	for line := range b.lines {
		// A failure to write the log can't be reported anywhere else.
		_, _ = b.out.Write(line)
		if dropped := b.dropped.Load(); dropped != reported {
			_, _ = fmt.Fprintf(b.out, "level=warn event=log-lines-left-out count=%d total=%d\n", dropped-reported, dropped)
			reported = dropped
		}
	}
}
