package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/membership"
	"github.com/quetzalweir/quetzalweir/notice"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// factLeaving is the key prefix, before an upstream's ID, of the membership fact that
// the upstream is leaving.
const factLeaving = "leaving/"

// loadTimeout is the timeout of one request for an upstream's load report.
const loadTimeout = 2 * time.Second

// maxLoadPolls is the maximum number of requests for load reports that run
// concurrently.
const maxLoadPolls = 64

// upstreamDirectory holds the upstreams in the last host list from the platform.
type upstreamDirectory struct {
	upstreams atomic.Pointer[[]storage.Host]
}

// set stores the engines and services of a host list.
func (d *upstreamDirectory) set(hosts []storage.Host) {
	list := make([]storage.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Kind != storage.KindEntry {
			list = append(list, host)
		}
	}
	d.upstreams.Store(&list)
}

// list returns the engines and services. The slice is shared and must not be
// modified.
func (d *upstreamDirectory) list() []storage.Host {
	list := d.upstreams.Load()
	if list == nil {
		return nil
	}
	return *list
}

// checksFencing reports whether the upstream refuses orders with outdated fencing
// numbers.
func (d *upstreamDirectory) checksFencing(id string) bool {
	for _, host := range d.list() {
		if host.ID == id {
			return host.ChecksFencing
		}
	}
	return false
}

// pollHosts updates the pool from the platform's host list. If the list can't be
// read, the last list that was read stays in use. The load of new upstreams is
// requested at once.
func (h *Host) pollHosts(ctx context.Context) error {
	return runPeriodically(ctx, h.settings.PollHosts, func() {
		hosts, err := h.platform.Hosts.Hosts(ctx)
		if err != nil {
			h.log.Warn().Str("event", "host-list").Err(err).Msg("")
			return
		}
		h.upstreams.set(hosts)
		h.pool.Update(hosts)
		h.fetchLoads(ctx, upstreamsWithoutReport(h.pool.View()))
		h.updateFleetSize()
		// A list without upstreams doesn't make the host ready, since no request could
		// be served with it.
		if len(h.upstreams.list()) > 0 {
			h.upstreamsLoaded.Store(true)
		}
	})
}

// upstreamsWithoutReport returns the upstreams that haven't reported their load yet.
func upstreamsWithoutReport(list []*balance.Upstream) []*balance.Upstream {
	return slices.DeleteFunc(list, func(u *balance.Upstream) bool { return !u.ReportedAt.IsZero() })
}

// pollLoad requests the load of the upstreams that this host sends to, except those that back off.
func (h *Host) pollLoad(ctx context.Context) error {
	return runPeriodically(ctx, h.settings.PollLoad, func() {
		now := time.Now()
		h.fetchLoads(ctx, slices.DeleteFunc(h.pool.View(), func(u *balance.Upstream) bool { return u.Backoff.Active(now) }))
		h.updateFleetSize()
	})
}

// updateFleetSize passes the reachable upstreams and the numbers of upstreams and entry
// hosts to the components that use them.
func (h *Host) updateFleetSize() {
	hosts := h.countHostsUp()
	h.pool.SetHosts(hosts)
	h.queues.setFleet(h.pool.View(), len(h.upstreams.list()), hosts)
	h.ledger.SetFlushInterval(ledger.FlushIntervalFor(hosts))
}

// countHostsUp returns the number of entry hosts that are up.
func (h *Host) countHostsUp() int {
	n := 0
	for _, m := range h.members.Members() {
		if m.State == membership.Up {
			n++
		}
	}
	return n
}

// fetchLoads requests the load of the upstreams in list and waits for all responses.
func (h *Host) fetchLoads(ctx context.Context, list []*balance.Upstream) {
	var group errgroup.Group
	group.SetLimit(maxLoadPolls)
	for _, u := range list {
		group.Go(func() error {
			h.fetchLoad(ctx, upstream.Target{ID: u.ID, Address: u.Address})
			return nil
		})
	}
	_ = group.Wait()
}

func (h *Host) fetchLoad(ctx context.Context, target upstream.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	requestedAt := time.Now()
	load, err := h.engine.Load(ctx, target)
	if err != nil {
		h.log.Debug().Str("event", "load").Str("upstream", target.ID).Err(err).Msg("")
		return
	}
	// setUpstreamLeaving must precede Report, which also takes the upstream out of
	// service. After Report, SetLeaving would find no change, and the other hosts
	// wouldn't be informed.
	if load.Leaving {
		h.setUpstreamLeaving(target.ID)
	}
	h.pool.Report(target.ID, load, requestedAt)
}

// observeNotice applies what an upstream stated in the head of an answer.
func (h *Host) observeNotice(target upstream.Target, n notice.Notice) {
	if len(n.Unreadable) > 0 {
		h.log.Warn().Str("event", "notice-unreadable").Str("upstream", target.ID).Strs("headers", n.Unreadable).Msg("")
	}
	if n.Leaving {
		h.setUpstreamLeaving(target.ID)
	}
	if n.Backoff > 0 && !h.pool.SetBackoff(target.ID, n.Backoff) {
		h.log.Warn().Str("event", "upstream-backoff").Str("upstream", target.ID).Int64("for_ms", n.Backoff.Milliseconds()).Msg("")
	}
}

// maySend reports whether a new request may still be sent to the target.
func (h *Host) maySend(target upstream.Target) bool { return h.pool.MaySend(target.ID) }

// setUpstreamLeaving takes an upstream out of service and informs the other hosts,
// since the platform's host list contains the change only later.
func (h *Host) setUpstreamLeaving(id string) {
	version := uint64(time.Now().UnixMilli())
	if !h.pool.SetLeaving(id, version) {
		return
	}
	h.log.Info().Str("event", "upstream-leaving").Str("upstream", id).Msg("")
	h.members.Put(membership.Fact{Key: factLeaving + id, Version: version, TTL: balance.DefaultAbsentFor})
}

// applyLeavingFact takes an upstream out of service after another host reported that the
// upstream is leaving.
func (h *Host) applyLeavingFact(f membership.Fact) {
	if f.Expired() {
		return
	}
	id := strings.TrimPrefix(f.Key, factLeaving)
	if h.pool.SetLeaving(id, f.Version) {
		h.log.Info().Str("event", "upstream-leaving").Str("upstream", id).Bool("told", true).Msg("")
	}
}

// runPeriodically calls f at once and then at the interval until ctx ends. A random
// jitter makes each pause between two calls up to a tenth of the interval shorter or
// longer, so that the hosts don't call f at the same time.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) error {
	const jitterDivisor = 5
	for {
		f()
		pause := interval - interval/(2*jitterDivisor) + rand.N(interval/jitterDivisor+1)
		if err := wait.For(ctx, pause); err != nil {
			return err
		}
	}
}
