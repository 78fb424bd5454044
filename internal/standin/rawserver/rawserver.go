// Package rawserver is a stand-in for HTTP servers that send invalid or incomplete answers: it sends text
// as it is given and ends its connections in a chosen way.
package rawserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Ending is what becomes of a connection after an answer.
type Ending int

const (
	// Close closes the connection.
	Close Ending = iota
	// CloseUnread closes the connection once a part of the request was received that wasn't read, which makes the
	// system reset it.
	CloseUnread
	// Reset resets the connection.
	Reset
	// HalfClose ends the answer in order, and resets the connection after Linger.
	HalfClose
	// KeepOpen waits for the next request. It reads the rest of a request's body first.
	KeepOpen
)

// Answer is the answer to one request.
type Answer struct {
	// Text is sent as it is.
	Text string
	// IgnoresBody is set if the request's body isn't read.
	IgnoresBody bool
	// Delay is the time between the answer and Ending, Linger that between HalfClose and the reset.
	Delay, Linger time.Duration
	Ending        Ending
}

// Server answers the requests on the connections that it accepts.
type Server struct {
	// Address is the IP and port.
	Address string
	// Requests is the number of requests that it received.
	Requests atomic.Int64

	answer func(req *http.Request) Answer
}

// receiveBuffer is the size of the buffers for what isn't read, in bytes, so that large uploads stay unsent.
const receiveBuffer = 16 << 10

// Start starts a server that runs until the test ends.
func Start(t testing.TB, answer func(req *http.Request) Answer) *Server {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String(), answer: answer}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				defer stop()
				s.serve(conn.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() { cancel(); listener.Close(); group.Wait() })
	return s
}

// serve answers requests until the connection ends.
func (s *Server) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.Requests.Add(1)
		a := s.answer(req)
		if !a.IgnoresBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if _, err := io.WriteString(conn, a.Text); err != nil {
			return
		}
		time.Sleep(a.Delay)
		switch a.Ending {
		case KeepOpen:
			_, _ = io.Copy(io.Discard, req.Body)
			continue
		case HalfClose:
			_ = conn.CloseWrite()
			time.Sleep(a.Linger)
			_ = conn.SetLinger(0)
		case Reset:
			_ = conn.SetLinger(0)
		case CloseUnread:
			for !hasUnread(conn) {
				time.Sleep(time.Millisecond)
			}
		}
		return
	}
}

// hasUnread reports whether the system has received bytes that weren't read.
func hasUnread(conn *net.TCPConn) (unread bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
