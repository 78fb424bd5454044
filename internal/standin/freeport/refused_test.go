package freeport

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// While the port is reserved, no other listener gets it, neither on request nor as the free
// port that the system chooses.
func TestRefused(t *testing.T) {
	is := is.New(t)
	address, release, err := RefusingAddress("127.0.0.1")
	is.NoErr(err)
	for range 1000 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.True(other.Addr().String() != address)
		is.NoErr(other.Close())
	}
	_, err = net.Listen("tcp", address)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	_, err = net.Dial("tcp", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(release())
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	is.NoErr(listener.Close())
}

func TestRefusedNeedsIPv4(t *testing.T) {
	is := is.New(t)
	_, _, err := RefusingAddress("::1")
	is.True(errors.Is(err, ErrNotIPv4))
}
