package platformd_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// Call timeouts: shortTimeout ends before any injected delay does; longTimeout
// isn't reached.
const (
	shortTimeout = 100 * time.Millisecond
	longTimeout  = time.Minute
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startServer starts a stand-in and returns its URL. It is stopped at the end of
// the test.
func startServer(t *testing.T, options platformd.Options) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ready := make(chan string, 1)
	runErr := make(chan error, 1)
	options.OnReady = func(address string) { ready <- address }
	go func() { runErr <- platformd.Run(ctx, options) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	select {
	case address := <-ready:
		return "http://" + address
	case err := <-runErr:
		t.Fatal(err)
		return ""
	}
}

// send sends one request and returns the status of the response.
func send(t *testing.T, method, url, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestFaults(t *testing.T) {
	commit := func(ctx context.Context, p *client.Platform) error {
		_, err := p.Table().Commit(ctx, storage.Txn{})
		return err
	}
	read := func(ctx context.Context, p *client.Platform) error {
		_, err := p.Table().List(ctx, "", "", 1)
		return err
	}
	rate := func(ctx context.Context, p *client.Platform) error {
		_, err := p.Rater().Rate(ctx, "m", "1", "prompt", "answer")
		return err
	}
	write := func(ctx context.Context, p *client.Platform) error {
		return p.Objects().Write(ctx, "name", nil)
	}
	tests := []struct {
		faults string
		call   func(context.Context, *client.Platform) error
		want   error
		// timeout limits the call that is made under the fault.
		timeout time.Duration
	}{
		{`{"down": true}`, commit, storage.ErrUnavailable, longTimeout},
		{`{"delay_ms": 60000}`, read, storage.ErrUnavailable, shortTimeout},
		{`{"lose_next": 1}`, commit, storage.ErrUnknown, longTimeout},
		{`{"drop_next": 1}`, commit, storage.ErrUnknown, longTimeout},
		{`{"delay_next": 1, "delay_next_ms": 1}`, commit, storage.ErrUnknown, longTimeout},
		{`{"objects_down": true}`, write, storage.ErrUnavailable, longTimeout},
		{`{"rater_down": true}`, rate, storage.ErrUnavailable, longTimeout},
		{`{"rater_delay_ms": 60000}`, rate, storage.ErrUnavailable, shortTimeout},
	}
	for _, test := range tests {
		t.Run(test.faults, func(t *testing.T) {
			is := is.New(t)
			url := startServer(t, platformd.Options{})
			p := client.New(url, client.Options{Timeout: longTimeout})
			t.Cleanup(p.Close)
			is.Equal(send(t, http.MethodPost, url+"/faults", test.faults), http.StatusNoContent)
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			is.True(errors.Is(test.call(ctx, p), test.want))
			is.Equal(send(t, http.MethodDelete, url+"/faults", ""), http.StatusNoContent)
			is.NoErr(test.call(t.Context(), p))
		})
	}
}

func TestHosts(t *testing.T) {
	is := is.New(t)
	url := startServer(t, platformd.Options{})
	p := client.New(url, client.Options{})
	t.Cleanup(p.Close)
	count := func() int {
		hosts, err := p.Hosts().Hosts(t.Context())
		is.NoErr(err)
		return len(hosts)
	}
	is.Equal(send(t, http.MethodPost, url+"/hosts", `{"id": "a", "kind": "engine", "state": "live"}`), http.StatusNoContent)
	is.Equal(send(t, http.MethodPost, url+"/hosts", `{"id": ""}`), http.StatusBadRequest)
	is.Equal(count(), 1)
	is.Equal(send(t, http.MethodPost, url+"/faults", `{"lag_ms": 3600000}`), http.StatusNoContent)
	is.Equal(send(t, http.MethodDelete, url+"/hosts/a", ""), http.StatusNoContent)
	is.Equal(count(), 1)
	is.Equal(send(t, http.MethodDelete, url+"/faults", ""), http.StatusNoContent)
	is.Equal(count(), 0)
}

func TestBadRequests(t *testing.T) {
	url := startServer(t, platformd.Options{MaxBody: 100})
	tests := []struct {
		desc, path, body string
	}{
		{"no JSON", "/v1/table/commit", "x"},
		{"two messages", "/v1/table/commit", "{} {}"},
		{"unknown field", "/faults", `{"dwon": true}`},
		{"too large", "/v1/table/commit", `{"deletes": ["` + strings.Repeat("a", 200) + `"]}`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := send(t, http.MethodPost, url+test.path, test.body); got != http.StatusBadRequest {
				t.Errorf("status %d", got)
			}
		})
	}
}

// Run chooses a free port, passes its address to OnReady and serves until the
// context ends.
func ExampleRun() {
	ctx, cancel := context.WithCancel(context.Background())
	err := platformd.Run(ctx, platformd.Options{
		Rater: memory.RaterOptions{Quality: map[string]float64{"m@2": 0.9}},
		OnReady: func(address string) {
			p := client.New("http://"+address, client.Options{})
			fmt.Println(p.Rater() != nil)
			cancel()
		},
	})
	fmt.Println(err)
	// Output:
	// true
	// <nil>
}
