package upstream_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/rawserver"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// startRaw starts an upstream that sends a literal answer to each request.
func startRaw(t *testing.T, a rawserver.Answer) upstream.Target {
	s := rawserver.Start(t, func(*http.Request) rawserver.Answer { return a })
	return upstream.Target{ID: "u1", Address: s.Address}
}

// A service that answers an upload without a length and resets the connection has sent a part of an answer.
func TestServiceAnswerToAnUploadThatEndsWithAResetIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": r1\r\n\r\n"
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		target := startRaw(t, rawserver.Answer{Text: head + "part", IgnoresBody: true, Delay: delay, Ending: rawserver.Reset})
		for range 10 {
			var state runstate.Tracker
			_, err := newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", strings.Repeat("b", 8<<20), ""), &state)
			is.New(t).True(errors.Is(err, upstream.ErrBroken))
		}
	}
}

// A service may answer before it has read an upload.
func TestEarlyAnswerOfAServiceIsAnAnswer(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 413 Content Too Large\r\n" + upstream.HeaderRequestID + ": r1\r\nContent-Length: 9\r\n\r\n"
	target := startRaw(t, rawserver.Answer{Text: head + "too large", IgnoresBody: true, Delay: 50 * time.Millisecond, Ending: rawserver.KeepOpen})
	for range 10 {
		var state runstate.Tracker
		got, err := newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", strings.Repeat("b", 8<<20), ""), &state)
		is.NoErr(err)
		is.Equal(got.Status, http.StatusRequestEntityTooLarge)
		is.Equal(string(got.Body), "too large")
	}
}
