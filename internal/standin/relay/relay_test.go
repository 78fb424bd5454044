package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/internal/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A cut closes the open connections and prevents new ones until ClearFaults.
func TestCut(t *testing.T) {
	const other = "127.0.0.9"
	tests := []struct {
		desc string
		cut  func(*relay.Relay)
		// accepts is whether new connections work; broken is whether the
		// connection opened before the cut no longer works.
		accepts, broken bool
	}{
		{"none", func(*relay.Relay) {}, true, false},
		{"all", (*relay.Relay).CutAll, false, true},
		{"from another host", func(r *relay.Relay) { r.CutFrom(func(ip string) bool { return ip == other }) }, true, false},
		{"from this host", func(r *relay.Relay) { r.CutFrom(func(ip string) bool { return ip != other }) }, false, true},
		{"healed", func(r *relay.Relay) { r.CutAll(); r.ClearFaults() }, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			echo, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go serveEcho(echo)
			defer echo.Close()
			r, err := relay.Listen("127.0.0.1", "")
			is.NoErr(err)
			defer r.Close()
			r.SetTarget(echo.Addr().String())
			is.True(canEcho(r.Address()))
			existing, err := net.Dial("tcp", r.Address())
			is.NoErr(err)
			defer existing.Close()
			is.True(canEchoOn(existing))
			tt.cut(r)
			is.Equal(canEcho(r.Address()), tt.accepts)
			is.Equal(canEchoOn(existing), !tt.broken)
		})
	}
}

func serveEcho(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(conn, conn)
		}()
	}
}

func canEcho(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	return canEchoOn(conn)
}

func canEchoOn(conn net.Conn) bool {
	got := make([]byte, 1)
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, got)
	return err == nil
}

func Example() {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	r, err := relay.Listen("127.0.0.1", server.Listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()
	r.CutAll()
	_, err = http.Get("http://" + r.Address())
	fmt.Println(err != nil)
	// Output: true
}

// Guards against a relay that ends a connection in the same way whether its target closed or reset
// it: a closed one completes a response without a length.
func TestResetIsPassedOn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			is := is.New(t)
			target, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer target.Close()
			r, err := relay.Listen("127.0.0.1", target.Addr().String())
			is.NoErr(err)
			defer r.Close()
			conn, err := net.Dial("tcp", r.Address())
			is.NoErr(err)
			defer conn.Close()
			accepted, err := target.Accept()
			is.NoErr(err)
			_, err = accepted.Write([]byte("part"))
			is.NoErr(err)
			part := make([]byte, 4)
			_, err = io.ReadFull(conn, part)
			is.NoErr(err)
			if reset {
				is.NoErr(accepted.(*net.TCPConn).SetLinger(0))
			}
			accepted.Close()
			_, err = conn.Read(part)
			is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
			is.Equal(errors.Is(err, io.EOF), !reset)
		})
	}
}
