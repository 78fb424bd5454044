package upstream_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/rawserver"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// invalidHeads are heads that are no valid HTTP/1.1 answer.
var invalidHeads = []struct{ desc, head string }{
	{"status 000", "HTTP/1.1 000 Broken\r\n"},
	{"status 099", "HTTP/1.1 099 Broken\r\n"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n"},
	{"status 101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n"},
	{"status 600", "HTTP/1.1 600 Broken\r\n"},
	{"status 999", "HTTP/1.1 999 Broken\r\n"},
	{"another version of HTTP", "HTTP/9.9 200 OK\r\n"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n"},
	{"blank after a name", "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n"},
}

// An answer with a status that doesn't exist, or with an invalid name of a header field, is no answer, and nothing that
// it states is used.
func TestInvalidAnswerIsBroken(t *testing.T) {
	const lines = upstream.HeaderRequestID + ": r1\r\n" + upstream.HeaderModelVersion + ": m@1\r\n" + upstream.HeaderNotRun + ": 1\r\n" + upstream.HeaderLeaving + ": 1\r\n"
	for _, invalid := range invalidHeads {
		t.Run(invalid.desc, func(t *testing.T) {
			is := is.New(t)
			notices := 0
			onNotice := func(upstream.Target, notice.Notice) { notices++ }
			target := startRaw(t, rawserver.Answer{Text: invalid.head + lines + "Content-Length: 2\r\n\r\nxx", Ending: rawserver.Close})
			service := upstream.NewService(upstream.ServiceOptions{OnNotice: onNotice})
			defer service.Close()
			var state runstate.Tracker
			_, err := service.Do(t.Context(), target, serviceCall("r1", "POST", "body", ""), &state)
			is.True(errors.Is(err, upstream.ErrBroken))
			is.Equal(state.State(), runstate.MayHaveRun)

			state = runstate.Tracker{}
			_, err = newEngineClient(t, upstream.EngineOptions{OnNotice: onNotice}).Open(t.Context(), target, engineCall("r1"), &state)
			is.True(errors.Is(err, upstream.ErrBroken))
			var status *upstream.StatusError
			is.True(!errors.As(err, &status))
			is.Equal(state.State(), runstate.MayHaveRun)
			is.Equal(notices, 0)
		})
	}
}

// A response that names another request beside this one may belong to either.
func TestAnswerThatNamesTwoRequestsIsAMismatch(t *testing.T) {
	is := is.New(t)
	target := startRaw(t, rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": r1\r\n" + upstream.HeaderRequestID + ": other\r\nContent-Length: 2\r\n\r\nxx", Ending: rawserver.Close})
	_, err := newServiceClient(t).Do(t.Context(), target, serviceCall("r1", "POST", "body", ""), new(runstate.Tracker))
	is.True(errors.Is(err, upstream.ErrMismatch))
}
