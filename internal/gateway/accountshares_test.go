package gateway

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/fairshare"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// overload records requests of which the account "large" gets far more than its share.
func overload(a *accountShares, d time.Duration) {
	for end := boottime.Now().Add(d); boottime.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := boottime.Now()
		for i := range 10 {
			a.recordDemand("svc", "large", 100*time.Millisecond, now)
			if i < 6 {
				a.recordSent("svc", "large", 100*time.Millisecond, 100*time.Millisecond, now)
			}
		}
		a.recordDemand("svc", "small", 100*time.Millisecond, now)
		a.recordDemand("svc", "small", 100*time.Millisecond, now)
		a.recordSent("svc", "small", 100*time.Millisecond, 100*time.Millisecond, now)
	}
}

func newTestShares(mode FeatureMode, log zerolog.Logger) *Gateway {
	store := newFakeStore()
	return New(Settings{
		Host: "h1", Zone: "z1", TableSource: store, StatusTable: statusTable{store}, Tables: testTables(), Codec: testCodec(),
		Headers: testHeaders(), Features: Features{AccountShares: mode},
	}, log)
}

// A service whose engines don't state how long work takes must not be affected: nothing is recorded or
// reported, and no metric appears. The same holds before the gateway has its settings.
func TestAccountSharesAreOffByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestShares(FeatureAuto, zerolog.Nop())
		for _, a := range []*accountShares{&g.shares, new(accountShares)} {
			a.setOthers(exchange.AccountUse{exchange.HashID("svc"): {{Account: accountID("large"), Demand: 9, Received: 8}, {Account: accountID("small"), Demand: 9, Received: 1}}})
			overload(a, 3*time.Second)
			is.True(!a.overShare("svc", "large", boottime.Now()))
			is.Equal(len(a.ownUse()), 0)
			is.Equal(len(a.services), 0)
			a.logChanges()
		}
		var text bytes.Buffer
		g.metrics.write(&text)
		is.True(!strings.Contains(text.String(), "account"))

		g.fleet.shard("svc").contended = true // an engine stated it
		overload(&g.shares, 3*time.Second)
		is.True(g.shares.overShare("svc", "large", boottime.Now()))
		is.True(!g.shares.overShare("svc", "small", boottime.Now()))
		is.True(!g.shares.overShare("other", "large", boottime.Now()))
	})
}

// An operator sees in logs and metrics which account is over its share, and when it no longer is;
// at most one line a second for each account.
func TestOperatorsSeeAccountsOverTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var logged bytes.Buffer
		g := newTestShares(FeatureOn, zerolog.New(&logged))
		logged.Reset()
		for range 3 {
			overload(&g.shares, shareLogInterval)
			g.shares.logChanges()
		}
		is.Equal(strings.Count(logged.String(), "\n"), 1)
		is.True(strings.Contains(logged.String(), `"event":"account-over-share","service":"svc","account":"large"`))
		var text bytes.Buffer
		g.metrics.write(&text)
		for name, value := range map[string]string{"accounts_over_share": "1", "accounts_counted": "2", "largest_account_part": "0.857"} {
			is.True(strings.Contains(text.String(), fmt.Sprintf(`quetzalweir_gateway_%s{service="svc"} %s`, name, value)))
		}
		time.Sleep(20 * time.Second)
		g.shares.logChanges()
		g.shares.logChanges()
		is.Equal(strings.Count(logged.String(), "\n"), 2)
		is.True(strings.Contains(logged.String(), `"event":"account-within-share","service":"svc","account":"large"`))
		time.Sleep(time.Minute)
		g.shares.logChanges()
		is.Equal(len(g.shares.services["svc"].names), 0) // nothing is kept of accounts without requests
		is.Equal(len(g.shares.ownUse()), 0)
	})
}

// What other hosts sent counts for an account whose few requests at this host are within its share,
// from the first request on. Names leave the host only as hashes.
func TestUseAtOtherHostsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestShares(FeatureOn, zerolog.Nop())
		others := exchange.AccountUse{exchange.HashID("svc"): {
			{Account: accountID("large"), Demand: 90, Received: 60}, {Account: accountID("small"), Demand: 20, Received: 10},
		}}
		g.shares.setOthers(others)
		now := boottime.Now()
		g.shares.recordDemand("svc", "large", 100*time.Millisecond, now)
		is.True(g.shares.overShare("svc", "large", now))
		is.True(!g.shares.overShare("svc", "small", now))
		is.True(!g.shares.overShare("svc", "unknown", now))
		g.shares.setOthers(exchange.AccountUse{exchange.HashID("another service"): nil}) // leaves the service as it is
		is.True(g.shares.overShare("svc", "large", now.Add(fairshare.RefreshInterval)))
		use := g.shares.ownUse()[exchange.HashID("svc")]
		is.Equal(len(use), 1) // its own use only
		is.Equal(use[0].Account, fairshare.AccountID(exchange.HashID("large")))
	})
}

// Attempts that engines reject as not run mustn't count as engine time that the account received, nor
// as part of what the engines do: accounts under their share were over it.
func TestRejectedAttemptsAreNotReceived(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, testDocument())
	tg.gateway.fleet.shard("svc").contended = true
	attempts := tg.startUpstream("a", respondNotRun)
	for range 5 {
		tg.do(tg.newRequest("POST", "/many/x", "body", "T-Model", "m", "T-Tokens", "1000,10"))
	}
	is.True(attempts.count() > 0)
	use := tg.gateway.shares.ownUse()[exchange.HashID("svc")]
	is.Equal(len(use), 1)
	is.True(use[0].Demand > 1e-3)
	is.True(use[0].Received < 1e-9)
	is.True(tg.gateway.returns.sent["svc"].PerSecond(boottime.Now()) < time.Microsecond)
}

// A request that is sent again after an engine rejected it is met by what was sent: what it requested
// on arrival, by another estimate than on sending, mustn't stay counted as unmet nor be subtracted twice.
func TestRequestIsMetByASecondAttempt(t *testing.T) {
	runHoldTest(t, func(h *holdTest) {
		h.g.settings.Features.AccountShares = FeatureOn
		d, r, a := &dispatch{gateway: h.g}, h.request(time.Second), new(attempt)
		a.choice.placement.PrefillTime = 100 * time.Millisecond
		d.recordArrival(r, startEstimate{work: 60 * time.Millisecond})
		d.recordSent(r, a)()
		for range 2 { // the second one is a further attempt of a request that ran
			d.recordSent(r, a)
		}
		use := h.g.shares.ownUse()[exchange.HashID("svc")]
		h.Equal(len(use), 1)
		h.True(math.Abs(use[0].Demand-use[0].Received) < 1e-9)
	})
}

// Without the queue, use must be recorded for the other hosts all the same, if shares are active; it was
// recorded only for requests that might be held.
func TestUseIsRecordedWithoutTheQueue(t *testing.T) {
	for _, mode := range []FeatureMode{FeatureOn, FeatureAuto} {
		runHoldTest(t, func(h *holdTest) {
			h.g.settings.Features = Features{HoldRequests: FeatureOff, AccountShares: mode}
			h.setWork(6 * time.Second)
			r := h.request(time.Second)
			h.start(h.ctx, r)
			h.Equal(h.results(1), []string{"sent"})
			h.Equal(r.arrived, mode == FeatureOn)
			h.Equal(len(h.g.shares.ownUse()) > 0, mode == FeatureOn)
		})
	}
}

// Many requests at once record their use while the exchange and the metrics read it.
func TestAccountSharesAreUsedConcurrently(t *testing.T) {
	g := newTestShares(FeatureOn, zerolog.Nop())
	done := make(chan struct{})
	for i := range 8 {
		go func() {
			for j := range 200 {
				now := boottime.Now()
				account := fmt.Sprint("account ", j%50)
				g.shares.recordDemand("svc", account, time.Millisecond, now)
				g.shares.overShare("svc", account, now)
				if i == 0 {
					g.shares.setOthers(g.shares.ownUse())
					g.shares.logChanges()
					g.metrics.write(new(bytes.Buffer))
				}
			}
			done <- struct{}{}
		}()
	}
	for range 8 {
		<-done
	}
}
