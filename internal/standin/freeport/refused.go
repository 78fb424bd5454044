package freeport

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
)

// ErrNotIPv4 means that the given IP isn't an IPv4 address.
var ErrNotIPv4 = errors.New("freeport: not an IPv4 address")

// RefusingAddress returns an address on the IPv4 address ip that refuses connections until release
// is called. A socket stays bound to the port without listening: the system may assign a port that
// was only closed to the next listener, which would accept the connections.
func RefusingAddress(ip string) (address string, release func() error, err error) {
	v4 := net.ParseIP(ip).To4()
	if v4 == nil {
		return "", nil, fmt.Errorf("%w: %q", ErrNotIPv4, ip)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return "", nil, fmt.Errorf("freeport: socket: %w", err)
	}
	release = func() error { return syscall.Close(socket) }
	syscall.CloseOnExec(socket)
	port, err := bindPort(socket, [4]byte(v4))
	if err != nil {
		return "", nil, errors.Join(err, release())
	}
	return net.JoinHostPort(ip, strconv.Itoa(port)), release, nil
}

// bindPort binds the socket to a free port that the system chooses and returns the port.
func bindPort(socket int, ip [4]byte) (int, error) {
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: ip}); err != nil {
		return 0, fmt.Errorf("freeport: bind: %w", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, fmt.Errorf("freeport: getsockname: %w", err)
	}
	v4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("%w: socket bound to %T", ErrNotIPv4, bound)
	}
	return v4.Port, nil
}
