package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the maximum number of lines that wait for a slow output, about as many as a
// busy host logs in a second.
const queueLines = 4096

// BoundedWriter is a writer that queues lines and writes them to its output in the background. If
// the queue is full, it drops and counts further lines, so that Write never blocks.
type BoundedWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	closeOnce sync.Once
	// closing is closed when the writer is to stop, drained when it has stopped.
	closing, drained chan struct{}
}

// NewBoundedWriter returns a writer to out. Close stops it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), drained: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; it never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines of goroutines that are still running after it are
// left out.
func (b *BoundedWriter) Close() {
	b.closeOnce.Do(func() { close(b.closing) })
	<-b.drained
}

func (b *BoundedWriter) run() {
	defer close(b.drained)
	reportedDrops := uint64(0)
	write := func(line []byte) {
		// There is no other place to report that the log can't be written.
		_, _ = b.out.Write(line)
		if dropped := b.dropped.Load(); dropped != reportedDrops {
			_, _ = fmt.Fprintf(b.out, "level=warn event=log-lines-left-out count=%d total=%d\n", dropped-reportedDrops, dropped)
			reportedDrops = dropped
		}
	}
	for {
		select {
		case line := <-b.lines:
			write(line)
			continue
		case <-b.closing:
		}
		break
	}
	for {
		select {
		case line := <-b.lines:
			write(line)
		default:
			return
		}
	}
}
