package client_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// A call returns the server's current list, whatever changed since the previous
// call, and also if the server was replaced by one with other revisions.
func TestHostsFollowChanges(t *testing.T) {
	var server *platformd.Server
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.Handler().ServeHTTP(w, r)
	}))
	defer web.Close()
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	states := rapid.SampledFrom([]storage.HostState{storage.HostLive, storage.HostLeaving})
	rapid.Check(t, func(t *rapid.T) {
		server = platformd.New(platformd.Options{})
		p := client.New(web.URL, client.Options{})
		defer p.Close()
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				server.Hosts().Set(storage.Host{ID: ids.Draw(t, "id"), State: states.Draw(t, "state")})
			},
			"remove": func(t *rapid.T) { server.Hosts().Remove(ids.Draw(t, "id")) },
			"replace server": func(t *rapid.T) {
				server = platformd.New(platformd.Options{})
			},
			"list": func(t *rapid.T) {
				got, err := p.Hosts().Hosts(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				want, _ := server.Hosts().Hosts(t.Context())
				if !slices.Equal(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			},
		})
	})
}

// After an invalid response a call returns no list, and the next call fetches the
// whole list.
func TestBadHostAnswers(t *testing.T) {
	const full = `{"cursor": "1", "full": true, "hosts": [{"id": "b"}, {"id": "a"}]}`
	tests := []struct{ desc, body string }{
		{"list missing", `{"cursor": "1", "full": true}`},
		{"cursor missing", `{"full": true, "hosts": []}`},
		{"other message", `{}`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			body := test.body
			var since []string
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				since = append(since, r.URL.Query().Get("since"))
				w.Header().Set("Platform-Call", r.Header.Get("Platform-Call"))
				_, _ = fmt.Fprint(w, body)
			}))
			defer web.Close()
			p := newClient(t, web.URL, client.Options{})
			list := func(response string) error {
				body = response
				_, err := p.Hosts().Hosts(t.Context())
				return err
			}
			is.True(storagetest.HasErrorClass(list(test.body), storage.ErrUnavailable))
			is.True(storagetest.HasErrorClass(list(`{"cursor": "1"}`), storage.ErrUnavailable)) // changes, but there is no list yet
			is.NoErr(list(full))
			is.True(storagetest.HasErrorClass(list(test.body), storage.ErrUnavailable))
			is.NoErr(list(full))
			is.NoErr(list(`{"cursor": "2", "removed": ["a", "x"]}`))
			is.Equal(since, []string{"", "", "", "1", "", "1"})
		})
	}
}

// BenchmarkHosts lists 12,000 hosts, some of which changed since the last call.
func BenchmarkHosts(b *testing.B) {
	const hosts = 12000
	for _, changed := range []int{0, 10, memory.MaxHostChanges + 1} {
		b.Run(strconv.Itoa(changed), func(b *testing.B) {
			server := platformd.New(platformd.Options{})
			web, listener := serveCut(b, server.Handler(), noCut)
			defer web.Close()
			for i := range hosts {
				server.Hosts().Set(benchmarkHost(i))
			}
			p := newClient(b, web.URL, client.Options{})
			list := func() {
				if _, err := p.Hosts().Hosts(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			list()
			_, before := listener.BytesPassed()
			for b.Loop() {
				for i := range changed {
					server.Hosts().Set(benchmarkHost(i))
				}
				list()
			}
			_, after := listener.BytesPassed()
			b.ReportMetric(float64(after-before)/float64(b.N), "answer-B/op")
		})
	}
}

func benchmarkHost(i int) storage.Host {
	return storage.Host{
		ID:      fmt.Sprintf("engine-%05d", i),
		Kind:    storage.KindEngine,
		Name:    "pool-" + strconv.Itoa(i%40),
		Zone:    "zone-" + strconv.Itoa(i%32),
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
		State:   storage.HostLive,
	}
}
