package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// A statement in a header that nothing reads must leave a trace.
func TestHeaderOfAnAnswerThatNothingReads(t *testing.T) {
	is := is.New(t)
	tg, _ := newNoticeTest(t, withHeader("T-New-Statement", "1", respondOK("ok")))
	tg.doRoute("many")
	tg.doRoute("stream")
	is.Equal(tg.gateway.unknownHeaders.found, map[string]bool{"T-New-Statement": true})
}

// The answers of the other tests have no header that the list lacks.
func TestHeadersOfAnswersThatAreRead(t *testing.T) {
	for _, kind := range answersOfAllKinds {
		tg, _ := newNoticeTest(t, withHeader("T-Leaving", "1", withHeader("Retry-After", "1", kind.handler)))
		tg.doRoute(kind.route)
		is.New(t).Equal(tg.gateway.unknownHeaders.count(), 0)
	}
}

func TestUnknownHeadersAreBounded(t *testing.T) {
	names := testHeaders()
	u := newUnknownHeaders(&names, zerolog.Nop())
	for i := range 10 * maxUnknownHeaders {
		u.observe(http.Header{fmt.Sprint("X-", i): {"1"}}, "u")
	}
	is.New(t).Equal(u.count(), maxUnknownHeaders)
}
