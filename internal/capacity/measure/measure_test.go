package measure

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
)

// TestQuick runs the groups that don't wait and checks that each gives
// figures that can be right.
func TestQuick(t *testing.T) {
	slow := map[string]bool{"upstreams": true, "membership": true, "quotas": true, "requests": true, "idle host": true}
	for _, g := range groups {
		if slow[g.name] {
			continue
		}
		t.Run(g.name, func(t *testing.T) {
			is := is.New(t)
			r := &run{ctx: t.Context(), quick: true}
			is.NoErr(g.f(r))
			is.True(len(r.list) > 0)
			for _, s := range r.list {
				is.True(s.Unit != "" && s.Note != "" && len(s.Points) > 0)
				if s.ID != capacity.ClaimReads && s.Unit != unitCPU && !plausible(s) {
					t.Errorf("%s: %+v", s.ID, s.Points)
				}
			}
		})
	}
}

// plausible says whether all points are above zero. Of heaps, which are
// differences between two looks with the collector's own work in them, the
// smallest size may be lost in that; what is taken of the largest must be seen.
func plausible(s capacity.Slope) bool {
	points := s.Points
	if strings.HasSuffix(string(s.ID), "-memory") && len(points) > 1 {
		points = points[1:]
	}
	return !slices.ContainsFunc(points, func(p capacity.Point) bool { return p.Y <= 0 })
}

// TestBareEngine checks the stand-in that the costs are measured against: it
// gives whole answers, and the caller notices one that isn't.
func TestBareEngine(t *testing.T) {
	is := is.New(t)
	e, err := startEngines(1)
	is.NoErr(err)
	defer e.close()
	c, err := dialBare(t.Context(), e.address(0))
	is.NoErr(err)
	defer c.conn.Close()
	is.NoErr(c.request("key", "tokens=3 a question"))
	once := e.wire.settled()
	is.NoErr(c.request("key", "tokens=30 a question"))
	is.True(e.wire.settled()-once > 2*once) // the frames were sent

	_, err = c.conn.Write([]byte("GET /load HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	is.True(c.receive() != nil) // a load report has no end mark
}

func TestTokensOf(t *testing.T) {
	for body, want := range map[string]int{"a question": 1, "tokens=12 a question": 12, "tokens=x": 1, "": 1} {
		t.Run(body, func(t *testing.T) { is.New(t).Equal(tokensOf(body), want) })
	}
}
