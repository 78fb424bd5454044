package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/routing"
)

// All hosts restart at once, and callers reach them before their first tables arrive.
func TestRequestsAtTheStartWaitForTheFirstTables(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, testDocument())
	table := w.gateway.table.Swap(nil)
	go w.gateway.awaitTables(t.Context())
	var group sync.WaitGroup
	answers := make([]callerAnswer, 20)
	for i := range answers {
		req := w.newRequest("POST", "/once/x", "body")
		group.Go(func() { answers[i] = w.do(req) })
	}
	time.Sleep(100 * time.Millisecond)
	w.gateway.table.Store(table)
	time.Sleep(50 * time.Millisecond) // requests can't be served with the document alone
	w.startUpstream("a", respondOK("ok"))
	group.Wait()
	for _, got := range answers {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(w.gateway.metrics.startWaits.Get(), uint64(len(answers)))
}

// Requests don't wait for tables that don't arrive in time or are missing later.
func TestRequestsWithoutTablesAreRefused(t *testing.T) {
	tests := []struct {
		desc        string
		started     time.Duration // ago
		least, most time.Duration
	}{
		{"the host is starting", 0, maxStartWait, 2 * maxStartWait},
		{"the store is unavailable", startupPeriod, 0, maxStartWait / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, routing.Document{})
			w.gateway.table.Store(nil)
			w.gateway.startedAt = boottime.Now().Add(-test.started)
			began := time.Now()
			got := w.do(w.newRequest("POST", "/once/x", "body"))
			took := time.Since(began)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.True(took >= test.least && took < test.most)
		})
	}
}
