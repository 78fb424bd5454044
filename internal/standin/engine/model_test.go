package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/upstream"
)

// serve passes a request directly to the handler, with headers as name and value
// in turn.
func serve(e *Engine, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w
}

func complete(e *Engine, id, modelVersion, prompt string, priority int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"content":%q}]}`, modelVersion, prompt)
	return serve(e, "POST", "/v1/chat/completions", body, upstream.HeaderRequestID, id, upstream.HeaderPriority, fmt.Sprint(priority))
}

func load(t *testing.T, e *Engine) (load upstream.Load) {
	t.Helper()
	if err := json.Unmarshal(serve(e, "GET", "/load", "").Body.Bytes(), &load); err != nil {
		t.Fatal(err)
	}
	return load
}

func TestQueueGoesByPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := New(Options{Versions: []string{"m@1"}, Capacity: 1, TimePerToken: time.Second})
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for _, r := range []struct {
			id       string
			priority int
		}{{"first", 5}, {"low", 9}, {"mid1", 5}, {"mid2", 5}, {"high", 1}} {
			wg.Go(func() {
				complete(e, r.id, "m@1", "tokens=3", r.priority)
				mu.Lock()
				order = append(order, r.id)
				mu.Unlock()
			})
			synctest.Wait()
		}
		is.Equal(load(t, e), upstream.Load{Running: 1, Queued: 4, Capacity: 1, Versions: []string{"m@1"}})
		wg.Wait()
		is.Equal(order, []string{"first", "high", "mid1", "mid2", "low"})
		e.Close()
		time.Sleep(DefaultAnswerRetention)
	})
}

func TestTimesGrowWithBatchPromptAndFault(t *testing.T) {
	tests := []struct {
		desc   string
		batch  int
		faults Faults
		want   time.Duration
	}{
		{"alone", 1, Faults{}, 2*time.Second + 10*time.Second},
		{"batch of three", 3, Faults{}, 2*time.Second + 20*time.Second},
		{"slow version", 1, Faults{Versions: map[string]VersionFault{"m@1": {Slow: 2}}}, 24 * time.Second},
		{"stall", 1, Faults{StallMs: 5000}, 17 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := New(Options{Versions: []string{"m@1"}, PrefillPerToken: time.Second, TimePerToken: time.Second, BatchSlowdown: 0.5})
				e.SetFaults(test.faults)
				begin := time.Now()
				var wg sync.WaitGroup
				for i := range test.batch {
					wg.Go(func() { complete(e, fmt.Sprint(i), "m@1", "a tokens=10", 0) })
				}
				wg.Wait()
				is.Equal(time.Since(begin), test.want)
				e.Close()
				time.Sleep(DefaultAnswerRetention)
			})
		})
	}
}

func TestUnloadRefusesQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := New(Options{Versions: []string{"m@1", "m@2"}, Capacity: 1, TimePerToken: time.Second})
		var wg sync.WaitGroup
		var running, queued *httptest.ResponseRecorder
		wg.Go(func() { running = complete(e, "r1", "m@1", "tokens=5", 0) })
		synctest.Wait()
		wg.Go(func() { queued = complete(e, "r2", "m@1", "tokens=5", 0) })
		synctest.Wait()
		is.Equal(serve(e, "POST", "/orders", `{"fencing":1,"action":"unload","model":"m","version":"1"}`).Code, http.StatusNoContent)
		wg.Wait()
		is.Equal(running.Code, http.StatusOK) // the running request completes
		is.True(strings.HasSuffix(running.Body.String(), "data: [DONE]\n\n"))
		is.Equal(queued.Code, http.StatusConflict)
		is.Equal(queued.Header().Get(upstream.HeaderNotRun), "1")
		is.Equal(e.Arrival("r2"), Arrival{RequestID: "r2", Model: "m@1", Priority: "0", Heads: 1, Bodies: 1, Refused: 1})
		is.Equal(complete(e, "r3", "m@2", "tokens=5", 0).Code, http.StatusOK)
		e.Close()
		time.Sleep(DefaultAnswerRetention)
	})
}

func TestFencing(t *testing.T) {
	tests := []struct {
		desc   string
		fenced bool
		want   int
		orders int
	}{
		{"checked", true, http.StatusConflict, 1},
		{"ignored", false, http.StatusNoContent, 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			e := New(Options{Fenced: test.fenced})
			defer e.Close()
			is.Equal(serve(e, "POST", "/orders", `{"fencing":7,"action":"load","model":"m","version":"1"}`).Code, http.StatusNoContent)
			is.Equal(serve(e, "POST", "/orders", `{"fencing":6,"action":"unload","model":"m","version":"1"}`).Code, test.want)
			is.Equal(len(e.Orders()), test.orders)
			is.Equal(e.versions.has("m@1"), test.fenced)
		})
	}
}

func TestVersionFaults(t *testing.T) {
	is := is.New(t)
	e := New(Options{Versions: []string{"m@1", "m@2"}})
	defer e.Close()
	is.Equal(serve(e, "POST", "/faults", `{"versions":{"m@1":{"bad":true},"m@2":{"error_rate":1}}}`).Code, http.StatusNoContent)
	is.True(strings.Contains(complete(e, "r1", "m@1", "p", 0).Body.String(), BadAnswerPrefix))
	is.Equal(complete(e, "r2", "m@2", "p", 0).Code, http.StatusInternalServerError)
	is.Equal(e.Arrival("r2").Began, 1)
	is.Equal(serve(e, "POST", "/faults", `{"unknown":1}`).Code, http.StatusBadRequest)
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := New(Options{LoadLag: 10 * time.Second})
		time.Sleep(time.Minute)
		e.SetFaults(Faults{Leaving: true})
		time.Sleep(9 * time.Second)
		is.Equal(load(t, e), upstream.Load{Capacity: DefaultCapacity, AgeMs: 10_000})
		time.Sleep(time.Second)
		is.True(load(t, e).Leaving)
		e.Close()
	})
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPrefixCache(Options{CacheBlocks: 2, CacheEventLag: time.Second, CacheEventLossEvery: 3})
		prompt := strings.Repeat("w ", 3*blockTokens)
		is.Equal(c.lookupAndStore("m@1", prompt), 0)
		is.Equal(len(c.eventsAfter(0).Events), 0)
		time.Sleep(time.Second)
		blocks := prefixBlocks("m@1", prompt)
		got := c.eventsAfter(1)
		for i := range got.Events {
			got.Events[i].visibleAt = time.Time{}
		}
		// The events: stored 1, stored 2, evicted 1 (lost), stored 3.
		is.Equal(got, cacheEvents{Last: 4, Events: []cacheEvent{
			{Number: 2, Change: blockStored, Block: blocks[1]},
			{Number: 4, Change: blockStored, Block: blocks[2]},
		}})
		is.Equal(c.lookupAndStore("m@1", prompt), 0) // its first block was evicted
	})
}
