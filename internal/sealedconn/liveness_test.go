package sealedconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A peer that stops responding can't be simulated on loopback, so the test checks the
// socket options that make the kernel detect it.
func TestDialedConnectionKeepAliveOptions(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	transport := NewTransport(time.Second)
	conn, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*trackedConn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) int {
		var value int
		var optionErr error
		is.NoErr(raw.Control(func(fd uintptr) { value, optionErr = syscall.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(optionErr)
		return value
	}
	is.Equal(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT), probeCount)
	is.True(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE) <= 2) // the kernel counts whole seconds
	is.True(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL) <= 1)
	is.Equal(option(syscall.IPPROTO_TCP, tcpUserTimeout), int(unackedTimeout.Milliseconds()))
}
