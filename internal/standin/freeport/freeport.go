// Package freeport finds addresses for processes that tests start: they have to be
// known before anything listens there.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// Ports below those that systems give to outgoing connections: one of those could
// take a free address before the process that it is meant for listens there.
const (
	firstPort = 15000
	lastPort  = 32000
)

// ErrNone means that all ports are in use.
var ErrNone = errors.New("freeport: no free port")

// next begins at a place of the process's own, so that two processes that look for
// ports seldom meet.
var next = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(lastPort - firstPort))
	return &n
}()

// Address returns an address on the IP that nothing listens on now, and that no
// other call of this process returns soon.
func Address(ip string) (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(next.Add(1))%(lastPort-firstPort)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another program
		}
		if err := listener.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", ErrNone
}
