package client_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/freeport"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/slowlink"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

func TestCommitUnderFaults(t *testing.T) {
	const delay = 50 * time.Millisecond
	tests := []struct {
		desc  string
		fault func(*platformd.Server)
		// canceled reports whether the caller's context is canceled once the table
		// has received the commit.
		canceled bool
		want     error
		// rowExists reports whether the commit takes effect in the end.
		rowExists bool
	}{
		{desc: "no fault", fault: func(*platformd.Server) {}, rowExists: true},
		{desc: "down", fault: func(s *platformd.Server) { s.Table().SetDown(true) }, want: storage.ErrUnavailable},
		{desc: "answer lost", fault: func(s *platformd.Server) { s.Table().LoseNextResponses(1) }, want: storage.ErrUnknown, rowExists: true},
		{desc: "dropped", fault: func(s *platformd.Server) { s.Table().DropNextCommits(1) }, want: storage.ErrUnknown},
		{desc: "late", fault: func(s *platformd.Server) { s.Table().DelayNextCommits(1, delay) }, want: storage.ErrUnknown, rowExists: true},
		{desc: "slow", fault: func(s *platformd.Server) { s.Table().SetDelay(delay) }, rowExists: true},
		{desc: "slow and abandoned", fault: func(s *platformd.Server) { s.Table().SetDelay(20 * delay) }, canceled: true, want: storage.ErrUnknown, rowExists: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			server, url := startStandin(t, unlimitedOptions())
			test.fault(server)
			p := newClient(t, url, client.Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.canceled {
				go cancelAfterCommit(server, cancel)
			}
			_, err := p.Table().Commit(ctx, storagetest.PutTxn(key, "value"))
			server.ClearFaults()
			if test.rowExists {
				waitForRow(t, server.Table(), key)
			}
			is.Equal(rowExists(t, server.Table(), key), test.rowExists)
			is.True(storagetest.HasErrorClass(err, test.want)) // class of the error
		})
	}
}

// cancelAfterCommit cancels once the table has received a commit.
func cancelAfterCommit(server *platformd.Server, cancel context.CancelFunc) {
	for server.Table().Counts().Commits == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

// A call to a server that doesn't respond ends after the timeout.
func TestTimeout(t *testing.T) {
	server, url := startStandin(t, unlimitedOptions())
	server.Table().SetDelay(time.Hour)
	p := newClient(t, url, client.Options{Timeout: 50 * time.Millisecond})
	_, err := p.Table().Get(t.Context(), key)
	if !storagetest.HasErrorClass(err, storage.ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// A response that keeps arriving is read to its end, however long that takes; the
// timeout ends only a call whose response stops arriving. When the timeout was a
// limit on the whole call, every read of a large object over a slow link failed at
// the same byte with "context deadline exceeded", however often it was retried.
func TestLargeObjectOverASlowLink(t *testing.T) {
	is := is.New(t)
	const timeout = 500 * time.Millisecond
	server := platformd.New(unlimitedOptions())
	object := bytes.Repeat([]byte("o"), 60<<10)
	is.NoErr(server.Objects().Write(t.Context(), "large", object))
	web := httptest.NewUnstartedServer(server.Handler())
	web.Listener = slowlink.Listener{Listener: web.Listener, Rate: 40 << 10} // 1.5 s
	web.Start()
	t.Cleanup(web.Close)
	p := newClient(t, web.URL, client.Options{Timeout: timeout})
	got, err := p.Objects().Read(t.Context(), "large")
	is.NoErr(err)
	is.Equal(len(got), len(object))
}

func TestUnsentCommitIsUnavailable(t *testing.T) {
	refusedAddress, release, err := freeport.RefusingAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = release() }()
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	_, url := startStandin(t, unlimitedOptions())
	tests := []struct {
		desc string
		url  string
		ctx  context.Context
		txn  storage.Txn
	}{
		{"connection refused", "http://" + refusedAddress, t.Context(), storagetest.PutTxn(key, "value")},
		{"bad URL", "http://127.0.0.1:bad", t.Context(), storagetest.PutTxn(key, "value")},
		{"context ended", url, canceledCtx, storagetest.PutTxn(key, "value")},
		{"key isn't UTF-8", url, t.Context(), storagetest.PutTxn("\xff", "value")},
		{"too large", url, t.Context(), storagetest.PutTxn(strings.Repeat("a", 2000), "value")},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := newClient(t, test.url, client.Options{MaxBody: 1000})
			_, err := p.Table().Commit(test.ctx, test.txn)
			if !storagetest.HasErrorClass(err, storage.ErrUnavailable) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	server, url := startStandin(t, platformd.Options{CommitsPerSecond: 1e-9, ReadsPerSecond: 1e-9})
	p := newClient(t, url, client.Options{})
	_, err := p.Table().Commit(t.Context(), storagetest.PutTxn("first", "value"))
	is.NoErr(err)
	_, err = p.Table().Commit(t.Context(), storagetest.PutTxn(key, "value"))
	is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
	var limited *client.RateLimitedError
	is.True(errors.As(err, &limited))
	is.Equal(limited.RetryAfter, time.Second)
	is.Equal(rowExists(t, server.Table(), key), false)
	_, err = p.Table().Get(t.Context(), "first")
	is.NoErr(err)
	_, err = p.Table().Get(t.Context(), "first")
	is.True(errors.As(err, &limited))
}

// Only a response to the call itself, with an error status and the effect header,
// states that a commit had no effect or conflicted. After any other response that
// isn't a complete confirmation the outcome is unknown.
func TestAnswersToCommit(t *testing.T) {
	const committed = `{"revision":7}`
	none := map[string]string{protocol.HeaderEffect: protocol.EffectNone}
	tests := []struct {
		desc    string
		status  int
		headers map[string]string
		body    string
		want    error
	}{
		{"committed", 200, nil, committed, nil},
		{"revision missing", 200, nil, `{}`, storage.ErrUnknown},
		{"no JSON", 200, nil, `<html>`, storage.ErrUnknown},
		{"cut JSON", 200, nil, committed[:8], storage.ErrUnknown},
		{"too large", 200, nil, committed + strings.Repeat(" ", 2000), storage.ErrUnknown},
		{"success without effect", 200, none, `{}`, storage.ErrUnknown},
		{"conflict", 409, none, `{}`, storage.ErrConflict},
		{"conflict, effect not stated", 409, nil, `{}`, storage.ErrUnknown},
		{"refused", 503, none, `{}`, storage.ErrUnavailable},
		{"refused, body too large", 503, none, strings.Repeat(" ", 2000), storage.ErrUnavailable},
		{"refused, effect not stated", 503, nil, `{}`, storage.ErrUnknown},
		{"not found", 404, none, `{}`, storage.ErrUnavailable},
		{"gateway timeout", 504, nil, ``, storage.ErrUnknown},
		{"rate limited, effect not stated", 429, map[string]string{"Retry-After": "1"}, ``, storage.ErrUnknown},
		{"redirect", 307, map[string]string{"Location": "/"}, ``, storage.ErrUnknown},
		{"other call", 200, map[string]string{protocol.HeaderCall: "other"}, committed, storage.ErrUnknown},
		{"refusal of another call", 503, map[string]string{protocol.HeaderCall: "other", protocol.HeaderEffect: protocol.EffectNone}, `{}`, storage.ErrUnknown},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var requests atomic.Int64
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				w.Header().Set(protocol.HeaderCall, r.Header.Get(protocol.HeaderCall))
				for name, value := range test.headers {
					w.Header().Set(name, value)
				}
				w.WriteHeader(test.status)
				_, _ = fmt.Fprint(w, test.body)
			}))
			defer web.Close()
			p := newClient(t, web.URL, client.Options{MaxBody: 1000})
			_, err := p.Table().Commit(t.Context(), storagetest.PutTxn(key, "value"))
			if !storagetest.HasErrorClass(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if requests.Load() != 1 {
				t.Errorf("%d requests, want 1", requests.Load())
			}
		})
	}
}

// A response whose end is marked only by the end of the connection is rejected,
// since it could be truncated unnoticed.
func TestUnframedAnswer(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nobje", protocol.HeaderCall, r.Header.Get(protocol.HeaderCall))
		_ = conn.Close()
	}))
	defer web.Close()
	p := newClient(t, web.URL, client.Options{})
	data, err := p.Objects().Read(t.Context(), "name")
	if !storagetest.HasErrorClass(err, storage.ErrUnavailable) {
		t.Errorf("got %q, %v", data, err)
	}
}

func TestConformance(t *testing.T) {
	storagetest.TestTable(t, func(t *testing.T) storage.Table {
		_, url := startStandin(t, unlimitedOptions())
		return newClient(t, url, client.Options{}).Table()
	})
	_, url := startStandin(t, unlimitedOptions())
	storagetest.TestObjects(t, newClient(t, url, client.Options{}).Objects())
}

func TestServices(t *testing.T) {
	is := is.New(t)
	server, url := startStandin(t, unlimitedOptions())
	p := newClient(t, url, client.Options{})
	hosts, err := p.Hosts().Hosts(t.Context())
	is.NoErr(err)
	is.Equal(len(hosts), 0)
	host := storage.Host{ID: "h", Kind: storage.KindEngine, Name: "m", Zone: "z", Address: "127.0.0.1:1", State: storage.HostLive, ChecksFencing: true}
	server.Hosts().Set(host)
	hosts, err = p.Hosts().Hosts(t.Context())
	is.NoErr(err)
	is.Equal(hosts, []storage.Host{host})

	server.Objects().SetDown(true)
	is.True(storagetest.HasErrorClass(p.Objects().Write(t.Context(), "b", nil), storage.ErrUnavailable))

	rating, err := p.Rater().Rate(t.Context(), "m", "1", "prompt", "answer")
	is.NoErr(err)
	is.Equal(rating.Score, 0.5)
	server.Rater().SetDown(true)
	_, err = p.Rater().Rate(t.Context(), "m", "1", "prompt", "answer")
	is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
}

func TestOnCall(t *testing.T) {
	is := is.New(t)
	server, url := startStandin(t, unlimitedOptions())
	var results []client.CallResult
	p := newClient(t, url, client.Options{OnCall: func(o client.CallResult) { results = append(results, o) }})
	_, err := p.Table().Commit(t.Context(), storagetest.PutTxn(key, "value"))
	is.NoErr(err)
	server.Table().LoseNextResponses(1)
	_, err = p.Table().Commit(t.Context(), storagetest.PutTxn(key, "value"))
	is.Equal(len(results), 2)
	is.Equal(results[0].Op, "commit")
	is.True(results[0].Sent > 0 && results[0].Received > 0)
	is.Equal(results[1].Err, err)
}

// During an outage a read must not report that a row doesn't exist.
func TestReadsDuringOutage(t *testing.T) {
	is := is.New(t)
	server, url := startStandin(t, unlimitedOptions())
	server.Table().SetDown(true)
	table := newClient(t, url, client.Options{}).Table()
	_, err := table.List(t.Context(), "", "", 5)
	is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
	_, err = table.Get(t.Context(), "absent")
	is.True(storagetest.HasErrorClass(err, storage.ErrUnavailable))
}

// The server reads a commit on a connection that was idle, and closes it. In such
// a case the transport resends a request if that is allowed; a commit must not be
// sent again.
func TestCommitIsSentOnce(t *testing.T) {
	var requests atomic.Int64
	server := platformd.New(unlimitedOptions())
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
		server.Handler().ServeHTTP(w, r)
	}))
	defer web.Close()
	p := newClient(t, web.URL, client.Options{})
	for i, want := range []error{nil, storage.ErrUnknown} {
		_, err := p.Table().Commit(t.Context(), storagetest.PutTxn(key, "value"))
		if !storagetest.HasErrorClass(err, want) {
			t.Errorf("commit %d: got %v, want %v", i, err, want)
		}
	}
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}
