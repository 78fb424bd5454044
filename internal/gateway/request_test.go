package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestUpstreamGetsTheCallersRequest(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("u1", respondOK("ok"))
	got := tg.do(tg.newRequest("POST", "/once/a%2Fb?q=1&q=2", "the body", "X-Other", "kept", "T-Last-Event", ""))
	is.Equal(got.status, 200)
	is.Equal(got.body, "ok")
	is.Equal(got.header.Get("T-Stamp"), "stamp")
	req, body := log.last()
	is.Equal(req.Method, "POST")
	is.Equal(req.RequestURI, "/once/a%2Fb?q=1&q=2")
	is.Equal(string(body), "the body")
	is.Equal(req.Host, testHost)
	is.Equal(req.Header.Get("X-Other"), "kept")
	is.Equal(req.Header.Get("T-Id"), "r1")
	is.Equal(req.Header.Get("T-Expect"), "u1")
	is.Equal(req.Header.Get("T-Account"), "acme")
	is.Equal(req.Header.Get("T-Key"), "") // the caller's key is secret
	left, err := strconv.Atoi(req.Header.Get("T-Deadline"))
	is.NoErr(err)
	is.True(left > 1000 && left <= 1500) // the remaining time of the caller's deadline
}

func TestSystemHeadersOfCallersAreDropped(t *testing.T) {
	tg := newTestGateway(t, testDocument())
	log := tg.startUpstream("u1", respondOK("ok"))
	for _, name := range []string{"T-Account", "T-Pin", "T-Priority", "T-Not-Run", "T-Load", "T-Stamp", "Te", "Upgrade"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := tg.do(tg.newRequest("GET", "/public/x", "", name, "forged", "T-Key", ""))
			is.Equal(got.status, 200)
			req, _ := log.last()
			is.Equal(req.Header.Get(name), "")
		})
	}
}

func TestRefusedBeforeAnUpstream(t *testing.T) {
	tests := []struct {
		desc   string
		path   string
		body   string
		header []string
		want   int
	}{
		{"unknown path", "/nowhere/x", "", nil, 404},
		{"unknown key", "/once/x", "", []string{"T-Key", "other"}, 401},
		{"no key", "/once/x", "", []string{"T-Key", ""}, 401},
		{"key with a prefix", "/once/x", "", []string{"T-Key", "Bearer key-1"}, 401},
		{"unknown key with a body that is too large", "/once/x", strings.Repeat("x", 2000), []string{"T-Key", "other"}, 401},
		{"body too large", "/once/x", strings.Repeat("x", 2000), nil, 413},
		{"header too large", "/once/x", "", []string{"X-Long", strings.Repeat("x", 5000)}, 431},
		{"no id", "/once/x", "", []string{"T-Id", ""}, 400},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, testDocument())
			log := tg.startUpstream("u1", respondOK("ok"))
			got := tg.do(tg.newRequest("POST", test.path, test.body, test.header...))
			is.Equal(got.status, test.want)
			is.Equal(got.header.Get("T-Stamp"), "")
			is.Equal(log.count(), 0)
		})
	}
}

func TestNoDocumentYet(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.routingTable.Store(nil)
	got := tg.do(tg.newRequest("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.startUpstream("u1", respondOK("ok"))
	is.Equal(tg.do(tg.newRequest("GET", "/public/x", "", "T-Key", "")).status, 200)
}

func TestParsePrompt(t *testing.T) {
	tests := []struct {
		desc    string
		tokens  string
		parts   string
		in, out int
		// shared is the number of parts that other requests are likely to share.
		shared int
		last   string
	}{
		{"three parts", "1460,80", "a:800,b:410,c:250", 1460, 80, 2, "b"},
		{"one part", "10,5", "a:10", 10, 5, 0, ""},
		{"nothing", "", "", 0, 0, 0, ""},
		{"can't be read", "x,-1", "a", 0, 0, 0, ""},
		{"too large counts", "1000000000000000,4611686018427387904", "a:1000000000000000,b:1", 10_000_000, 10_000_000, 1, "a"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{"T-Tokens": {test.tokens}, "T-Parts": {test.parts}}
			names := testHeaders()
			p := parsePrompt(header, &names)
			is.Equal(p.TokensIn, test.in)
			is.Equal(p.TokensOut, test.out)
			prompt := p.placementPrompt(true)
			is.Equal(prompt.SharedParts, test.shared)
			is.Equal(sharedPrefix(prompt), test.last)
			is.Equal(prompt.Tokens, test.in)
			is.Equal(len(p.placementPrompt(false).Parts), 0) // the route shares no prefixes
		})
	}
}
