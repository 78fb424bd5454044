package client_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// The connection is cut before each byte of the request and of the response. A
// commit takes effect once its last byte has arrived; from then on it must
// never return ErrUnavailable, and it succeeds only with the whole response.
func TestCutAtEveryByte(t *testing.T) {
	server := platformd.New(unlimitedOptions())
	// After 1000 commits all revisions have four digits, so that all responses
	// have the same length.
	for range 1000 {
		if _, err := server.Table().Commit(t.Context(), storage.Txn{}); err != nil {
			t.Fatal(err)
		}
	}
	baseline := commitOnce(t, server, noCut(), "measure")
	if baseline.err != nil {
		t.Fatal(baseline.err)
	}
	for n := range baseline.requestBytes {
		o := commitOnce(t, server, cut.Limits{Request: n, Answer: cut.Unlimited}, fmt.Sprintf("r-%05d", n))
		o.check(t, false, false)
	}
	// The first of these cuts comes after the whole request.
	for n := range baseline.answerBytes + 1 {
		o := commitOnce(t, server, cut.Limits{Request: cut.Unlimited, Answer: n}, fmt.Sprintf("a-%05d", n))
		o.check(t, true, n == baseline.answerBytes)
	}
	t.Logf("cut at each of %d bytes of the request and %d of the response", baseline.requestBytes, baseline.answerBytes)
}

// serveCut starts a server whose connections are cut at the limits that
// nextLimits returns. Closing the server waits for the requests that it has read.
func serveCut(t testing.TB, handler http.Handler, nextLimits func() cut.Limits) (*httptest.Server, *cut.LimitListener) {
	t.Helper()
	web := httptest.NewUnstartedServer(handler)
	listener := &cut.LimitListener{Listener: web.Listener, NextLimits: nextLimits}
	web.Listener = listener
	web.Start()
	return web, listener
}

func noCut() cut.Limits { return cut.Limits{Request: cut.Unlimited, Answer: cut.Unlimited} }

// outcome is the result of one commit over a connection with limits.
type outcome struct {
	cut       cut.Limits
	err       error
	rowExists bool
	// requestBytes and answerBytes are the numbers of bytes transferred.
	requestBytes, answerBytes int64
}

// commitOnce commits over one connection and waits until the server has
// finished with it.
func commitOnce(t *testing.T, server *platformd.Server, limits cut.Limits, row string) outcome {
	web, listener := serveCut(t, server.Handler(), func() cut.Limits { return limits })
	p := client.New(web.URL, client.Options{})
	_, err := p.Table().Commit(t.Context(), storagetest.PutTxn(row, "value"))
	p.Close()
	web.Close()
	requests, answers := listener.BytesPassed()
	return outcome{limits, err, rowExists(t, server.Table(), row), requests, answers}
}

func (o outcome) check(t *testing.T, wantRow, wantSuccess bool) {
	t.Helper()
	if o.rowExists != wantRow {
		t.Errorf("%v: row exists: %v, want %v", o.cut, o.rowExists, wantRow)
	}
	if (o.err == nil) != wantSuccess {
		t.Errorf("%v: error %v, want success: %v", o.cut, o.err, wantSuccess)
	}
	if o.rowExists && errors.Is(o.err, storage.ErrUnavailable) {
		t.Errorf("%v: took effect but returned %v", o.cut, o.err)
	}
	if o.err != nil && !storagetest.HasErrorClass(o.err, storage.ErrUnavailable) && !storagetest.HasErrorClass(o.err, storage.ErrUnknown) {
		t.Errorf("%v: unexpected class: %v", o.cut, o.err)
	}
}

// Concurrent clients commit over connections that are cut at random, to a
// table that loses, drops and delays commits. The history of the calls and
// their errors must be linearizable.
func TestHistoryOverCutConnections(t *testing.T) {
	unknown := 0
	for seed := range uint64(8) {
		server := platformd.New(unlimitedOptions())
		injectFaults(server.Table())
		web, _ := serveCut(t, server.Handler(), randomCuts(seed))
		p := client.New(web.URL, client.Options{})
		recorder := storagetest.NewRecorder(p.Table())
		workload := storagetest.Workload{Clients: 4, Rounds: 30, Keys: 2, Seed: seed}
		workload.Run(t.Context(), recorder)
		p.Close()
		web.Close()
		history := recorder.History()
		storagetest.CheckTable(t, history)
		unknown += storagetest.CountUnknown(history)
	}
	t.Logf("%d commits of unknown outcome", unknown)
}

func injectFaults(table *faulty.Table) {
	table.LoseNextResponses(2)
	table.DropNextCommits(2)
	table.DelayNextCommits(1, 1)
}

// randomCuts returns limits that let several calls through before the connection
// is cut in one direction.
func randomCuts(seed uint64) func() cut.Limits {
	random := rand.New(rand.NewPCG(seed, 0))
	return func() cut.Limits {
		bytes := 1500 + random.Int64N(3000)
		if random.IntN(2) == 0 {
			return cut.Limits{Request: bytes, Answer: cut.Unlimited}
		}
		return cut.Limits{Request: cut.Unlimited, Answer: bytes}
	}
}
