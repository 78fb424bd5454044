package gateway

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/fairshare"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// shareLogInterval is the time between two checks of which accounts are over their share. It is the
// minimum time between two log lines about one account.
const shareLogInterval = time.Second

// accountShares determines which client accounts use more than their share of the engine time of a
// service. The zero value records nothing, and no account is over its share.
type accountShares struct {
	// isActive reports whether shares are in use for the service; nil before configure.
	isActive func(service string) bool
	log      zerolog.Logger
	metrics  *metrics.Set

	mu       sync.RWMutex
	services map[string]*serviceShares
	// others is the use of all services at the other hosts as of othersAt, for services that this
	// host gets its first request for.
	others   exchange.AccountUse
	othersAt time.Time
}

// serviceShares divides the engine time of one service.
type serviceShares struct {
	mu     sync.Mutex
	ledger *fairshare.Ledger
	// names holds the names of the accounts that the ledger counts one by one, and of those that
	// were logged as over their share. Of two accounts with the same hash it has the first one.
	names map[fairshare.AccountID]string
	// loggedOver holds the accounts that were last logged as over their share.
	loggedOver map[fairshare.AccountID]bool
}

// configure sets the gateway's settings.
func (a *accountShares) configure(g *Gateway) {
	a.isActive = func(service string) bool { return g.fleet.isActive(g.settings.Features.AccountShares, service) }
	a.log, a.metrics = g.log, g.metrics.set
}

// recordDemand counts the engine time that a request of the account needs, when it arrives. The
// caller of this method and of the next ones doesn't hold a shard's lock.
func (a *accountShares) recordDemand(service, account string, work time.Duration, now time.Time) {
	a.withLedger(service, func(s *serviceShares) {
		id := accountID(account)
		s.ledger.RecordDemand(id, work, now)
		s.rememberName(id, account)
	})
}

// recordSent counts the engine time of a request of the account that was sent to an engine.
func (a *accountShares) recordSent(service, account string, demand, work time.Duration, now time.Time) {
	a.withLedger(service, func(s *serviceShares) {
		id := accountID(account)
		s.ledger.RecordSent(id, demand, work, now)
		s.rememberName(id, account)
	})
}

// recordNotRun takes back the engine time of a request that was sent at the time sentAt and didn't run.
func (a *accountShares) recordNotRun(service, account string, demand, work time.Duration, sentAt, now time.Time) {
	a.withLedger(service, func(s *serviceShares) { s.ledger.RecordNotRun(accountID(account), demand, work, sentAt, now) })
}

// overShare reports whether the account uses more than its share of the service's engine time.
func (a *accountShares) overShare(service, account string, now time.Time) (over bool) {
	a.withLedger(service, func(s *serviceShares) { over = s.ledger.OverShare(accountID(account), now) })
	return over
}

// accountID returns the hash by which an account is counted. Two accounts with the same hash share
// one record and have one share together.
func accountID(account string) fairshare.AccountID {
	return fairshare.AccountID(exchange.HashID(account))
}

// withLedger calls do with the shares of the service, whose lock is held. It doesn't call do if the
// feature isn't active for the service.
func (a *accountShares) withLedger(service string, do func(s *serviceShares)) {
	if a.isActive == nil || !a.isActive(service) {
		return
	}
	a.mu.RLock()
	s := a.services[service]
	a.mu.RUnlock()
	if s == nil {
		s = a.addService(service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s)
}

func (a *accountShares) addService(service string) *serviceShares {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[service]; s != nil {
		return s
	}
	s := &serviceShares{ledger: fairshare.NewLedger(), names: make(map[fairshare.AccountID]string), loggedOver: make(map[fairshare.AccountID]bool)}
	if a.services == nil {
		a.services = make(map[string]*serviceShares)
	}
	s.ledger.SetOthers(a.others[exchange.HashID(service)], a.othersAt)
	a.services[service] = s
	a.registerGauges(service, s)
	return s
}

func (s *serviceShares) rememberName(id fairshare.AccountID, account string) {
	if _, ok := s.names[id]; !ok && s.ledger.Counts(id) {
		s.names[id] = account
	}
}

// registerGauges adds gauges for the accounts of a service.
func (a *accountShares) registerGauges(service string, s *serviceShares) {
	gauge := func(name string, value func(fairshare.Stats) float64) {
		a.metrics.GetOrCreateGauge(fmt.Sprintf(`quetzalweir_gateway_%s{service=%q}`, name, service), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value(s.ledger.Stats(boottime.Now()))
		})
	}
	gauge("accounts_over_share", func(st fairshare.Stats) float64 { return float64(st.OverShare) })
	gauge("accounts_counted", func(st fairshare.Stats) float64 { return float64(st.Accounts) })
	gauge("largest_account_part", func(st fairshare.Stats) float64 { return st.LargestPart })
	gauge("accounts_received_seconds", func(st fairshare.Stats) float64 { return st.Received })
}

// ownUse returns the use of engine time at this host, for the report to the hub.
func (a *accountShares) ownUse() exchange.AccountUse {
	use := make(exchange.AccountUse)
	a.eachService(func(service string, s *serviceShares) {
		if list := s.ledger.Report(boottime.Now()); len(list) > 0 {
			use[exchange.HashID(service)] = list
		}
	})
	return use
}

// setOthers stores the use of engine time at the other hosts. The map must not be modified
// afterwards.
func (a *accountShares) setOthers(use exchange.AccountUse) {
	now := boottime.Now()
	a.mu.Lock()
	a.others, a.othersAt = use, now
	a.mu.Unlock()
	a.eachService(func(service string, s *serviceShares) {
		if list, ok := use[exchange.HashID(service)]; ok {
			s.ledger.SetOthers(list, now)
		}
	})
}

func (a *accountShares) eachService(do func(service string, s *serviceShares)) {
	a.mu.RLock()
	services := maps.Clone(a.services)
	a.mu.RUnlock()
	for service, s := range services {
		s.mu.Lock()
		do(service, s)
		s.mu.Unlock()
	}
}

// logChanges logs the accounts that are over their share and weren't when it was last called, and
// those that aren't any more. It only logs accounts that had requests at this host lately.
func (a *accountShares) logChanges() {
	now := boottime.Now()
	a.eachService(func(service string, s *serviceShares) {
		over := s.ledger.Over(now)
		for id, standing := range over {
			if account, ok := s.names[id]; ok && !s.loggedOver[id] {
				s.loggedOver[id] = true
				a.log.Warn().Str("event", "account-over-share").Str("service", service).Str("account", account).
					Float64("received", rounded(standing.Received)).Float64("demand", rounded(standing.Demand)).Float64("share", rounded(standing.Share)).
					Float64("all", rounded(s.ledger.Stats(now).Received)).Msg("")
			}
		}
		for id := range s.loggedOver {
			if _, ok := over[id]; !ok {
				delete(s.loggedOver, id)
				a.log.Info().Str("event", "account-within-share").Str("service", service).Str("account", s.names[id]).Msg("")
			}
		}
		maps.DeleteFunc(s.names, func(id fairshare.AccountID, _ string) bool { return !s.ledger.Counts(id) && !s.loggedOver[id] })
	})
}

// rounded returns engine seconds a second with two decimals, for log lines.
func rounded(rate float64) float64 { return float64(int64(rate*100+0.5)) / 100 }
