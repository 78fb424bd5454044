package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The features for contended services must stay inactive for a service whose upstreams state only
// three figures, and unreadable figures must not activate them.
func TestServiceIsContendedOnceAnUpstreamStatesItsSlowdown(t *testing.T) {
	tests := []struct {
		load string
		want bool
	}{
		{"3,0,8", false},
		{"3,0,8,", false},
		{"3,0,8,x", false},
		{"3,0,8,-1", false},
		{"3,0,8,NaN", false},
		{"3,0,8,140", true},
	}
	for _, test := range tests {
		t.Run(test.load, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			tg.startUpstream("a", func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set("T-Load", test.load)
				respondOK("ok")(w, req)
			})
			is.Equal(tg.do(tg.newRequest("GET", "/many/x", "")).status, 200)
			fleet := tg.gateway.fleet
			is.Equal(fleet.isActive(FeatureAuto, "svc"), test.want)
			is.Equal(fleet.isActive("", "svc"), test.want)
			is.True(fleet.isActive(FeatureOn, "svc"))
			is.True(!fleet.isActive(FeatureOff, "svc"))
		})
	}
}

// A deployment whose settings declare contention gets the features before any upstream has stated
// anything.
func TestServiceIsContendedBySettings(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.policy.allContended = true
	is.True(tg.gateway.fleet.isActive(FeatureAuto, "svc"))
	is.True(!tg.gateway.fleet.isActive(FeatureOff, "svc"))
}

// One statement of one upstream activated the features until the host ended, also for a service whose
// upstreams were all replaced by ones that state nothing. A service counts as contended for a minute
// after the last statement.
func TestServiceIsNotContendedForeverByOneStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := engineFleet()
		state := func(load string) {
			c, _ := f.choose(unsharedPromptCriteria(1000))
			f.headLoadReceived(&c, load)
			f.release(c, attemptResult{outcome: outcomeDone})
		}
		state("3,0,8,140")
		for range 10 {
			time.Sleep(contendedRetention - time.Second)
			is.True(f.isActive(FeatureAuto, "svc"))
			state("3,0,8,140")
		}
		time.Sleep(contendedRetention - time.Second)
		state("3,0,8")
		time.Sleep(2 * time.Second)
		is.True(!f.isActive(FeatureAuto, "svc"))
		is.True(f.isActive(FeatureOn, "svc"))
		state("3,0,8,140")
		is.True(f.isActive(FeatureAuto, "svc"))
	})
}
