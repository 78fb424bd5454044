package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Callers that open another connection whenever one of theirs is closed, with heads and bodies of all kinds at a
// time, neither end the process nor keep ordinary callers from being answered.
func TestCrowdThatComesBack(t *testing.T) {
	const returns = 10
	s, h := crowdGateway(t, ampleDescriptors)
	cases := append(endlessHeads(), largeBodies(func(lines string) string { return gatewayHead("key-a", lines) })...)
	u := sampleUsage(h.process)
	var group sync.WaitGroup
	defer group.Wait()
	for i := range crowdSize {
		group.Go(func() {
			for n := range returns {
				conn, err := net.Dial("tcp", h.callerAddr)
				if err != nil {
					continue
				}
				if cases[(i+n)%len(cases)].send(conn) == nil {
					_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
					_, _ = io.Copy(io.Discard, conn) // until the process closes the connection
				}
				conn.Close()
			}
		})
	}
	for range 20 {
		s.requireOrdinaryAnswer(h)
	}
	u.stop(t, crowdMemoryMB, ampleDescriptors)
}
