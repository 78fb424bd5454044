package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A limit set for a version stayed in force for good when the next version was ordered, though its answers weren't counted
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

// A limit between two loads that fail about as often was logged ten times a second.
func TestChangesOfALoadLimitAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	var l loadLimitLog
	now, lines := time.Now(), 0
	for i := range 100 {
		if l.due(0.25+float64(i%2)/16, now.Add(time.Duration(i)*rolloutInterval)) {
			lines++
		}
	}
	is.True(lines <= int(100*rolloutInterval/loadLimitLogInterval)+1)
	is.True(l.due(0, now.Add(time.Minute)))
	is.True(!l.due(0, now.Add(2*time.Minute))) // unchanged
}
