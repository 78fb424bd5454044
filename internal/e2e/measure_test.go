package e2e

import (
	"context"
	"flag"
	"strings"
	"testing"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/experiment/path"
)

// measure runs the measurements, which print figures and assert only that all
// answers were whole: go test ./internal/e2e -run TestMeasurePath -measure -v
var measure = flag.Bool("measure", false, "run the measurements")

func TestMeasurePath(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	s := &system{t: t}
	s.platform = startStandin(t, "platform", "platform", "--listen=127.0.0.1:0").address
	e := startStandin(t, "engine-1", "engine", "--platform=http://"+s.platform, "--id=engine-1", "--zone=zone-a",
		"--versions=large@v1,small@v1", "--capacity=4096")
	s.addHost("entry-1", "zone-a", "--capacity=4096")
	s.addHost("entry-2", "zone-b")
	s.submit(devenv.Manifest())
	for range 3 {
		var out strings.Builder
		err := path.Run(context.Background(), &out, path.Options{
			Entry:     s.hosts[0].callers,
			Operators: s.hosts[0].operators,
			Engine:    e.address,
			Key:       devenv.AccountKey,
			Model:     "large",
			Version:   "large@v1",
			Rate:      500,
			Requests:  3000,
			Seed:      1,
			Streams:   1000,
			Tokens:    1000,
		})
		t.Logf("\n%s", out.String())
		if err != nil {
			t.Fatal(err)
		}
	}
}
