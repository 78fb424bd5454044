package httpintake

import "syscall"

// reservedDescriptors is the number of descriptors that are left to files, of those that the system permits.
const reservedDescriptors = 200

// SocketLimit returns the number of sockets that the process may open: the configured one, or that which the
// system permits if that is smaller or if none is configured.
func SocketLimit(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return configured
	}
	const most = 1 << 20
	permitted := max(1, int(min(limit.Cur, most))-reservedDescriptors)
	if configured <= 0 {
		return permitted
	}
	return min(configured, permitted)
}
