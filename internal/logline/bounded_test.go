package logline

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks until it is released, and then records what is written.
type blockedWriter struct {
	released chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.Buffer.Write(p)
}

// Callers choose texts that are logged, such as the ids of their requests. Lines with long ones took up to 64 MB
// while the output was slow.
func TestQueueOfLongLinesIsBounded(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{released: make(chan struct{})}
	b := NewBoundedWriter(out)
	line := append(bytes.Repeat([]byte("x"), 16<<10), '\n')
	for range queueLines {
		n, err := b.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	// The writer may have taken one line out of the queue.
	is.True(b.queued.Load() <= queueBytes)
	is.True(b.Dropped() >= queueLines-queueBytes/maxLine-1)
	close(out.released)
	b.Close()
	is.Equal(b.queued.Load(), int64(0))
	first, _, _ := bytes.Cut(out.Bytes(), []byte("\n"))
	is.Equal(len(first), maxLine-1)
}
