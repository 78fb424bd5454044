package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/placement"
	"github.com/quetzalweir/quetzalweir/routing"
)

var testEngineSpec = routing.EngineSpec{BytesPerToken: 163840, LinkMbps: 2_200_000}

// Engine "a" may fetch the shared part from "b", which is busy, only if nothing rules that out.
// Otherwise it would wait for an engine that doesn't answer, use the cache contents of other
// weights, or bring data to a region where the request isn't permitted.
func TestFetchSource(t *testing.T) {
	prompt := &placement.Prompt{Tokens: 10_000, SharedParts: 1, Parts: []placement.Part{{ID: "p", Tokens: 9_000}, {ID: "q", Tokens: 1_000}}}
	source := Upstream{ID: "b", Service: "svc", Address: "10.0.0.2:80", Zone: "z1", Version: "v1", Slots: 8}
	tests := []struct {
		desc    string
		prepare func(f *Fleet, crit *criteria)
		want    bool
	}{
		{"usable", func(*Fleet, *criteria) {}, true},
		{"off by default", func(_ *Fleet, crit *criteria) { crit.fetches = false }, false},
		{"transfer rate unknown", func(_ *Fleet, crit *criteria) { crit.engines = routing.EngineSpec{} }, false},
		{"source gone", func(f *Fleet, _ *criteria) { f.RemoveEntry("b", 2, false) }, false},
		{"source leaving", func(f *Fleet, _ *criteria) {
			u := source
			u.Leaving = true
			f.ApplyEntry(u, 2)
		}, false},
		{"source ejected", func(f *Fleet, _ *criteria) {
			f.memberOf("svc", "b").observeResult(attemptResult{outcome: outcomeUnsent}, boottime.Now())
		}, false},
		{"source rejecting", func(f *Fleet, _ *criteria) {
			f.memberOf("svc", "b").observeResult(attemptResult{outcome: outcomeRefused}, boottime.Now())
		}, false},
		{"source of another version during a roll-out", func(f *Fleet, _ *criteria) {
			u := source
			u.Version = "v2"
			f.ApplyEntry(u, 2)
		}, false},
		{"source in a region that isn't permitted", func(f *Fleet, crit *criteria) {
			f.memberOf("svc", "b").Zone = "z9"
			crit.regions = regionConstraint{topology: &zoneTopology{regions: map[string]string{"z1": "r1", "z9": "r9"}}, allowedSets: [][]string{{"r1"}}}
		}, false},
		{"source in another region", func(f *Fleet, _ *criteria) {
			f.topology.regions = map[string]string{"z1": "r1", "z9": "r9"}
			f.memberOf("svc", "b").Zone = "z9"
		}, false},
		{"source tried by this request", func(_ *Fleet, crit *criteria) { crit.excludedIDs = []string{"b"} }, false},
		{"source of an earlier attempt", func(_ *Fleet, crit *criteria) { crit.usedSources = []string{source.Address} }, false},
		{"source in an evacuated zone", func(f *Fleet, _ *criteria) {
			f.memberOf("svc", "b").Zone = "z9"
			f.SetEvacuated(map[string]bool{"z9": true}, 1)
		}, false},
		{"source still prefilling the part", func(f *Fleet, crit *criteria) {
			f.memberOf("svc", "b").ensureUsage().prefills = []*prefill{{newKeys: crit.keys[:1]}}
		}, false},
		{"engine doesn't accept the header", func(f *Fleet, _ *criteria) {
			f.memberOf("svc", "a").ensureUsage().fetch.rejectedUntil = boottime.Now().Add(fetchPause)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(time.Second, newTestGateway(t, testDocument()).gateway.log)
			f.topology.zone = "z1"
			f.ApplyEntry(Upstream{ID: "a", Service: "svc", Address: "10.0.0.1:80", Zone: "z1", Version: "v1", Slots: 8}, 1)
			f.ApplyEntry(source, 1)
			crit := unsharedPromptCriteria(0)
			crit.prompt, crit.keys, crit.engines, crit.fetches = prompt, placement.PrefixKeys("m", prompt), testEngineSpec, true
			f.addRemotePrefixes(exchange.SentPrefixes{exchange.HashID("b"): crit.keys[:1]})
			f.setRemoteWork(exchange.Work{exchange.HashID("b"): 5000}, boottime.Now())
			test.prepare(f, &crit)
			c, ok := f.choose(crit)
			is.True(ok)
			is.Equal(c.upstream.ID, "a")
			if !test.want {
				is.Equal(c.fetchFrom, "")
				is.Equal(c.placement.UncachedTokens, 10_000)
				return
			}
			is.Equal(c.fetchFrom, source.Address)
			is.Equal(c.placement.FetchedTokens, 9_000)
			is.Equal(c.placement.UncachedTokens, 1_000)
			is.Equal(f.memberOf("svc", "a").cachedPartCount(crit.keys), 2) // counts as cached after the fetch
			again, _ := f.choose(crit)
			is.Equal(again.upstream.ID+again.fetchFrom, "a") // nothing is fetched twice
		})
	}
}

// The prefill rate of a model is computed from tokens that an engine prefilled itself: not from a time that
// consists mostly of a transfer, and not from a run that was continued from a copy.
func TestPrefillRateWithFetchedTokens(t *testing.T) {
	tests := []struct {
		desc      string
		fetchTime time.Duration
		copied    *runCopy
		want      bool
	}{
		{"short transfer", time.Millisecond, nil, true},
		{"long transfer", 100 * time.Millisecond, nil, false},
		{"continued from a copy", time.Millisecond, &runCopy{}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			f := engineFleet()
			c, ok := f.choose(unsharedPromptCriteria(4_000))
			is.True(ok)
			c.placement.FetchTime, c.placement.FetchedTokens, c.continueFrom = test.fetchTime, 6_000, test.copied
			f.headReceived(&c, 250*time.Millisecond)
			timings := f.shard("svc").prefillRates.Timings(boottime.Now())["m"]
			is.Equal(timings.Answers > 0, test.want)
		})
	}
}

// The header is sent once the service counts as contended, and an engine that rejects it gets later
// requests without it.
func TestFetchHeader(t *testing.T) {
	for _, rejects := range []bool{false, true} {
		is := is.New(t)
		doc := testDocument()
		doc.Services[0].Engines = testEngineSpec
		for i := range doc.Routes {
			doc.Routes[i].PrefixAffinity = true
		}
		tg := newTestGateway(t, doc)
		handler := func(w http.ResponseWriter, req *http.Request) {
			if rejects && req.Header.Get("T-Fetch") != "" {
				respondStatus(http.StatusNotImplemented)(w, req)
				return
			}
			streamEvents(1, 2, false, "T-Load", "1,0,8,100")(w, req)
		}
		a := tg.startUpstream("a", handler)
		b := tg.startUpstream("b", streamEvents(1, 2, false, "T-Load", "1,0,8,100"))
		fleet := tg.gateway.fleet
		send := func(parts string) string {
			fleet.setRemoteWork(exchange.Work{exchange.HashID("b"): 5000}, boottime.Now())
			before := a.count()
			got := tg.do(tg.newRequest("POST", "/stream/x", "body", "T-Model", "m", "T-Tokens", "10000,50", "T-Parts", parts, "T-Fetch", "10.9.9.9:80"))
			is.Equal(got.body, eventTexts(1, 2))
			is.Equal(a.count(), before+1)
			return a.requests[before].Header.Get("T-Fetch")
		}
		cachedAtB := func(part string) string {
			keys := placement.PrefixKeys("m", &placement.Prompt{Parts: []placement.Part{{ID: part}}})
			fleet.addRemotePrefixes(exchange.SentPrefixes{exchange.HashID("b"): keys})
			return part + ":9000,own:1000"
		}
		is.Equal(send(cachedAtB("p")), "") // off by default
		is.Equal(send(cachedAtB("q")), fleet.memberOf("svc", "b").Address)
		is.Equal(b.count() > 0, rejects) // the rejected request was answered elsewhere
		is.Equal(send(cachedAtB("r")) == "", rejects)
		var text strings.Builder
		tg.gateway.metrics.write(&text)
		fetches, tokens := "2", "18000"
		if rejects {
			fetches, tokens = "1", "9000"
		}
		is.True(strings.Contains(text.String(), `cache_fetches_total{service="svc"} `+fetches+"\n"))
		is.True(strings.Contains(text.String(), `cache_fetched_tokens_total{service="svc"} `+tokens+"\n"))
	}
}

// The gateway's own header for fetching must not cause an error that callers get: a request that an engine
// rejected is repeated without it, and one that may not be repeated has it only for engines that accepted it.
// Requests that are invalid themselves must not keep engines from fetching, nor a rejection for good.
func TestFetchRejectedByEngines(t *testing.T) {
	tests := []struct {
		desc, path string
		reject     string // the header with which requests are rejected
		want       int
		flagged    bool
	}{
		{"header not supported", "/stream/x", "T-Fetch", http.StatusOK, true},
		{"header not supported, not repeatable", "/fixed/x", "T-Fetch", http.StatusOK, false},
		{"invalid request", "/stream/x", "T-Bad", http.StatusBadRequest, false},
		{"invalid request, not repeatable", "/fixed/x", "T-Bad", http.StatusBadRequest, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Services[0].Engines = testEngineSpec
			for i := range doc.Routes {
				doc.Routes[i].PrefixAffinity = true
			}
			tg := newTestGateway(t, doc)
			tg.gateway.settings.Features.CacheFetch = FeatureOn
			handler := func(w http.ResponseWriter, req *http.Request) {
				if req.Header.Get(test.reject) != "" {
					respondStatus(http.StatusBadRequest)(w, req)
					return
				}
				streamEvents(1, 2, false, "T-Load", "1,0,8,100")(w, req)
			}
			work, cached := exchange.Work{}, exchange.SentPrefixes{}
			keys := placement.PrefixKeys("m", &placement.Prompt{Parts: []placement.Part{{ID: "p"}}})
			for _, id := range []string{"a", "c", "d", "e", "f", "b", "b2", "b3"} {
				tg.startUpstream(id, handler)
				if id[0] == 'b' {
					work[exchange.HashID(id)], cached[exchange.HashID(id)] = 50_000, keys
				}
			}
			fleet := tg.gateway.fleet
			fleet.addRemotePrefixes(cached)
			fleet.setRemoteWork(work, boottime.Now())
			got := tg.do(tg.newRequest("POST", test.path, "body", "T-Model", "m", "T-Tokens", "10000,50", "T-Parts", "p:9000,own:1000", "T-Bad", "1"))
			is.Equal(got.status, test.want)
			flagged := 0
			for _, m := range fleet.shard("svc").members {
				if until := m.usageSnapshot().fetch.rejectedUntil; !until.IsZero() {
					is.True(until.Sub(boottime.Now()) <= fetchPause)
					flagged++
				}
			}
			is.Equal(flagged, boolCount(test.flagged))
		})
	}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}
