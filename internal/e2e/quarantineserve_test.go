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

// The own front door sent a request on to three engines, too, whatever became of the ones
// before, and took each repeat by the caller for a new request. A request that ends
// engines is kept away here as well: by all hosts, also ones that start later, until
// operators lift it; and those beside it are served.
func TestServedRequestThatEndsEnginesIsKeptAway(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	var mu sync.Mutex
	ended, made, over := 0, 0, false
	var add func(zone string)
	add = func(zone string) { // the lock is held
		made++
		id := fmt.Sprintf("fragile-%d", made)
		e := startStandin(t, id, "engine", "--platform=http://"+s.platform, "--id="+id, "--zone="+zone,
			"--versions=small@v1,small@v2,large@v1", "--time-per-token=4ms", "--fatal=fatal")
		go func() {
			<-e.done
			mu.Lock()
			defer mu.Unlock()
			if !over {
				ended++
				add(zone)
			}
		}()
	}
	defer func() { // before the engines are ended by the test's cleanup
		mu.Lock()
		defer mu.Unlock()
		over = true
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
	eventually(t, "the fragile engines serve", func() bool {
		a, err := chat("small", "question tokens=4", false).send(s.hosts[0])
		return err == nil && a.status == http.StatusOK
	})

	ask := func(h *entryHost) bool {
		a, err := chat("small", "fatal tokens=40", false).send(h)
		return err == nil && a.status == http.StatusInternalServerError && strings.Contains(a.body, quarantined)
	}
	refused := 0
	for i := range 30 {
		if ask(s.hosts[i%3]) {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	before := ended
	mu.Unlock()
	t.Logf("%d engines ended, %d of 30 requests were refused", before, refused)
	is.True(before >= 3)
	for _, h := range s.hosts {
		is.True(ask(h))
	}
	later := s.addHost("entry-late", "zone-a")
	eventually(t, "a host that starts later keeps it away", func() bool { return ask(later) })
	mu.Lock()
	is.Equal(ended, before)
	mu.Unlock()
	eventually(t, "others are served", func() bool {
		a, err := chat("small", "question tokens=4", false).send(s.hosts[1])
		return err == nil && a.status == http.StatusOK
	})

	var verdicts []quarantine.Verdict
	is.NoErr(s.get(s.hosts[2], entry.PathQuarantine, &verdicts))
	is.Equal(len(verdicts), 1)
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.hosts[2].operators+entry.PathQuarantine+"/"+verdicts[0].Digest.String(), nil)
	is.NoErr(err)
	is.NoErr(s.operator(req, nil))
	eventually(t, "it is lifted everywhere", func() bool { return !ask(s.hosts[0]) && !ask(s.hosts[1]) })
}
