package sealedconn

import (
	"net"
	"syscall"
	"time"
)

const (
	// probeIdle, probeInterval and probeCount are when the kernel probes an unused
	// connection, and after how many unanswered probes it ends it: after 3 s. A
	// connection can go silent for good without a reset, for example when a device on
	// its way forgets it; a request that is sent on it would wait for its deadline.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout ends a connection whose peer's kernel doesn't acknowledge what
	// was sent. Round trips take some milliseconds; a lost packet is sent again within
	// half a second.
	unackedTimeout = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
	tcpUserTimeout = 0x12
)

// newDialer returns a dialer of connections whose silence is noticed.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
}

// limitUnacked sets the time after which unacknowledged data ends a connection.
func limitUnacked(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
