package exchange

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/fairshare"
)

func accountUse(account fairshare.AccountID, demand, received float64) AccountUse {
	return AccountUse{HashID("svc"): {{Account: account, Demand: demand, Received: received}}}
}

// askForUse sends a report with the use and returns the sums over the other hosts.
func askForUse(t *testing.T, h *hub, host string, use AccountUse) []fairshare.AccountUse {
	t.Helper()
	reply, err := h.handleReport(t.Context(), host, Report{Zone: "z1", WantTimings: true, AccountUse: use})
	if err != nil {
		t.Fatal(err)
	}
	return reply.AccountUse[HashID("svc")]
}

// A host that reports twice counts once. A host's own use isn't in its reply. The use of a host that
// died, or that has no use to report any more, expires.
func TestHubSumsTheUseOfAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub(Options{Zone: "z1"}, zerolog.Nop())
		for range 2 {
			askForUse(t, h, "a", accountUse(1, 4, 2))
			askForUse(t, h, "b", accountUse(1, 10, 5))
		}
		is.Equal(askForUse(t, h, "c", accountUse(2, 1, 1)), []fairshare.AccountUse{{Account: 1, Demand: 14, Received: 7}})
		is.Equal(askForUse(t, h, "a", accountUse(1, 4, 2)), []fairshare.AccountUse{{Account: 1, Demand: 10, Received: 5}, {Account: 2, Demand: 1, Received: 1}})
		reply, err := h.handleReport(t.Context(), "a", Report{Zone: "z1"}) // not asked for
		is.NoErr(err)
		is.Equal(len(reply.AccountUse), 0)

		time.Sleep(MaxWorkAge + time.Millisecond) // the others died
		is.Equal(len(askForUse(t, h, "c", accountUse(2, 1, 1))), 0)
		for range maxReportsWithoutUse { // c goes on without use
			askForUse(t, h, "c", nil)
			time.Sleep(Interval)
		}
		askForUse(t, h, "c", nil)
		is.Equal(len(askForUse(t, h, "a", nil)), 0)
		is.Equal(len(h.accountUse), 0)
	})
}

// A host sends its use in one of exchangesPerTimings exchanges. If each takes several times Interval, the
// use must count until the next one, also if an exchange with use fails. It was missing at times, and
// shares jumped.
func TestUseCountsBetweenSlowExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub(Options{Zone: "z1"}, zerolog.Nop())
		for i := range 8 * exchangesPerTimings {
			switch i % (2 * exchangesPerTimings) {
			case 0:
				askForUse(t, h, "a", accountUse(1, 4, 2))
			case exchangesPerTimings: // fails
			default:
				askForUse(t, h, "a", nil)
			}
			is.New(t).Equal(askForUse(t, h, "b", nil), []fairshare.AccountUse{{Account: 1, Demand: 4, Received: 2}})
			time.Sleep(MaxWorkAge / 2) // one may fail before the host counts as dead
		}
	})
}

// Hubs send each other only the use of their own followers, so that no host counts twice.
func TestHubsAddTheUseOfEachOthersFollowers(t *testing.T) {
	is := is.New(t)
	hubs := make(map[string]*hub)
	for _, name := range []string{"one", "two", "three"} {
		hubs[name] = newHub(Options{Host: name, Zone: name}, zerolog.Nop())
		hubs[name].record("host of "+name, Report{AccountUse: accountUse(1, 3, 2)})
	}
	for range 5 {
		for name, asker := range hubs {
			for other, asked := range hubs {
				if asked == asker {
					continue
				}
				reply, err := asked.handleReport(t.Context(), name, Report{HubQuery: true, WantTimings: true})
				is.NoErr(err)
				asker.recordHubReply(other, reply, reply.Hosts)
			}
		}
	}
	for _, h := range hubs {
		is.Equal(askForUse(t, h, "me", nil), []fairshare.AccountUse{{Account: 1, Demand: 9, Received: 6}})
		report, _ := h.subtreeReport(Report{WantTimings: true}, 0, "hub of h")
		is.Equal(report.AccountUse, accountUse(1, 3, 2)) // to its hub
	}
}

// A host whose hub is lost reports its use to the next one only when no hub counts its former
// report any more.
func TestUseIsNotCountedTwiceAfterAHubIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Options{
			Zone: "z1", Work: func() Work { return nil }, Timings: func() Timings { return nil },
			AccountUse: func() AccountUse { return accountUse(1, 1, 1) },
		}, zerolog.Nop())
		m.switchHub("next")
		until := time.Now().Add(MaxWorkAge + exchangesPerTimings*Interval)
		reported := false
		for range 3 * exchangesPerTimings {
			report := m.nextReport()
			is.True(len(report.AccountUse) == 0 || report.WantTimings && time.Now().After(until))
			is.Equal(len(report.AccountUse) > 0, report.WantTimings && time.Now().After(until))
			reported = reported || len(report.AccountUse) > 0
			time.Sleep(Interval)
		}
		is.True(reported)
	})
}

func TestAccountUseOnTheWire(t *testing.T) {
	is := is.New(t)
	sent := AccountUse{
		1:           {{Account: fairshare.Rest, Demand: 0.5, Received: 0.25}},
		HashID("s"): {{Account: math.MaxUint32, Demand: 1e6, Received: 1e-4}, {Account: 7, Demand: 3.14159, Received: 0}},
	}
	data, err := json.Marshal(Report{AccountUse: sent})
	is.NoErr(err)
	var got Report
	is.NoErr(json.Unmarshal(data, &got))
	for service, list := range sent {
		for i, u := range list {
			g := got.AccountUse[service][i]
			is.Equal(g.Account, u.Account)
			is.True(math.Abs(g.Demand-u.Demand) <= u.Demand/65_536 && math.Abs(g.Received-u.Received) <= u.Received/65_536)
		}
	}
	data, err = json.Marshal(Report{AccountUse: AccountUse{}})
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "account_use")) // costs nothing while the feature isn't used
}

// fleetAccountUse returns the use that each host of a fleet reports: as many accounts as a report
// holds, each with 1.
func fleetAccountUse() AccountUse {
	use := make(AccountUse)
	for i := range fairshare.MaxReported {
		use[HashID("svc")] = append(use[HashID("svc")], fairshare.AccountUse{Account: fairshare.AccountID(1000 + i), Demand: 1, Received: 1})
	}
	return use
}

func (h *fleetHost) setAccountUse(u AccountUse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accountUse = u
}

// otherHostsOfAccounts returns how often the host counts the use of another host; -1 if that differs
// between accounts.
func (h *fleetHost) otherHostsOfAccounts() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.accountUse[HashID("svc")]
	for _, u := range list {
		if len(list) != fairshare.MaxReported || u.Received != list[0].Received {
			return -1
		}
	}
	if len(list) == 0 {
		return -1
	}
	return list[0].Received
}

// Numbers outside the permitted ranges are left out, and a message that is cut off is an error.
func TestWrongAccountUseFromAnotherHost(t *testing.T) {
	is := is.New(t)
	wrong := accountUse(9, 1, 1)
	for _, u := range []fairshare.AccountUse{
		{Account: 1, Demand: math.NaN()}, {Account: 2, Received: -1}, {Account: 3, Demand: math.Inf(1)}, {Account: 4, Demand: math.MaxFloat64},
	} {
		wrong[HashID("svc")] = append(wrong[HashID("svc")], u)
	}
	data, err := json.Marshal(wrong)
	is.NoErr(err)
	var got AccountUse
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got, accountUse(9, 1, 1))
	for _, text := range []string{`"AAAA"`, `"AAAAAAAFAAAA"`, `"?"`, `7`} {
		is.True(json.Unmarshal([]byte(text), &got) != nil)
	}
}

// A report and its reply stay within 1 KB a second with the most accounts, and hold the largest.
func TestSizeOfAccountUse(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Zone: "z1"}, zerolog.Nop())
	size := func(v any) int {
		data, err := json.Marshal(v)
		is.NoErr(err)
		return len(data)
	}
	for host := range 88 {
		use := make(AccountUse)
		for i := range 100 {
			use[HashID("svc")] = append(use[HashID("svc")], fairshare.AccountUse{Account: fairshare.AccountID(1 + i + 50*host), Demand: 1 + float64(i), Received: 1})
		}
		h.record(fmt.Sprint("host-", host), Report{AccountUse: use})
	}
	largest := askForUse(t, h, "host", nil)
	is.Equal(len(largest), fairshare.MaxReported+1)
	is.Equal(largest[0].Demand, 100.0)
	sum := 0.0
	for _, u := range largest {
		sum += u.Received
	}
	is.Equal(sum, 8800.0) // what isn't listed is in the rest
	reply := Reply{AccountUse: h.otherAccountUse("host", toHost)}
	bytes := 2 * (size(reply) - size(Reply{}))
	perSecond := float64(bytes) / (exchangesPerTimings * Interval).Seconds()
	t.Logf("%.0f bytes a second", perSecond)
	is.True(perSecond <= 1000)
}
