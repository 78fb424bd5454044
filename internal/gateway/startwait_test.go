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

// When all hosts restart at once, callers' requests reach them before their first tables do. These
// requests must wait for the tables rather than be refused.
func TestRequestsAtTheStartWaitForTheFirstTables(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	table := tg.gateway.routingTable.Swap(nil)
	go tg.gateway.awaitTables(t.Context())
	var group sync.WaitGroup
	answers := make([]callerAnswer, 20)
	for i := range answers {
		req := tg.newRequest("POST", "/once/x", "body")
		group.Go(func() { answers[i] = tg.do(req) })
	}
	time.Sleep(100 * time.Millisecond)
	tg.gateway.routingTable.Store(table)
	time.Sleep(50 * time.Millisecond) // requests can't be served with the document alone
	tg.startUpstream("a", respondOK("ok"))
	group.Wait()
	for _, got := range answers {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(tg.gateway.metrics.startWaits.Get(), uint64(len(answers)))
}

// Requests are refused after maxStartWait if the first tables don't arrive, and at once if they are
// missing after startupPeriod.
func TestRequestsWithoutTablesAreRefused(t *testing.T) {
	tests := []struct {
		desc             string
		timeSinceStart   time.Duration // from the start of the host to the request
		minWait, maxWait time.Duration
	}{
		{"the host is starting", 0, maxStartWait, 2 * maxStartWait},
		{"the store is unavailable", startupPeriod, 0, maxStartWait / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, routing.Document{})
			tg.gateway.routingTable.Store(nil)
			tg.gateway.startedAt = boottime.Now().Add(-test.timeSinceStart)
			began := time.Now()
			got := tg.do(tg.newRequest("POST", "/once/x", "body"))
			took := time.Since(began)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.True(took >= test.minWait && took < test.maxWait)
		})
	}
}
