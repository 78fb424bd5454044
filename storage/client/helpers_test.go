package client_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
)

const (
	key = "key"
	// unlimited is a rate that no test reaches.
	unlimited = 1e9
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startStandin starts a stand-in of the platform and returns it with its URL.
func startStandin(t testing.TB, options platformd.Options) (*platformd.Server, string) {
	t.Helper()
	server := platformd.New(options)
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return server, web.URL
}

func unlimitedOptions() platformd.Options {
	return platformd.Options{CommitsPerSecond: unlimited, ReadsPerSecond: unlimited}
}

func newClient(t testing.TB, url string, options client.Options) *client.Platform {
	t.Helper()
	p := client.New(url, options)
	t.Cleanup(p.Close)
	return p
}

// rowExists reads the table directly, without the client.
func rowExists(t testing.TB, table storage.Table, key string) bool {
	t.Helper()
	_, err := table.Get(t.Context(), key)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		t.Fatal(err)
	}
	return err == nil
}

// waitForRow waits until a late commit has written the row; the test's own
// timeout bounds the wait.
func waitForRow(t testing.TB, table storage.Table, key string) {
	t.Helper()
	for !rowExists(t, table, key) {
		time.Sleep(time.Millisecond)
	}
}
