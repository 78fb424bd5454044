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

// The load: all hosts return at once, and callers reach them before their first tables.
func TestRequestsAtTheStartWaitForTheFirstTables(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	table := w.gateway.table.Swap(nil)
	go w.gateway.tellBegun(t.Context())
	var group sync.WaitGroup
	answers := make([]answer, 20)
	for i := range answers {
		req := w.request("POST", "/once/x", "body")
		group.Go(func() { answers[i] = w.do(req) })
	}
	time.Sleep(100 * time.Millisecond)
	w.gateway.table.Store(table)
	time.Sleep(50 * time.Millisecond) // the document alone serves nothing
	w.upstream("a", succeed("ok"))
	group.Wait()
	for _, got := range answers {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(w.gateway.metrics.startWaits.Get(), uint64(len(answers)))
}

// Tables that don't come in time, or are missing later, are waited for by nobody.
func TestRequestsWithoutTablesAreRefused(t *testing.T) {
	tests := []struct {
		desc        string
		started     time.Duration // ago
		least, most time.Duration
	}{
		{"the host is starting", 0, startWait, 2 * startWait},
		{"the store is away", startSpan, 0, startWait / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, routing.Document{})
			w.gateway.table.Store(nil)
			w.gateway.startedAt = boottime.Now().Add(-test.started)
			began := time.Now()
			got := w.do(w.request("POST", "/once/x", "body"))
			took := time.Since(began)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.True(took >= test.least && took < test.most)
		})
	}
}
