package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/routing"
	"github.com/quetzalweir/quetzalweir/storage"
)

// testHeaders returns header names that no deployment uses, to test that the package doesn't depend
// on the names of a deployment.
func testHeaders() Headers {
	return Headers{
		RequestID: "T-Id", Deadline: "T-Deadline", AccountKey: "T-Key", Account: "T-Account",
		Instance: "T-Instance", ExpectInstance: "T-Expect", Stamp: "T-Stamp", NotRun: "T-Not-Run",
		Load: "T-Load", Limit: "T-Limit", Leaving: "T-Leaving", Brittle: "T-Brittle", RetryAfter: "Retry-After", Model: "T-Model", TokenCount: "T-Tokens", PromptParts: "T-Parts",
		Priority: "T-Priority", Confidence: "T-Confidence",
		LastEventID: "T-Last-Event", Session: "T-Session", LengthHint: "T-Length", FetchFrom: "T-Fetch", ContinueFrom: "T-Continue", Reserved: []string{"T-Pin", "T-Fetch", "T-Continue"},
	}
}

const testHost = "api.example"

// testGateway is a gateway between a test's caller and upstreams.
type testGateway struct {
	t            *testing.T
	gateway      *Gateway
	store        *fakeStore
	frontend     *httptest.Server
	client       *http.Client
	requestCount int
}

// newTestGateway returns a gateway that doesn't follow the tables of its store. Tests set its data
// directly.
func newTestGateway(t *testing.T, doc routing.Document) *testGateway {
	t.Helper()
	g, store := newGatewayWithoutServer(t, doc)
	tg := &testGateway{t: t, gateway: g, store: store, client: &http.Client{Transport: &http.Transport{}}}
	tg.frontend = httptest.NewServer(g)
	t.Cleanup(func() {
		tg.client.CloseIdleConnections()
		tg.frontend.Close()
		g.egress.CloseIdleConnections()
	})
	// The retry budget is a ratio of the requests that were counted, so without these a test with a
	// single request would permit no retry.
	for range 20 {
		g.retryBudgets.get("svc").countRequest()
	}
	return tg
}

// newGatewayWithoutServer returns a gateway that doesn't listen, and its store.
func newGatewayWithoutServer(t *testing.T, doc routing.Document) (*Gateway, *fakeStore) {
	t.Helper()
	store := newFakeStore()
	g := New(Settings{
		Host: "h1", Zone: "z1", ReadyPath: "/ready", TableSource: store, StatusTable: statusTable{store}, Tables: testTables(), Codec: testCodec(),
		Headers: testHeaders(), AnyModel: "*", RetryRatio: 0.5, RetryWindow: 10 * time.Second,
		CanaryShare: 0.2, AcceptConfidence: 50, StopTimeout: 2 * time.Second,
	}, zerolog.Nop())
	table, err := routing.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	g.routingTable.Store(table)
	g.rollouts.statuses = feed.NewWatcher("status", store, newStatusTableHandler(g), feed.Options{}, zerolog.Nop())
	return g, store
}

func testTables() Tables {
	return Tables{Operator: "operator", DocumentKey: "document", OrdersPrefix: "order/", EvacuationsPrefix: "evacuation/", Upstreams: "upstreams", Status: "status", VerdictsPrefix: "verdict/"}
}

func testCodec() Codec {
	return Codec{
		Document: func(data []byte) (doc routing.Document, err error) { return doc, json.Unmarshal(data, &doc) },
		Upstream: func(id string, data []byte) (u Upstream, err error) {
			err = json.Unmarshal(data, &u)
			u.ID = id
			return u, err
		},
		Order: func(data []byte, revision storage.Revision) (o RolloutOrder, err error) {
			err = json.Unmarshal(data, &o)
			o.Revision = revision
			return o, err
		},
		Status: func(data []byte, revision storage.Revision) (s RolloutStatus, err error) {
			err = json.Unmarshal(data, &s)
			s.Revision = revision
			return s, err
		},
		EncodeStatus: func(s RolloutStatus) ([]byte, error) { return json.Marshal(s) },
	}
}

// testDocument returns a document with a route of each kind and one account.
func testDocument() routing.Document {
	split := []routing.Share{{Service: "svc", Weight: 1}}
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Shares: split,
			Timeout: 2 * time.Second, Target: time.Second, MaxAttempts: 3, Priority: 4,
		}
	}
	stream := route("stream", routing.Stream)
	stream.Resumable = true
	models := route("models", routing.Stream)
	models.Resumable = true
	models.Models = []string{"small", "middle", "large"}
	fixed := route("fixed", routing.Stream)
	public := route("public", routing.Idempotent)
	public.Public = true
	return routing.Document{
		Version:  7,
		Routes:   []routing.Route{route("once", routing.NonIdempotent), route("many", routing.Idempotent), stream, models, fixed, public},
		Services: []routing.Service{{Name: "svc"}},
		Accounts: []routing.Account{{Name: "acme", Keys: []string{"key-1"}}},
		Limits:   routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 4000},
	}
}

// requestLog records the requests that an upstream received.
type requestLog struct {
	mu       sync.Mutex
	requests []*http.Request
	bodies   [][]byte
}

func (l *requestLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

func (l *requestLog) last() (*http.Request, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[len(l.requests)-1], l.bodies[len(l.bodies)-1]
}

// startUpstream starts an upstream of service svc in zone z1 and lists it. The handler needs not
// set the response header that echoes the request's id.
func (tg *testGateway) startUpstream(id string, handler http.HandlerFunc) *requestLog {
	return tg.startUpstreamOf(Upstream{ID: id, Zone: "z1", Version: "v1"}, handler)
}

func (tg *testGateway) startUpstreamOf(u Upstream, handler http.HandlerFunc) *requestLog {
	log := &requestLog{}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		log.mu.Lock()
		log.requests = append(log.requests, req)
		log.bodies = append(log.bodies, body)
		log.mu.Unlock()
		rw.Header().Set("T-Id", req.Header.Get("T-Id"))
		handler(rw, req)
	}))
	tg.t.Cleanup(server.Close)
	u.Service = "svc"
	u.Address = server.Listener.Addr().String()
	u.Slots = 8
	tg.gateway.fleet.ApplyEntry(u, 1)
	return log
}

// addUnreachable adds an upstream at an address that refuses connections.
func (tg *testGateway) addUnreachable(id string) {
	address, release, err := freeport.RefusingAddress("127.0.0.1")
	if err != nil {
		tg.t.Fatal(err)
	}
	tg.t.Cleanup(func() { _ = release() })
	tg.gateway.fleet.ApplyEntry(Upstream{ID: id, Service: "svc", Address: address, Zone: "z1", Version: "v1", Slots: 8}, 1)
}

// newRequest returns a caller's request with a key and a new id.
func (tg *testGateway) newRequest(method, path, body string, header ...string) *http.Request {
	tg.requestCount++
	req, err := http.NewRequest(method, tg.frontend.URL+path, strings.NewReader(body))
	if err != nil {
		tg.t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("T-Id", "r"+strconv.Itoa(tg.requestCount))
	req.Header.Set("T-Key", "key-1")
	req.Header.Set("T-Deadline", "1500")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// callerAnswer is the answer that a caller received.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	// err is set if the request failed or the answer ended early.
	err error
}

func (tg *testGateway) do(req *http.Request) callerAnswer {
	tg.t.Helper()
	resp, err := tg.client.Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// The functions below are handlers of upstreams, or return them.

func respondOK(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		_, _ = io.WriteString(w, text)
	}
}

func respondStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "failed")
	}
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resetConnection closes the connection without a response.
func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streamEvents streams the events from..to. If cut is set, it then closes the connection within the
// next event.
func streamEvents(from, to int, cut bool, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Stamp", "stamp")
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		for i := from; i <= to; i++ {
			_, _ = io.WriteString(w, eventText(i))
			_ = http.NewResponseController(w).Flush()
		}
		if cut {
			_, _ = io.WriteString(w, "id: 99\ndata: ha")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func eventText(i int) string {
	return "id: " + strconv.Itoa(i) + "\ndata: e" + strconv.Itoa(i) + "\n\n"
}

func eventTexts(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

// fakeStore is an in-memory store.
type fakeStore struct {
	mu       sync.Mutex
	revision storage.Revision
	rows     map[string]map[string]feed.Row
	changes  []fakeChange
	changed  chan struct{}
	down     bool
	// calls counts the calls of each kind.
	calls map[string]int
	start time.Time
}

type fakeChange struct {
	table string
	row   feed.Row
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: make(map[string]map[string]feed.Row), changed: make(chan struct{}),
		calls: make(map[string]int), start: time.Now(),
	}
}

var errStoreDown = errors.New("store down")

func (s *fakeStore) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(table, feed.Row{Key: key, Data: data})
}

func (s *fakeStore) write(table string, row feed.Row) {
	s.revision++
	row.Revision = s.revision
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]feed.Row)
	}
	if row.Deleted {
		delete(s.rows[table], row.Key)
	} else {
		s.rows[table][row.Key] = row
	}
	s.changes = append(s.changes, fakeChange{table, row})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// statusTable is the status table of the store as a storage.Table.
type statusTable struct{ *fakeStore }

func (statusTable) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, nil
}

func (s *fakeStore) List(_ context.Context, table, _ string, _ feed.OnReceived) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list "+table]++
	if s.down {
		return feed.Page{}, errStoreDown
	}
	page := feed.Page{Revision: s.revision, Clock: time.Since(s.start)}
	for _, row := range s.rows[table] {
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

func (s *fakeStore) Changes(ctx context.Context, table string, since storage.Revision, wait time.Duration, _ feed.OnReceived) (feed.Page, error) {
	deadline := time.After(wait)
	s.mu.Lock()
	s.calls["changes "+table]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return feed.Page{}, errStoreDown
		}
		page := feed.Page{Revision: s.revision, Clock: time.Since(s.start)}
		for _, c := range s.changes {
			if c.table == table && c.row.Revision > since {
				page.Rows = append(page.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-deadline:
			page.Clock = time.Since(s.start)
			return page, nil
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		}
	}
}

// Get and Commit implement storage.Table for statusTable.
func (s *fakeStore) Get(context.Context, string) (storage.Row, error) {
	return storage.Row{}, storage.ErrNotFound
}

func (s *fakeStore) Commit(_ context.Context, txn storage.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["commit"]++
	if s.down {
		return 0, errStoreDown
	}
	for _, c := range txn.Conditions {
		if s.rows["status"][c.Key].Revision != storage.Revision(c.Version) {
			return 0, storage.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		s.write("status", feed.Row{Key: p.Key, Data: bytes.Clone(p.Value)})
	}
	return uint64(s.revision), nil
}

// eventually waits until the condition is true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the condition wasn't met in time: %s", what)
}
