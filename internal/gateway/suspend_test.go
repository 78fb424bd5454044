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

// The caller's deadline advances while the host is suspended, which the host's timers don't show:
// a request whose deadline has passed isn't sent, and others get the remaining time.
func TestSuspensionCountsAgainstDeadlines(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		w := newTestGateway(t, testDocument())
		log := w.startUpstream("a", respondOK("fine"))
		undo := func() {}
		sent := make(chan struct{})
		// The suspension falls between the request's head and the end of its body.
		req := w.newRequest("POST", "/many/x", "")
		req.Body, req.ContentLength = &slowBody{Reader: strings.NewReader("body"), before: func() {
			time.Sleep(50 * time.Millisecond)
			undo = boottime.SimulateSuspension(d)
			close(sent)
		}}, 4
		req.Header.Set("T-Deadline", "4000")
		a := w.do(req)
		<-sent
		undo()
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

// slowBody calls before ahead of its first byte.
type slowBody struct {
	*strings.Reader
	before func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.before != nil {
		b.before()
		b.before = nil
	}
	return b.Reader.Read(p)
}

func (b *slowBody) Close() error { return nil }

// The retry budget's window advances during a suspension: requests before it don't count after it.
func TestSuspensionEndsTheBudgetsWindow(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.5, 10*time.Second, func() float64 { return 0 })
	for range 10 {
		b.countRequest()
	}
	time.Sleep(600 * time.Millisecond) // requests count once their part of the window is over
	is.True(b.tryTake())
	t.Cleanup(boottime.SimulateSuspension(20 * time.Second))
	is.True(!b.tryTake())
}

// Status data from before a suspension is too old to raise a roll-out's share.
func TestSuspensionAgesTheStatusData(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		w := newTestGateway(t, testDocument())
		statuses := w.gateway.rollouts.statuses
		statuses.Offer(feed.Update{Revision: 1, Complete: true, Clock: time.Minute}, boottime.Now())
		is.True(statuses.UsesRelay())
		clock := statuses.StoreClock()
		undo := boottime.SimulateSuspension(d + time.Second)
		is.True(!statuses.UsesRelay())
		is.True(statuses.StoreClock()-clock >= d) // the store's clock advanced
		undo()
	}
}
