package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// suspensions are the durations for which hosts are suspended.
var suspensions = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

// The time in which the host is suspended counts against a request's deadline, although the host's
// timers don't advance in it. A request whose deadline has passed must not be sent, and the
// deadline that is sent to an upstream must be the remaining time.
func TestSuspensionCountsAgainstDeadlines(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		tg := newTestGateway(t, testDocument())
		log := tg.startUpstream("a", respondOK("fine"))
		endSuspension := func() {}
		sent := make(chan struct{})
		// The host is suspended after it has received the request's head and before the body.
		req := tg.newRequest("POST", "/many/x", "")
		req.Body, req.ContentLength = &slowBody{Reader: strings.NewReader("body"), onFirstRead: func() {
			time.Sleep(50 * time.Millisecond)
			endSuspension = boottime.SimulateSuspension(d)
			close(sent)
		}}, 4
		req.Header.Set("T-Deadline", "4000")
		a := tg.do(req)
		<-sent
		endSuspension()
		if d > 4*time.Second {
			is.Equal(a.status, http.StatusServiceUnavailable) // it didn't run, and a retry can't meet the deadline either
			is.Equal(strings.TrimSpace(a.body), resultcode.DeadlineUnmeetable.String())
			is.Equal(log.count(), 0)
			continue
		}
		is.Equal(a.status, http.StatusOK)
		seen, _ := log.last()
		is.True(parseCount(seen.Header.Get("T-Deadline")) <= int((4*time.Second - d).Milliseconds()))
	}
}

// slowBody is a request body that calls onFirstRead at its first read, before it returns any byte.
type slowBody struct {
	*strings.Reader
	onFirstRead func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.onFirstRead != nil {
		b.onFirstRead()
		b.onFirstRead = nil
	}
	return b.Reader.Read(p)
}

func (b *slowBody) Close() error { return nil }

// The time in which the host is suspended counts for the window of the retry budget, so that
// requests from before a long suspension permit no retry after it.
func TestSuspensionEndsTheBudgetsWindow(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.5, 10*time.Second, func() float64 { return 0 })
	for range 10 {
		b.countRequest()
	}
	time.Sleep(600 * time.Millisecond) // longer than one part of the window
	is.True(b.tryTake())
	t.Cleanup(boottime.SimulateSuspension(20 * time.Second))
	is.True(!b.tryTake())
}

// The time in which the host is suspended counts for the age of the status data, and the store's
// clock advances in it. Otherwise the host would raise a roll-out's share by outdated data.
func TestStatusDataAgesDuringASuspension(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		tg := newTestGateway(t, testDocument())
		statuses := tg.gateway.rollouts.statuses
		statuses.Offer(feed.Update{Revision: 1, Complete: true, Clock: time.Minute}, boottime.Now())
		is.True(statuses.HasFreshUpdate())
		clock := statuses.StoreClock()
		endSuspension := boottime.SimulateSuspension(d + time.Second)
		is.True(!statuses.HasFreshUpdate())
		is.True(statuses.StoreClock()-clock >= d) // the store's clock advanced
		endSuspension()
	}
}
