package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

// A stream whose engine becomes so slow that it would end after the caller's deadline is continued at
// another engine, from a copy if engines copy runs. The caller gets each event once and in time.
func TestSlowStreamIsMoved(t *testing.T) {
	for _, copies := range []bool{true, false} {
		t.Run(fmt.Sprintf("copies %t", copies), func(t *testing.T) {
			is := is.New(t)
			s := newGatewaySystem(t, 1, 1)
			s.document["services"] = []any{map[string]any{"name": "app"}, map[string]any{"name": "pool", "runtime": map[string]any{
				"slots": 8, "kv_bytes": 163840, "link_mbps": 2_200_000, "migrations": copies, "handle_s": 5,
			}}}
			s.publish(2)
			runCopies := new(platformtest.RunCopies)
			for _, u := range s.upstreams {
				if copies {
					u.SetCopies(runCopies)
				}
			}
			h := s.gateways[0]
			is.NoErr(h.terminate())
			h.process = start(t, h.name, nil, "gateway", "--settings="+h.settingsFile, "--metrics-port=0", "--stream-moves=on")
			eventually(t, h.name+" is ready", func() bool { return s.isReady(h) })
			send := func() (owner *platformtest.Upstream) {
				id := fmt.Sprintf("r-%d", s.requestCount.Add(1))
				req, err := http.NewRequest("POST", "http://"+h.callerAddr+"/stream/x", strings.NewReader("body of "+id))
				is.NoErr(err)
				req.Host = "fleet.example"
				for name, value := range map[string]string{
					"X-Attempt-Id": id, "X-Api-Key": "key-a", "X-Deadline-Ms": "4000", "X-Model": "strong",
					"X-Prefix-Hash": "aa:100," + id + ":10", "X-Token-Count": "110,24",
				} {
					req.Header.Set(name, value)
				}
				resp, err := s.client.Do(req)
				is.NoErr(err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				answer := gatewayAnswer{id: id, kind: "stream"}
				is.Equal(string(body), answer.expectedBody())
				for _, u := range s.upstreams {
					if u.Runs()[id] > 0 && owner == nil {
						owner = u
					}
				}
				return owner
			}
			var owner *platformtest.Upstream
			for range 10 { // the host computes the usual pace from these
				owner = send()
			}
			owner.SetPause(time.Second)
			send()
			is.Equal(s.problems(), nil)
			runs := 0
			for _, u := range s.upstreams {
				runs += len(u.StartedRuns())
			}
			is.Equal(runCopies.Created() == 1, copies)
			is.Equal(runs, 12) // the moved stream ran at two engines
		})
	}
}
