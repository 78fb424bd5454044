package upstream_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// receivedCounts holds the number of times that a stand-in received the request header of one
// call, and the number of times that it ran the call.
type receivedCounts struct {
	heads, runs int
}

// checkRunState returns an error if the run state contradicts what the stand-in
// received, or if the call was received or run more than once.
func checkRunState(state runstate.State, got receivedCounts) error {
	if got.heads > 1 || got.runs > 1 {
		return fmt.Errorf("the call was received %d times and ran %d times", got.heads, got.runs)
	}
	if state == runstate.NotRun && got.heads > 0 {
		return fmt.Errorf("state is %v, but the call was received", state)
	}
	if state == runstate.Ran && got.runs == 0 {
		return fmt.Errorf("state is %v, but the call never started", state)
	}
	return nil
}

func TestCheckRunStateRejects(t *testing.T) {
	tests := []struct {
		desc  string
		state runstate.State
		got   receivedCounts
	}{
		{"sent twice", runstate.MayHaveRun, receivedCounts{heads: 2, runs: 1}},
		{"ran twice", runstate.Ran, receivedCounts{heads: 1, runs: 2}},
		{"not run, but received", runstate.NotRun, receivedCounts{heads: 1}},
		{"ran, but never started", runstate.Ran, receivedCounts{heads: 1}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is.New(t).True(checkRunState(test.state, test.got) != nil)
		})
	}
}

// cutTests lists, for each point at which the connection is cut, the run state that
// the client must report and what the stand-in must have received.
var cutTests = []struct {
	at    cut.Boundary
	state runstate.State
	got   receivedCounts
}{
	{cut.BeforeHead, runstate.MayHaveRun, receivedCounts{}},
	{cut.AfterHead, runstate.MayHaveRun, receivedCounts{heads: 1}},
	{cut.MidBody, runstate.MayHaveRun, receivedCounts{heads: 1}},
	{cut.BeforeAnswer, runstate.MayHaveRun, receivedCounts{heads: 1, runs: 1}},
	{cut.MidAnswer, runstate.Ran, receivedCounts{heads: 1, runs: 1}},
}

// connKinds lists the kinds of connections that a call can use: a new connection, or a
// pooled connection that an earlier call opened.
var connKinds = []struct {
	desc   string
	pooled bool
}{{"new connection", false}, {"pooled connection", true}}

func TestEngineCuts(t *testing.T) {
	for _, test := range cutTests {
		for _, kind := range connKinds {
			t.Run(string(test.at)+" on "+kind.desc, func(t *testing.T) {
				is := is.New(t)
				standin, target := startEngine(t, engine.Options{})
				c := newEngineClient(t, upstream.EngineOptions{})
				if kind.pooled {
					_, err := openAndRead(t.Context(), c, target, engineCall("warm"), new(runstate.Tracker))
					is.NoErr(err)
				}
				standin.SetFaults(engine.Faults{Cut: cut.Plan{At: test.at, Times: 1, Frames: 7}})
				var state runstate.Tracker
				text, err := openAndRead(t.Context(), c, target, engineCall("r1"), &state)
				a := standin.Arrival("r1")
				got := receivedCounts{heads: a.Heads, runs: a.Began}
				is.NoErr(checkRunState(state.State(), got))
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

// retriableCalls lists calls with different methods, bodies and request keys. After the
// connection broke, net/http would resend some of them by itself.
var retriableCalls = []struct {
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
		for _, call := range retriableCalls {
			if test.at == cut.MidBody && call.body == "" {
				continue
			}
			for _, kind := range connKinds {
				desc := fmt.Sprintf("%s of %s, %d bytes, key %q, %s", test.at, call.method, len(call.body), call.key, kind.desc)
				t.Run(desc, func(t *testing.T) {
					is := is.New(t)
					standin, target := startService(t)
					c := newServiceClient(t)
					if kind.pooled {
						_, err := c.Do(t.Context(), target, serviceCall("warm", "POST", "x", ""), new(runstate.Tracker))
						is.NoErr(err)
					}
					standin.SetFaults(service.Faults{Cut: cut.Plan{At: test.at, Times: 1}})
					var state runstate.Tracker
					_, err := c.Do(t.Context(), target, serviceCall("r1", call.method, call.body, call.key), &state)
					a := standin.Arrival("r1")
					got := receivedCounts{heads: a.Heads, runs: a.Runs}
					is.NoErr(checkRunState(state.State(), got))
					is.Equal(state.State(), test.state)
					is.Equal(got, test.got)
					is.True(errors.Is(err, upstream.ErrBroken)) // a truncated body is never returned as a response
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
	address, release, err := freeport.RefusingAddress("127.0.0.1")
	is.NoErr(err)
	defer func() { _ = release() }()
	target := upstream.Target{Address: address}
	var state runstate.Tracker
	_, err = newEngineClient(t, upstream.EngineOptions{}).Open(t.Context(), target, engineCall("r1"), &state)
	is.True(errors.Is(err, upstream.ErrNotSent))
	_, err = newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", "x", ""), &state)
	is.True(errors.Is(err, upstream.ErrNotSent))
	is.Equal(state.State(), runstate.NotRun)
}
