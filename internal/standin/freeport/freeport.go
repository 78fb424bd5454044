// Package freeport finds free addresses for processes that tests start, whose
// addresses must be known before they listen.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// The range of ports lies below the ephemeral ports: an outgoing connection of any
// process could otherwise take a free port before the intended process listens on it.
const (
	firstPort = 15000
	lastPort  = 32000
)

// ErrNoFreePort means that all ports of the range are in use.
var ErrNoFreePort = errors.New("freeport: no free port")

// nextOffset is the offset of the next port in the range. It starts at random, so that
// processes that search at the same time seldom try the same ports.
var nextOffset = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(lastPort - firstPort))
	return &n
}()

// Address returns an address on the IP that nothing listens on at present. Later calls
// in this process return it again only after they have gone through the whole range.
func Address(ip string) (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextOffset.Add(1))%(lastPort-firstPort)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		if err := listener.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", ErrNoFreePort
}
