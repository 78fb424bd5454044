package e2e

import (
	"io"
	"net"
	"testing"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// Answers that nobody reads keep their memory until their callers are given up.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	const answerBytes = 6 << 20 // more than the system buffers for a connection
	large := func(s *gatewaySystem) {
		s.prepare = func(up *platformtest.Upstream) { up.TextBytes = answerBytes }
	}
	s, h := crowdGateway(t, ampleDescriptors, large)
	u := sampleUsage(h.process)
	openCrowd(t, h.callerAddr, crowdSize, func(w io.Writer) error {
		if err := w.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		_, err := io.WriteString(w, gatewayHead("key-a", sized(0)))
		return err
	})
	s.requireOrdinaryAnswer(h)
	u.stop(t, crowdMemoryMB, ampleDescriptors)
}
