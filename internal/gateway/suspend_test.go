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

// suspensions are times for which hosts are suspended.
var suspensions = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

// A caller's patience goes on while the host is suspended, which its timers don't tell: a
// request whose time is over isn't sent, and what is sent gets the time that is left.
func TestSuspensionCountsAgainstDeadlines(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		w := newWorld(t, testDocument())
		log := w.upstream("a", succeed("fine"))
		undo := func() {}
		sent := make(chan struct{})
		// The suspension falls between the request's head and the end of its body.
		req := w.request("POST", "/many/x", "")
		req.Body, req.ContentLength = &slowBody{Reader: strings.NewReader("body"), before: func() {
			time.Sleep(50 * time.Millisecond)
			undo = boottime.Simulate(d)
			close(sent)
		}}, 4
		req.Header.Set("T-Deadline", "4000")
		a := w.do(req)
		<-sent
		undo()
		if d > 4*time.Second {
			is.Equal(a.status, http.StatusServiceUnavailable) // it didn't run, and never will
			is.Equal(strings.TrimSpace(a.body), resultcode.DeadlineUnmeetable.String())
			is.Equal(log.count(), 0)
			continue
		}
		is.Equal(a.status, http.StatusOK)
		seen, _ := log.last()
		is.True(number(seen.Header.Get("T-Deadline")) <= int((4*time.Second - d).Milliseconds()))
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

// The budget of repeats is of a span that goes on during a suspension: what was requested
// before earns nothing after it.
func TestSuspensionEndsTheBudgetsWindow(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.5, 10*time.Second, func() float64 { return 0 })
	for range 10 {
		b.request()
	}
	time.Sleep(600 * time.Millisecond) // requests count after their part of the window
	is.True(b.take())
	t.Cleanup(boottime.Simulate(20 * time.Second))
	is.True(!b.take())
}

// A roll-out's share isn't raised by a word of the store from before a suspension.
func TestSuspensionAgesTheStoresWord(t *testing.T) {
	for _, d := range suspensions {
		is := is.New(t)
		w := newWorld(t, testDocument())
		statuses := w.gateway.rollouts.statuses
		statuses.Offer(feed.News{Revision: 1, Complete: true, Clock: time.Minute}, boottime.Now())
		is.True(statuses.Relying())
		clock := statuses.StoreClock()
		undo := boottime.Simulate(d + time.Second)
		is.True(!statuses.Relying())
		is.True(statuses.StoreClock()-clock >= d) // the store's clock went on
		undo()
	}
}
