package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// serviceAnswer is a service that answers each call with itself.
type serviceAnswer upstream.ServiceResponse

func (s serviceAnswer) Do(_ context.Context, _ upstream.Target, _ upstream.ServiceCall, state *runstate.Tracker) (upstream.ServiceResponse, error) {
	state.Raise(runstate.MayHaveRun)
	return upstream.ServiceResponse(s), nil
}

// engineAnswer is an engine that answers each call with the error.
type engineAnswer struct {
	upstream.Engine
	err error
}

func (e engineAnswer) Open(_ context.Context, _ upstream.Target, _ upstream.Call, state *runstate.Tracker) (upstream.Stream, error) {
	state.Raise(runstate.MayHaveRun)
	return nil, e.err
}

// A caller must get a status that guarantees that its request didn't run only if the upstream stated so: with 503 and no
// statement the upstream may have run the request, and a caller that sends it again runs it twice.
func TestServeReportsARunAsNotRun(t *testing.T) {
	statement := http.Header{upstream.HeaderNotRun: {"1"}, "Retry-After": {"3"}}
	none := http.Header{"Retry-After": {"3"}}
	tests := []struct {
		desc   string
		header http.Header
		status int
		code   resultcode.Code
	}{
		{"stated", statement, 503, resultcode.UpstreamRefused},
		{"stated", statement, 429, resultcode.UpstreamRefused},
		{"not stated", none, 503, resultcode.UpstreamError},
		{"not stated", none, 429, resultcode.UpstreamError},
		{"not stated", none, 408, resultcode.UpstreamError},
	}
	for _, test := range tests {
		for _, kind := range []Kind{KindService, KindModel} {
			t.Run(fmt.Sprint(test.desc, test.status, kind), func(t *testing.T) {
				is := is.New(t)
				status := &upstream.StatusError{Status: test.status, NotRun: test.header.Get(upstream.HeaderNotRun) != "", RetryAfter: 3 * time.Second}
				f := &dispatch{service: serviceAnswer{Status: test.status, Header: test.header}, engine: engineAnswer{err: status}}
				r := &Request{Kind: kind, Repeatable: true, Sink: &bufferSink{}}
				err := f.run(t.Context(), r)
				is.True(err != nil)
				reported := r.reportedError(attemptError(t.Context(), r, err))
				is.Equal(reported.Code, test.code)
				is.Equal(runstate.GuaranteesNotRun(resultcode.Lookup(reported.Code).Status), test.code == resultcode.UpstreamRefused)
				is.Equal(reported.RetryAfter, 3*time.Second)
				is.Equal(r.state.State(), runstate.MayHaveRun)
			})
		}
	}
}

// After an attempt that may have run the request, a later attempt without an upstream, or one whose upstream states that
// it didn't run the request, must not be reported as if nothing had run.
func TestServeReportsNotRunAfterAnAttemptThatMayHaveRun(t *testing.T) {
	refusals := map[string]error{
		"no upstream": resultcode.New(resultcode.NoUpstream, "no upstream in service"),
		"refused":     statusError(&upstream.StatusError{Status: 503, NotRun: true}),
		"stopping":    resultcode.New(resultcode.HostStopping, "this host is stopping"),
	}
	for desc, refusal := range refusals {
		t.Run(desc, func(t *testing.T) {
			is := is.New(t)
			f := &dispatch{engine: engineAnswer{err: upstream.ErrBroken}}
			r := &Request{Kind: KindModel, Repeatable: true, Sink: &bufferSink{}}
			is.True(f.run(t.Context(), r) != nil)
			is.Equal(resultcode.Lookup(r.reportedError(refusal).Code).Status, http.StatusBadGateway)
		})
	}
}

// A service's answer whose status guarantees nothing is passed on.
func TestServePassesOnOtherStatuses(t *testing.T) {
	for _, status := range []int{200, 400, 404, 409, 422, 500, 502, 504} {
		is := is.New(t)
		f := &dispatch{service: serviceAnswer{Status: status, Header: http.Header{}}}
		r := &Request{Kind: KindService, Sink: &serviceSink{}}
		is.NoErr(f.run(t.Context(), r))
		is.Equal(r.Sink.Answer(r).Status, status)
	}
}
