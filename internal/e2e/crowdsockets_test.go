package e2e

import (
	"io"
	"testing"
)

// Callers that open connections and send nothing, or stop in the middle of a request, must leave descriptors
// for the others and for upstreams, the store and other hosts.
func TestCrowdTakesNoDescriptorsOfOthers(t *testing.T) {
	for _, c := range []crowdCase{
		{"nothing", func(io.Writer) error { return nil }},
		{"half a head", inPieces("GET /many/x HTTP/1.1\r\nHost: fl", 64)},
		{"half a body", inPieces(gatewayHead("key-a", sized(10))+"half", 1<<10)},
		{"a whole request", inPieces(gatewayHead("key-a", sized(0)), 1<<10)},
	} {
		for _, at := range []struct {
			desc    string
			address func(h *gatewayHost) string
		}{
			{"callers", func(h *gatewayHost) string { return h.callerAddr }},
			{"ready", func(h *gatewayHost) string { return h.readyAddr }},
			{"peers", func(h *gatewayHost) string { return h.peerAddr }},
		} {
			t.Run(c.desc+"/"+at.desc, func(t *testing.T) {
				s, h := crowdGateway(t, scarceDescriptors)
				u := sampleUsage(h.process)
				openCrowd(t, at.address(h), manyConnections, c.send)
				s.requireOrdinaryAnswer(h)
				eventually(t, "the host states that it is ready", func() bool { return s.isReady(h) })
				u.stop(t, crowdMemoryMB, scarceDescriptors-reservedDescriptors)
			})
		}
	}
}
