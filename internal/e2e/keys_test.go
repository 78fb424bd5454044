package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
)

const secondSampleKey = "k2:7765697277656972776569727765697277656972776569727765697277656972"

// TestKeyRotationInterruptsNoRequest replaces the keys for peers and session tokens by
// restarting all hosts three times, one after the other, under load. No request
// may fail, and a session must keep its version while its tokens change keys.
func TestKeyRotationInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	head := s.submit(devenv.Manifest())
	fleet, b := s.startBalancer()
	first, err := chat("small", "hello tokens=1", false).with("Quetzalweir-Session", "new").send(b.pick())
	is.NoErr(err)
	version, token := first.get("Quetzalweir-Version"), first.get("Quetzalweir-Session")

	load := startLoad(t, b)
	load.add(first)
	for step, keys := range []string{sampleKey + "," + secondSampleKey, secondSampleKey + "," + sampleKey, secondSampleKey} {
		for _, old := range fleet.list() {
			id := fmt.Sprintf("%s-%d", old.id[:len("entry-1")], step)
			fleet.add(s.addHost(id, zone(step), "--peer-keys="+keys, "--session-keys="+keys))
			eventually(t, "the new host is ready", func() bool { return isReady(fleet.last()) })
			is.NoErr(old.terminate())
			fleet.remove(old)
		}
		load.waitForAnswers(5)
		a, err := chat("small", "again tokens=1", false).with("Quetzalweir-Session", token).send(fleet.last())
		is.NoErr(err)
		is.Equal(a.get("Quetzalweir-Version"), version)
		token = a.get("Quetzalweir-Session")
		load.add(a)
	}
	s.checkBills(fleet.last(), head.Epoch, load.stop())
	for _, h := range s.hosts {
		for _, key := range []string{sampleKey, secondSampleKey} {
			is.True(!strings.Contains(h.output(), strings.SplitN(key, ":", 2)[1])) // no key in any log
		}
	}
}

// TestUnknownCallerGetsUnauthorized checks that a caller without an account gets
// the status 401 whatever the request body is, so that the status reveals nothing
// about which bodies are valid.
func TestUnknownCallerGetsUnauthorized(t *testing.T) {
	s := startSystem(t, 1)
	s.submit(devenv.Manifest())
	for key, want := range map[string]int{"nobody": http.StatusUnauthorized, devenv.AccountKey: http.StatusBadRequest} {
		req, err := http.NewRequest("POST", "http://"+s.hosts[0].callerAddr+"/v1/chat/completions", strings.NewReader("not JSON"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("key %s: status %d, want %d", key, resp.StatusCode, want)
		}
	}
}
