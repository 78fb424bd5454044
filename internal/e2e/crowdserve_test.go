package e2e

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
)

// crowdServeHost starts an entry host with little memory, with its platform and engines.
func crowdServeHost(t *testing.T) (*system, *entryHost) {
	t.Helper()
	t.Setenv("QUETZALWEIR_MEMORY_MB", strconv.Itoa(crowdMemoryMB))
	s := startSystem(t, 0)
	h := s.addHost("entry-1", zone(0), "--max-body="+strconv.Itoa(crowdBody))
	s.submit(devenv.Manifest())
	return s, h
}

// requireOrdinaryChat requires that a caller of the entry host that comes back after refusals is answered.
func requireOrdinaryChat(t *testing.T, h *entryHost) {
	t.Helper()
	eventually(t, "an ordinary chat is answered", func() bool {
		client.CloseIdleConnections()
		a, err := chat("small", "hello tokens=5", false).send(h)
		return err == nil && a.status == http.StatusOK
	})
}

func TestCrowdAtServeOfEndlessHeads(t *testing.T) {
	for _, c := range endlessHeads() {
		for _, at := range []struct {
			desc    string
			address func(h *entryHost) string
		}{
			{"callers", func(h *entryHost) string { return h.callerAddr }},
			{"operators", func(h *entryHost) string { return h.operatorAddr }},
		} {
			t.Run(c.desc+"/"+at.desc, func(t *testing.T) {
				_, h := crowdServeHost(t)
				u := sampleUsage(h.process)
				openCrowd(t, at.address(h), headCrowdSize, c.send)
				requireOrdinaryChat(t, h)
				u.stop(t, crowdMemoryMB, ampleDescriptors)
			})
		}
	}
}

func TestCrowdAtServeOfLargeBodies(t *testing.T) {
	head := func(lines string) string {
		return "POST " + chatPath + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + devenv.AccountKey + "\r\n" + lines
	}
	for _, c := range largeBodies(head) {
		t.Run(c.desc, func(t *testing.T) {
			_, h := crowdServeHost(t)
			u := sampleUsage(h.process)
			openCrowd(t, h.callerAddr, crowdSize, c.send)
			requireOrdinaryChat(t, h)
			u.stop(t, crowdMemoryMB, ampleDescriptors)
		})
	}
}

// Operators submit manifests with bodies; a key is needed before a body is read.
func TestCrowdAtServeOfLargeBodiesOfOperators(t *testing.T) {
	head := func(lines string) string {
		return "POST /v1/manifest HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + devenv.OperatorKey + "\r\n" + lines
	}
	for _, c := range largeBodies(head) {
		t.Run(c.desc, func(t *testing.T) {
			_, h := crowdServeHost(t)
			u := sampleUsage(h.process)
			openCrowd(t, h.operatorAddr, crowdSize, c.send)
			requireOrdinaryChat(t, h)
			u.stop(t, crowdMemoryMB, ampleDescriptors)
		})
	}
}

// A chat with a body as large as the settings permit is served in calm.
func TestLargeBodyIsServedInCalmByServe(t *testing.T) {
	is := is.New(t)
	_, h := crowdServeHost(t)
	for range 5 {
		a, err := chat("small", strings.Repeat("b", crowdBody-200)+" tokens=5", false).send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
	}
}
