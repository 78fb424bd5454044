package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

// limitedBy has an upstream name the limits that the pointer holds at the time.
func limitedBy(limits *atomic.Pointer[[]string], handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if named := limits.Load(); named != nil {
			w.Header()["T-Limit"] = *named
		}
		handler(w, req)
	}
}

func naming(values ...string) *atomic.Pointer[[]string] {
	limits := &atomic.Pointer[[]string]{}
	limits.Store(&values)
	return limits
}

// limitWorld is a gateway among others with a limited upstream near by and another one.
func limitWorld(t *testing.T, limits *atomic.Pointer[[]string]) (w *world, limited, other *upstreamLog) {
	w = newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	limited = w.upstreamOf(Upstream{ID: "limited", Zone: "z1", Version: "v1"}, limitedBy(limits, succeed("limited")))
	other = w.upstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, succeed("other"))
	return w, limited, other
}

// lease gives the gateway a share of each of the upstreams, since a while.
func (w *world) lease(since time.Duration, of, roots int, ids ...string) {
	var grants []ratelease.Grant
	for _, id := range ids {
		grants = append(grants, ratelease.Grant{Upstream: ratelease.UpstreamOf(id), Parts: 1, Of: of})
	}
	now := boottime.Now()
	var holding ratelease.Holding
	for asked := now.Add(-since); !asked.After(now); asked = asked.Add(ratelease.LeaseTime / 2) {
		holding = ratelease.Hold(ratelease.Root(grants, roots), asked, &holding)
	}
	w.gateway.fleet.TakeHolding(holding, now)
}

func (w *world) serveMany(n int) {
	w.t.Helper()
	for range n {
		is.New(w.t).Equal(w.do(w.request("GET", "/many/x", "")).status, http.StatusOK)
	}
}

func (w *world) member(id string) *member {
	s := w.gateway.fleet.shard("svc")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[id]
}

func TestLimitedUpstreamWithoutALeaseGetsNothing(t *testing.T) {
	is := is.New(t)
	w, limited, other := limitWorld(t, naming("1.9"))
	w.serveMany(10)
	is.Equal(limited.count(), 1) // its answer told
	is.Equal(other.count(), 9)
	words := w.gateway.fleet.limitWords()
	is.Equal(len(words), 1)
	is.Equal(words[0].Limit, ratelease.Limit(1.9))
	is.Equal(w.leased(), []ratelease.Upstream{ratelease.UpstreamOf("limited")}) // a root hands it out
}

func TestLimitedUpstreamGetsTheLeasesPart(t *testing.T) {
	is := is.New(t)
	w, limited, _ := limitWorld(t, naming("12"))
	w.serveMany(1)
	w.lease(10*time.Second, 2, 3, "limited", "other")
	w.serveMany(40)
	// A sixth of three quarters of 29, all at once.
	is.True(limited.count() >= 1+3 && limited.count() <= 1+5)
}

// The word of the hub binds a host that the upstream never told.
func TestLimitThatAnotherHostWasTold(t *testing.T) {
	is := is.New(t)
	w, limited, _ := limitWorld(t, naming("1"))
	word := ratelease.Word{Upstream: ratelease.UpstreamOf("limited"), Limit: 1}
	w.gateway.fleet.takeLimits([]ratelease.Word{word, {Upstream: 77, Limit: 3}}, false)
	w.serveMany(5)
	is.Equal(limited.count(), 0)
	w.gateway.fleet.takeLimits(nil, true) // the hub knows of none
	w.serveMany(1)
	is.Equal(limited.count(), 1)
}

// Nothing that an upstream names opens the bound or ends the process.
func TestLimitValues(t *testing.T) {
	for _, value := range []string{"", "NaN", "-5", "Inf", "1e9", "2/s", "99999999999999999999999"} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			limits := naming(value)
			w, limited, _ := limitWorld(t, limits)
			w.serveMany(5)
			is.Equal(limited.count(), 5) // it never named a limit that binds
			one := []string{"1"}
			limits.Store(&one)
			w.serveMany(1)
			unreadable := []string{value}
			limits.Store(&unreadable)
			w.serveMany(5)
			is.Equal(limited.count(), 6) // the one that it named stands
		})
	}
}

func TestLimitThatChangesInEachAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument()) // alone: it has all leases
	var n atomic.Int64
	limited := w.upstream("limited", func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Limit", strconv.FormatFloat(3+float64(n.Add(1)%3)/100, 'f', -1, 64))
		succeed("limited")(rw, req)
	})
	w.upstreamOf(Upstream{ID: "other", Zone: "z2", Version: "v1"}, succeed("other"))
	w.serveMany(60)
	is.True(limited.count() > 1 && limited.count() <= 23) // six times the limit, and five
	is.True(len(w.gateway.fleet.limitWords()) <= 1)
}

// A limit ends with answers that name none, to requests that were sent since.
func TestLimitThatIsOver(t *testing.T) {
	is := is.New(t)
	limits := naming("1")
	w, limited, _ := limitWorld(t, limits)
	w.serveMany(1)
	limits.Store(nil)
	w.serveMany(3)
	is.Equal(limited.count(), 1)
	w.lease(time.Minute, 1, 1, "limited")
	w.serveMany(3)
	is.Equal(limited.count(), 4) // its burst; the limit was named just now
	m := w.member("limited")
	is.True(m.limited(boottime.Now()))
	time.Sleep(2 * time.Second)
	w.lease(time.Minute, 1, 1, "limited")
	w.serveMany(8)
	is.True(!m.limited(boottime.Now()))
	is.True(limited.count() >= 10)
}

// A restarted upstream, or another one at the address, has no limit.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	limits := naming("1")
	w, limited, _ := limitWorld(t, limits)
	w.serveMany(3)
	is.Equal(limited.count(), 1)
	limits.Store(nil)
	m := w.member("limited")
	w.gateway.fleet.Set(Upstream{ID: "limited", Incarnation: 2, Service: "svc", Address: m.Address, Zone: "z1", Version: "v1", Slots: 8}, 2)
	w.serveMany(3)
	is.Equal(limited.count(), 4)
	is.Equal(len(w.leased()), 0)
}

// Where limits don't suffice, requests are turned away at once, which is true, with a time to
// come back at.
func TestAllUpstreamsLimited(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	log := w.upstream("limited", limitedBy(naming("0"), succeed("limited")))
	w.serveMany(1)
	began := time.Now()
	got := w.do(w.request("POST", "/once/x", "body"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(got.body), resultcode.UpstreamsLimited.String())
	retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry >= 0.2 && retry <= 1)
	is.True(time.Since(began) < time.Second)
	is.Equal(log.count(), 1)
}

// A second try that finds nothing open leaves the caller the first one's answer.
func TestFailureIsPassedOnIfNothingElseIsOpen(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	log := w.upstream("limited", limitedBy(naming("0"), fail(http.StatusInternalServerError)))
	got := w.do(w.request("GET", "/many/x", ""))
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.header.Get("T-Stamp"), "stamp")
	is.Equal(log.count(), 1)
}

// An answer of low confidence is better than none.
func TestLowConfidenceIsPassedOnIfNothingElseIsOpen(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	w.gateway.fleet.access.alone = false
	log := w.upstream("limited", limitedBy(naming("0"), func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("T-Confidence", "1")
		events(1, 2, false)(rw, req)
	}))
	got := w.do(w.request("POST", "/models/x", "body", "T-Model", "*", "T-Tokens", "100,10", "T-Parts", "aa:50,bb:50"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, eventTexts(1, 2))
	is.Equal(log.count(), 1)
}

// A host that was never told how many there are has no part of a limit that it could name:
// with a guess of a hundred, a thousand such hosts sent ten times what is permitted.
func TestLoneHostWithoutANumberOfHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testDocument())
	f := w.gateway.fleet
	f.access.alone = false
	f.Set(Upstream{ID: "limited", Service: "svc", Zone: "z1", Version: "v1", Slots: 8}, 1)
	m := f.memberOf("svc", "limited")
	m.named().Observe(50, boottime.Now())
	long := ratelease.NewContact(boottime.Now().Add(-time.Hour)) // no root since
	f.access.contact.Store(&long)
	for range 20 {
		is.True(!m.mayAdd(boottime.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	w.gateway.hosts.Store(1)
	eventually(t, "its part is known", func() bool { return m.mayAdd(boottime.Now()) })
}
