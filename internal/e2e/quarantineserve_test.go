package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Guards against a poison request at entry hosts: like the gateway, they sent it to three
// engines although each one crashed, and treated each repetition by the caller as a new
// request. All hosts, also those that start later, must quarantine the request until operators
// withdraw the verdict, and must serve other requests.
func TestEntryHostsQuarantinePoisonRequest(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	var mu sync.Mutex
	crashed, started, stopped := 0, 0, false
	var add func(zone string)
	add = func(zone string) { // the caller holds mu
		started++
		id := fmt.Sprintf("fragile-%d", started)
		e := startStandin(t, id, "engine", "--platform=http://"+s.platform, "--id="+id, "--zone="+zone,
			"--versions=small@v1,small@v2,large@v1", "--time-per-token=4ms", "--fatal=fatal")
		go func() {
			<-e.done
			mu.Lock()
			defer mu.Unlock()
			if !stopped {
				crashed++
				add(zone)
			}
		}()
	}
	defer func() { // runs before the test's cleanup kills the engines
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}()
	mu.Lock()
	for i := range 6 {
		add(zone(i))
	}
	mu.Unlock()
	s.submit(devenv.Manifest())
	for _, e := range s.engines {
		e.kill()
	}
	eventually(t, "the new engines serve", func() bool {
		a, err := chat("small", "question tokens=4", false).send(s.hosts[0])
		return err == nil && a.status == http.StatusOK
	})

	refusedAsPoison := func(h *entryHost) bool {
		a, err := chat("small", "fatal tokens=40", false).send(h)
		return err == nil && a.status == http.StatusInternalServerError && strings.Contains(a.body, quarantinedCode)
	}
	refused := 0
	for i := range 30 {
		if refusedAsPoison(s.hosts[i%3]) {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	before := crashed
	mu.Unlock()
	t.Logf("%d engines crashed, %d of 30 requests were refused", before, refused)
	is.True(before >= 3)
	for _, h := range s.hosts {
		is.True(refusedAsPoison(h))
	}
	later := s.addHost("entry-late", "zone-a")
	eventually(t, "a host that starts later refuses the request", func() bool { return refusedAsPoison(later) })
	mu.Lock()
	is.Equal(crashed, before)
	mu.Unlock()
	eventually(t, "other requests are served", func() bool {
		a, err := chat("small", "question tokens=4", false).send(s.hosts[1])
		return err == nil && a.status == http.StatusOK
	})

	var verdicts []quarantine.Verdict
	is.NoErr(s.operatorGet(s.hosts[2], entry.PathQuarantine, &verdicts))
	is.Equal(len(verdicts), 1)
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.hosts[2].operatorAddr+entry.PathQuarantine+"/"+verdicts[0].Digest.String(), nil)
	is.NoErr(err)
	is.NoErr(s.sendToOperatorAPI(req, nil))
	eventually(t, "the verdict is withdrawn", func() bool { return !refusedAsPoison(s.hosts[0]) && !refusedAsPoison(s.hosts[1]) })
}
