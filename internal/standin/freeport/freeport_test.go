package freeport

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestAddress(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 50 {
		address, err := Address("127.0.0.1")
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		defer listener.Close()
	}
}
