package sealedconn

import (
	"net"
	"syscall"
	"time"
)

const (
	// probeIdle, probeInterval and probeCount configure TCP keep-alive: the kernel
	// closes an idle connection whose peer hasn't responded for 3 s. A connection can
	// fail without a reset, for example when a middlebox drops its state; a request
	// sent on it would wait until its deadline.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// unackedTimeout is how long sent data may remain unacknowledged before the kernel
	// closes the connection. An upstream may be silent for a second or more and go on.
	// The timeout also replaces probeCount: the first probe that is due after it closes
	// the connection.
	unackedTimeout = 2500 * time.Millisecond
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), which package
	// syscall doesn't define.
	tcpUserTimeout = 0x12
)

// NewDialer returns a dialer whose connections are closed when the peer stops
// responding.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket to unackedTimeout.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
