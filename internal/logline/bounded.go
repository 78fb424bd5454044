package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLines is the maximum number of lines that wait for a slow output, about as many as a
	// busy host logs in a second. queueBytes is their maximum size: lines contain what callers send.
	queueLines = 4096
	queueBytes = 4 << 20
	// maxLine is the size to which longer lines are cut, in bytes.
	maxLine = 8 << 10
)

// BoundedWriter is a writer that queues lines and writes them to its output in the background. If
// the queue is full, it drops and counts further lines, so that Write never blocks. Long lines are cut.
type BoundedWriter struct {
	out   io.Writer
	lines chan []byte
	// queued is the size of the lines in the queue, in bytes.
	queued    atomic.Int64
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
	queued := make([]byte, 0, min(len(line), maxLine))
	if len(line) > maxLine {
		queued = append(append(queued, line[:maxLine-1]...), '\n')
	} else {
		queued = append(queued, line...)
	}
	if b.queued.Add(int64(len(queued))) <= queueBytes {
		select {
		case b.lines <- queued:
			return len(line), nil
		default:
		}
	}
	b.queued.Add(-int64(len(queued)))
	b.dropped.Add(1)
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
		b.queued.Add(-int64(len(line)))
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
