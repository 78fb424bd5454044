package e2e

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
)

// TestLimitHoldsOverAllHosts sends requests far above an account's limit through
// three hosts and checks that no more are answered than the limit allows in the
// elapsed time.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	const rate, burst = 40.0, 20
	data := bytes.Replace(devenv.Manifest(),
		[]byte("\"requests_per_second\": 0,\n      \"burst\": 0"),
		[]byte("\"requests_per_second\": 40,\n      \"burst\": 20"), 1)
	started := time.Now()
	s.submit(data)
	answered := 0
	eventually(t, "enough answers", func() bool {
		for _, h := range s.hosts {
			a, err := chat("large", "limited tokens=1", false).send(h)
			is.NoErr(err)
			switch a.status {
			case http.StatusOK:
				answered++
			case http.StatusTooManyRequests:
				is.Equal(a.get("Quetzalweir-Run-State"), "not-run")
				is.True(a.get("Retry-After") != "") // with the time until a retry
			default:
				t.Fatalf("status %d: %s", a.status, a.body)
			}
		}
		return answered >= 4*burst
	})
	allowed := rate*time.Since(started).Seconds() + burst
	is.True(float64(answered) <= allowed) // no overshoot over all hosts
}
