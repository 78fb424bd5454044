package upstream_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// arrived is what a stand-in really got of one call.
type arrived struct {
	heads, runs int
}

// checkTruth says whether a run state is true of what arrived, and that the
// call came at most once.
func checkTruth(state runstate.State, got arrived) error {
	if got.heads > 1 || got.runs > 1 {
		return fmt.Errorf("the call came %d times and ran %d times", got.heads, got.runs)
	}
	if state == runstate.NotRun && got.heads > 0 {
		return fmt.Errorf("%v, but it arrived", state)
	}
	if state == runstate.Ran && got.runs == 0 {
		return fmt.Errorf("%v, but it never began", state)
	}
	return nil
}

func TestCheckTruthRejects(t *testing.T) {
	tests := []struct {
		desc  string
		state runstate.State
		got   arrived
	}{
		{"sent twice", runstate.MayHaveRun, arrived{heads: 2, runs: 1}},
		{"ran twice", runstate.Ran, arrived{heads: 1, runs: 2}},
		{"denied an arrival", runstate.NotRun, arrived{heads: 1}},
		{"claimed a run", runstate.Ran, arrived{heads: 1}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is.New(t).True(checkTruth(test.state, test.got) != nil)
		})
	}
}

// cutTests say what each cut leaves behind.
var cutTests = []struct {
	at    cut.Boundary
	state runstate.State
	got   arrived
}{
	{cut.BeforeHead, runstate.MayHaveRun, arrived{}},
	{cut.AfterHead, runstate.MayHaveRun, arrived{heads: 1}},
	{cut.MidBody, runstate.MayHaveRun, arrived{heads: 1}},
	{cut.BeforeAnswer, runstate.MayHaveRun, arrived{heads: 1, runs: 1}},
	{cut.MidAnswer, runstate.Ran, arrived{heads: 1, runs: 1}},
}

// pools are the two kinds of connections that a call can get.
var pools = []struct {
	desc string
	warm bool
}{{"new connection", false}, {"pooled connection", true}}

func TestEngineCuts(t *testing.T) {
	for _, test := range cutTests {
		for _, pool := range pools {
			t.Run(string(test.at)+" on "+pool.desc, func(t *testing.T) {
				is := is.New(t)
				standin, target := startEngine(t, engine.Options{})
				c := newEngineClient(t, upstream.EngineOptions{})
				if pool.warm {
					_, err := ask(t.Context(), c, target, engineCall("warm"), new(runstate.Tracker))
					is.NoErr(err)
				}
				standin.SetFaults(engine.Faults{Cut: cut.Plan{At: test.at, Times: 1, Frames: 7}})
				var state runstate.Tracker
				text, err := ask(t.Context(), c, target, engineCall("r1"), &state)
				a := standin.Arrival("r1")
				got := arrived{heads: a.Heads, runs: a.Began}
				is.NoErr(checkTruth(state.State(), got))
				is.Equal(state.State(), test.state)
				is.Equal(got, test.got)
				if test.state == runstate.Ran {
					is.NoErr(err)
					is.Equal(text, engine.ExpectedAnswer("m", "1", prompt))
					return
				}
				is.True(errors.Is(err, upstream.ErrBroken))
			})
		}
	}
}

// repeatTempters are calls that net/http would send again by itself.
var repeatTempters = []struct {
	method string
	body   string
	key    string
}{
	{http.MethodPost, "bid 1", ""},
	{http.MethodPost, "bid 1", "k1"},
	{http.MethodPost, "", "k1"},
	{http.MethodGet, "", ""},
	{http.MethodPut, "bid 1", "k1"},
	{http.MethodDelete, "", "k1"},
}

func TestServiceCutsNeverRepeat(t *testing.T) {
	for _, test := range cutTests {
		for _, call := range repeatTempters {
			if test.at == cut.MidBody && call.body == "" {
				continue
			}
			for _, pool := range pools {
				desc := fmt.Sprintf("%s of %s, %d bytes, key %q, %s", test.at, call.method, len(call.body), call.key, pool.desc)
				t.Run(desc, func(t *testing.T) {
					is := is.New(t)
					standin, target := startService(t)
					c := newServiceClient(t)
					if pool.warm {
						_, err := c.Do(t.Context(), target, serviceCall("warm", "POST", "x", ""), new(runstate.Tracker))
						is.NoErr(err)
					}
					standin.SetFaults(service.Faults{Cut: cut.Plan{At: test.at, Times: 1}})
					var state runstate.Tracker
					_, err := c.Do(t.Context(), target, serviceCall("r1", call.method, call.body, call.key), &state)
					a := standin.Arrival("r1")
					got := arrived{heads: a.Heads, runs: a.Runs}
					is.NoErr(checkTruth(state.State(), got))
					is.Equal(state.State(), test.state)
					is.Equal(got, test.got)
					is.True(errors.Is(err, upstream.ErrBroken)) // no cut body is an answer
				})
			}
		}
	}
}

func TestIdempotentCallMayRepeat(t *testing.T) {
	is := is.New(t)
	standin, target := startService(t)
	c := newServiceClient(t)
	call := serviceCall("r1", http.MethodPut, "price 5", "")
	call.Idempotent = true
	_, err := c.Do(t.Context(), target, call, new(runstate.Tracker))
	is.NoErr(err)
	standin.SetFaults(service.Faults{Cut: cut.Plan{At: cut.BeforeHead, Times: 1}})
	_, err = c.Do(t.Context(), target, call, new(runstate.Tracker))
	is.NoErr(err)
	is.Equal(standin.Arrival("r1").Runs, 2)
}

func serviceCall(id, method, body, key string) upstream.ServiceCall {
	call := upstream.ServiceCall{RequestID: id, Method: method, Path: "/bids?lot=17", Body: []byte(body), Header: http.Header{}}
	if key != "" {
		call.Header.Set(service.HeaderIdempotencyKey, key)
	}
	return call
}

func TestNoConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := upstream.Target{Address: listener.Addr().String()}
	listener.Close()
	var state runstate.Tracker
	_, err = newEngineClient(t, upstream.EngineOptions{}).Open(t.Context(), target, engineCall("r1"), &state)
	is.True(errors.Is(err, upstream.ErrConnect))
	_, err = newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", "x", ""), &state)
	is.True(errors.Is(err, upstream.ErrConnect))
	is.Equal(state.State(), runstate.NotRun)
}
