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
	raw, err := conn.(*trackedConn).Conn.(*resetConn).Conn.(*net.TCPConn).SyscallConn()
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

// kernelGivesUpAfter returns how long after the last received byte the kernel closes a connection whose
// peer is silent, by tcp(7): with TCP_USER_TIMEOUT set, the number of probes doesn't matter.
func kernelGivesUpAfter() time.Duration {
	elapsed := probeIdle
	for elapsed < unackedTimeout {
		elapsed += probeInterval
	}
	return elapsed
}

// An upstream that falls silent for a second and a half, and then goes on, must not lose its runs. A
// silence that begins just before the first probe leaves the least time. A connection that is dead must be
// detected within three seconds.
func TestShortSilenceClosesNoConnection(t *testing.T) {
	is := is.New(t)
	const shortSilence, detection = 1500 * time.Millisecond, 3 * time.Second
	is.True(kernelGivesUpAfter()-probeIdle > shortSilence)
	is.True(unackedTimeout > shortSilence)
	is.True(kernelGivesUpAfter() <= detection)
}
