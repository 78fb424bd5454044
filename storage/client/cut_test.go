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

// A connection is cut before each byte of the request and of the answer. A
// commit takes effect once its last byte has arrived; from then on it must
// never give ErrUnavailable, and it succeeds only with the whole answer.
func TestCutAtEveryByte(t *testing.T) {
	server := platformd.New(unlimitedOptions())
	// Revisions have four digits throughout, so that all answers are as long.
	for range 1000 {
		if _, err := server.Table().Commit(t.Context(), storage.Txn{}); err != nil {
			t.Fatal(err)
		}
	}
	measured := commitOnce(t, server, uncut(), "measure")
	if measured.err != nil {
		t.Fatal(measured.err)
	}
	for n := range measured.requestBytes {
		o := commitOnce(t, server, cut.Limits{Request: n, Answer: cut.Unlimited}, fmt.Sprintf("r-%05d", n))
		o.check(t, false, false)
	}
	// The first of these cuts comes after the whole request.
	for n := range measured.answerBytes + 1 {
		o := commitOnce(t, server, cut.Limits{Request: cut.Unlimited, Answer: n}, fmt.Sprintf("a-%05d", n))
		o.check(t, true, n == measured.answerBytes)
	}
	t.Logf("cut at each of %d bytes of the request and %d of the answer", measured.requestBytes, measured.answerBytes)
}

// serveCut serves over connections that are cut. Closing the server waits for
// the requests that it has read.
func serveCut(t testing.TB, handler http.Handler, plan func() cut.Limits) (*httptest.Server, *cut.LimitListener) {
	t.Helper()
	web := httptest.NewUnstartedServer(handler)
	listener := &cut.LimitListener{Listener: web.Listener, Plan: plan}
	web.Listener = listener
	web.Start()
	return web, listener
}

func uncut() cut.Limits { return cut.Limits{Request: cut.Unlimited, Answer: cut.Unlimited} }

// outcome is that of one commit over a cut connection.
type outcome struct {
	cut  cut.Limits
	err  error
	held bool
	// requestBytes and answerBytes are what passed.
	requestBytes, answerBytes int64
}

// commitOnce commits over one connection and waits until the server has
// finished with it.
func commitOnce(t *testing.T, server *platformd.Server, limits cut.Limits, row string) outcome {
	web, listener := serveCut(t, server.Handler(), func() cut.Limits { return limits })
	p := client.New(web.URL, client.Options{})
	_, err := p.Table().Commit(t.Context(), storagetest.Put(row, "value"))
	p.Close()
	web.Close()
	requests, answers := listener.Passed()
	return outcome{limits, err, holds(t, server.Table(), row), requests, answers}
}

func (o outcome) check(t *testing.T, held, succeeded bool) {
	t.Helper()
	if o.held != held {
		t.Errorf("%v: row held: %v, want %v", o.cut, o.held, held)
	}
	if (o.err == nil) != succeeded {
		t.Errorf("%v: succeeded: %v, want %v", o.cut, o.err, succeeded)
	}
	if o.held && errors.Is(o.err, storage.ErrUnavailable) {
		t.Errorf("%v: took effect and gave %v", o.cut, o.err)
	}
	if o.err != nil && !storagetest.IsClass(o.err, storage.ErrUnavailable) && !storagetest.IsClass(o.err, storage.ErrUnknown) {
		t.Errorf("%v: unexpected class: %v", o.cut, o.err)
	}
}

// Concurrent clients commit over connections that are cut at random, to a
// table that loses, drops and delays commits. The history must be explained by
// what the calls claim.
func TestHistoryOverCutConnections(t *testing.T) {
	unknown := 0
	for seed := range uint64(8) {
		server := platformd.New(unlimitedOptions())
		injectFaults(server.Table())
		web, _ := serveCut(t, server.Handler(), randomCuts(seed))
		p := client.New(web.URL, client.Options{})
		recorder := storagetest.NewRecorder(p.Table())
		workload := storagetest.Workload{Clients: 4, Calls: 30, Keys: 2, Seed: seed}
		workload.Run(t.Context(), recorder)
		p.Close()
		web.Close()
		history := recorder.History()
		storagetest.Check(t, history)
		unknown += storagetest.CountUnknown(history)
	}
	t.Logf("%d commits of unknown outcome", unknown)
}

func injectFaults(table *faulty.Table) {
	table.LoseNext(2)
	table.DropNext(2)
	table.DelayNext(1, 1)
}

// randomCuts lets through several calls, then cuts in one direction.
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
