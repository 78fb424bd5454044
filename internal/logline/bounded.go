package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait for a slow output: about a second's worth
// of a busy host's.
const queueLines = 4096

// Bounded passes lines on from a goroutine of its own. A line that finds the
// queue full is left out and counted, so that no writer ever waits.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	left    atomic.Uint64
	closed  sync.Once
	drained chan struct{}
}

// NewBounded returns a writer to out. Close ends it.
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
		b.left.Add(1)
	}
	return len(line), nil
}

// LeftOut counts the lines that were left out.
func (b *Bounded) LeftOut() uint64 { return b.left.Load() }

// Close writes the lines that wait. Nothing may be written after it.
func (b *Bounded) Close() {
	b.closed.Do(func() { close(b.lines) })
	<-b.drained
}

func (b *Bounded) run() {
	defer close(b.drained)
	told := uint64(0)
	for line := range b.lines {
		// There is no other place to tell that the log can't be written.
		_, _ = b.out.Write(line)
		if left := b.left.Load(); left != told {
			_, _ = fmt.Fprintf(b.out, "level=warn event=log-lines-left-out count=%d total=%d\n", left-told, left)
			told = left
		}
	}
}
