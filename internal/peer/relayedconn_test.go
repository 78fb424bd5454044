package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// thirdParty is the end of a relayed connection. Each connection is passed to handle.
func thirdParty(t *testing.T, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { listener.Close(); <-done })
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// dialDirectly is a RelayDialer for any address.
func dialDirectly(ctx context.Context, _, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// relayServer starts a server that relays connections, and returns a client of it.
func relayServer(t *testing.T, dial RelayDialer) (s *Server, c *Client, stop func()) {
	t.Helper()
	if dial == nil {
		dial = dialDirectly
	}
	s, stop = startServer(t, ServerOptions{Keys: []Key{testKey("k1")}, RelayDialer: dial})
	return s, newClient(t, ClientOptions{Keys: []Key{testKey("k1")}}), stop
}

// An answer that ends with its connection must arrive whole through a relay, larger than a frame, and
// end as the third party ended it.
func TestRelayedConnectionCarriesDataBothWays(t *testing.T) {
	is := is.New(t)
	answer := strings.Repeat("answer ", 10_000)
	address := thirdParty(t, func(conn net.Conn) {
		question := make([]byte, 8)
		io.ReadFull(conn, question)
		io.WriteString(conn, string(question)+answer)
	})
	s, c, _ := relayServer(t, nil)
	conn, err := c.DialRelayed(t.Context(), s.Addr(), address, RelayEvents{})
	is.NoErr(err)
	defer conn.Close()
	io.WriteString(conn, "question")
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), "question"+answer)
}

// A relaying host that is killed closes its connections without an error. The answer that it relayed
// must not look complete.
func TestAnswerCutByTheRelayingHostIsIncomplete(t *testing.T) {
	for _, cause := range []string{"relay", "third party"} {
		t.Run(cause, func(t *testing.T) {
			is := is.New(t)
			sent, end := make(chan struct{}), make(chan struct{})
			address := thirdParty(t, func(conn net.Conn) {
				io.WriteString(conn, "half")
				close(sent)
				<-end
				conn.(*net.TCPConn).SetLinger(0)
			})
			var lost atomic.Bool
			s, c, stop := relayServer(t, nil)
			conn, err := c.DialRelayed(t.Context(), s.Addr(), address, RelayEvents{Lost: func(error) { lost.Store(true) }})
			is.NoErr(err)
			defer conn.Close()
			got := make([]byte, 4)
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			<-sent
			if cause == "relay" {
				stop()
			} else {
				close(end)
			}
			_, err = conn.Read(got)
			is.True(err != nil && !errors.Is(err, io.EOF))
			is.Equal(lost.Load(), cause == "relay")
			if cause == "relay" {
				close(end)
			}
		})
	}
}

// The client has to know whether the third party refused the connection, the relaying host didn't try,
// or the relaying host wasn't reached.
func TestRelayErrorsNameTheirCause(t *testing.T) {
	is := is.New(t)
	s, c, stop := relayServer(t, func(_ context.Context, _, address string) (net.Conn, error) {
		if address == "refuses" {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return nil, ErrRelayDeclined
	})
	_, err := c.DialRelayed(t.Context(), s.Addr(), "refuses", RelayEvents{})
	var relayErr *RelayError
	is.True(errors.As(err, &relayErr) && errors.Is(err, syscall.ECONNREFUSED))
	_, err = c.DialRelayed(t.Context(), s.Addr(), "unlisted", RelayEvents{})
	is.True(errors.Is(err, ErrRelayDeclined) && !errors.As(err, &relayErr))
	stranger := newClient(t, ClientOptions{Keys: []Key{{ID: "k1", Secret: testKey("k2").Secret}}})
	_, err = stranger.DialRelayed(t.Context(), s.Addr(), "refuses", RelayEvents{})
	is.True(errors.Is(err, ErrAuthentication))
	stop()
	_, err = c.DialRelayed(t.Context(), s.Addr(), "refuses", RelayEvents{})
	is.True(errors.Is(err, ErrUnreachable))
}

// A host that is about to stop must not cut the connections that it relays.
func TestStoppingRelayAsksForIdleConnections(t *testing.T) {
	is := is.New(t)
	address := thirdParty(t, func(conn net.Conn) { io.Copy(conn, conn) })
	s, c, _ := relayServer(t, nil)
	closing := make(chan struct{})
	conn, err := c.DialRelayed(t.Context(), s.Addr(), address, RelayEvents{Closing: func() { close(closing) }})
	is.NoErr(err)
	is.Equal(s.RelayCount(), 1)
	s.StopRelaying()
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(conn, make([]byte, 4))
		read <- err
	}()
	<-closing
	_, err = c.DialRelayed(t.Context(), s.Addr(), address, RelayEvents{})
	is.True(errors.Is(err, ErrRelayDeclined))
	io.WriteString(conn, "more") // the open connection goes on
	is.NoErr(<-read)
	conn.Close()
	for s.RelayCount() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// When the caller leaves, the third party must notice at once, since it works for nobody.
func TestClosedRelayedConnectionEndsTheThirdPartys(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	address := thirdParty(t, func(conn net.Conn) {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	s, c, _ := relayServer(t, nil)
	conn, err := c.DialRelayed(t.Context(), s.Addr(), address, RelayEvents{})
	is.NoErr(err)
	conn.Close()
	is.True(<-ended != nil)
}
