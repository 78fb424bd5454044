package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A limit learnt for a version stayed in force for good when the next version was ordered, though its answers weren't counted
// any more.
func TestLoadLimitEndsAfterTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLoadReplay(t, 0, loadLimitCases[0])
		p.play()
		g := p.hosts[0]
		is.Equal(g.fleet.countLoadLimits(), 1)
		p.order("v3", time.Hour)
		time.Sleep(time.Second)
		is.Equal(g.fleet.countLoadLimits(), 1) // the load is still there
		time.Sleep(loadLimitMaxAge)
		is.Equal(g.fleet.countLoadLimits(), 0)
	})
}
