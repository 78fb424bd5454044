package sealedconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
)

// endedConn is a connection whose data has ended. A write blocks until its deadline is set, and returns err, or the
// error of the deadline if err is nil.
type endedConn struct {
	net.Conn
	err      error
	deadline chan struct{}
}

func (c *endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *endedConn) SetWriteDeadline(time.Time) error { close(c.deadline); return nil }

func (c *endedConn) Write([]byte) (int, error) {
	<-c.deadline
	if c.err != nil {
		return 0, c.err
	}
	return 0, os.ErrDeadlineExceeded
}

// A reset that a write receives is an end in order to the read that comes after it, even before the write has returned.
func TestReadReportsTheResetThatAWriteReceived(t *testing.T) {
	for _, test := range []struct {
		desc     string
		writeErr error
		reset    bool
	}{
		{"write in progress receives the reset", syscall.ECONNRESET, true},
		{"write after the reset", syscall.EPIPE, true},
		{"write waits for a peer that doesn't read", nil, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				inner := &endedConn{err: test.writeErr, deadline: make(chan struct{})}
				conn, err := DetectResets(func(context.Context, string, string) (net.Conn, error) { return inner, nil })(t.Context(), "tcp", "")
				is.NoErr(err)
				go func() { _, _ = conn.Write([]byte("upload")) }()
				synctest.Wait()
				_, err = conn.Read(make([]byte, 1))
				var fault *responsecheck.Error
				is.Equal(errors.As(err, &fault), test.reset)
				is.Equal(errors.Is(err, io.EOF), !test.reset)
				_, again := conn.Read(make([]byte, 1))
				is.Equal(errors.Is(again, io.EOF), !test.reset)
			})
		})
	}
}
