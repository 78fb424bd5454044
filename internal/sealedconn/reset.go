package sealedconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
)

// DetectResets returns a function that dials TCP connections whose reads return io.EOF only if the peer closed the
// connection in order, see responsecheck.EndOfData.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn}, nil
	}
}

// resetConn is a connection that remembers the error of a write for its reads.
type resetConn struct {
	net.Conn

	// interrupted is set once a read interrupts the write in progress.
	interrupted atomic.Bool
	// writing is held during a write. It guards writeErr, the error of the last write that failed.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !(c.interrupted.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = responsecheck.EndOfData(c.lastWriteError())
	}
	return n, err
}

// lastWriteError returns the error of the last write that failed, after the write in progress has ended. After the
// end of the peer's data, the rest of a request is of no use: a response that isn't complete by then won't be.
func (c *resetConn) lastWriteError() error {
	if !c.writing.TryLock() {
		// If the write received a reset, it returns that. Otherwise it may wait for the peer for long.
		c.interrupted.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeErr
}
