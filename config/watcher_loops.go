package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// pollTable starts reads of the head at intervals. Reads overlap if the table is slow:
// a response that arrives just within the freshness bound is still useful evidence, and
// the next read shouldn't wait for that response.
func (w *Watcher) pollTable(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for {
		select {
		case w.readSlots <- struct{}{}:
			reads.Go(func() {
				defer func() { <-w.readSlots }()
				w.readHead(ctx)
			})
		default: // all slots are in use by slow reads
		}
		o := w.options
		if !sleepJittered(ctx, sharedInterval(w.hostCount(), o.ReadsPerSecond, o.PollInterval, o.FreshnessBound/readsPerFreshnessBound)) {
			return
		}
	}
}

func (w *Watcher) readHead(ctx context.Context) {
	start := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, w.options.FreshnessBound)
	defer cancel()
	head, err := w.options.Store.Head(ctx)
	if err != nil {
		w.options.OnError(err)
		return
	}
	w.update(func(v view) (view, error) { return v.withOwnTableRead(head, start) })
}

// pollPeers queries the other hosts at intervals, while this host has no manifest in force
// or its newest table read is older than half the freshness bound. A table read that
// returns the head of a newer manifest doesn't count until that manifest is loaded.
// Therefore a host that can't load the newer manifest also queries the other hosts.
func (w *Watcher) pollPeers(ctx context.Context) {
	if w.options.Peers == nil {
		return
	}
	for {
		if w.shouldQueryPeers() {
			w.queryPeers(ctx)
		}
		o := w.options
		if !sleepJittered(ctx, sharedInterval(w.hostCount(), peerViewsPerSecond, o.PollInterval, o.FreshnessBound/peerPollsPerFreshnessBound)) {
			return
		}
	}
}

func (w *Watcher) shouldQueryPeers() bool {
	v := w.view.Load()
	return v.policy == nil || boottime.Since(v.tableReadAt) > w.options.FreshnessBound/2
}

func (w *Watcher) queryPeers(ctx context.Context) {
	start := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, w.options.PollInterval)
	defer cancel()
	peers := w.withoutSelf(w.options.Peers.QueryViews(ctx))
	for _, p := range peers {
		w.applyPeerView(p, start)
	}
	hostCount := w.options.Peers.HostCount()
	w.update(func(v view) (view, error) { return v.withQuorum(hostCount, peers, start), nil })
}

// withoutSelf returns the views of other hosts, since this host's own view is no evidence.
// It sets negative ages to zero, so that no evidence is newer than the query.
func (w *Watcher) withoutSelf(views []PeerView) []PeerView {
	var others []PeerView
	for _, p := range views {
		if p.Host == "" || p.Host == w.options.Host {
			continue
		}
		p.Age = max(0, p.Age)
		p.TableReadAge = max(0, p.TableReadAge)
		others = append(others, p)
	}
	return others
}

// applyPeerView updates the view with a peer's report from the query that began at start.
// The peer made the report p.Age before start, and started its table read p.TableReadAge
// before it made the report.
func (w *Watcher) applyPeerView(p PeerView, start time.Time) {
	if !p.HasTableRead {
		w.ObserveHead(p.head())
		return
	}
	at := start.Add(-p.Age).Add(-p.TableReadAge)
	w.update(func(v view) (view, error) { return v.withTableRead(p.head(), at) })
}

// withQuorum returns the view after the responses to a peer query that began at start.
func (v view) withQuorum(hostCount int, peers []PeerView, start time.Time) view {
	if v.policy == nil || v.newest.Epoch > v.policy.Epoch {
		return v
	}
	age, ok := quorumAge(v.policy.Epoch, v.policy.Digest, hostCount, peers)
	if ok {
		v.quorumQueriedAt = latest(v.quorumQueriedAt, start.Add(-age))
	}
	return v
}

// runLoader loads the newest known manifest and puts it in force, until the context
// ends.
func (w *Watcher) runLoader(ctx context.Context) {
	retry := time.NewTimer(w.options.PollInterval)
	defer retry.Stop()
	timeout := loadTimeout{bound: w.options.FreshnessBound}
	for {
		v := w.view.Load()
		if v.newest.Epoch > v.epoch() {
			w.load(ctx, v.newest, &timeout)
		}
		retry.Reset(w.options.PollInterval)
		select {
		case <-w.newHead:
		case <-retry.C:
		case <-ctx.Done():
			return
		}
	}
}

// loadTimeout is the timeout of a load of a manifest from one source. With a fixed timeout,
// a body that takes longer to transfer would be cut off at the same byte in each attempt.
// The host could then never put a newer manifest in force, and would never accept requests
// again. So a load that times out doubles the timeout. The timeout is kept when the digest
// to load changes, since manifests may change faster than one of them can be loaded.
type loadTimeout struct {
	bound time.Duration
	// current is the timeout that the last load set; 0 before the first load.
	current time.Duration
}

// next returns the timeout of the next attempt.
func (l *loadTimeout) next() time.Duration { return max(l.current, l.bound/loadsPerFreshnessBound) }

// set sets the timeout, limited to maxLoadTimeoutInFreshnessBounds times the freshness
// bound.
func (l *loadTimeout) set(timeout time.Duration) {
	l.current = min(timeout, maxLoadTimeoutInFreshnessBounds*l.bound)
}

// load calls fetch, which loads a manifest from one source, with the timeout. A successful
// load sets the timeout to twice its own duration, even if another source took longer before.
func (l *loadTimeout) load(ctx context.Context, fetch func(context.Context) (*manifest.Policy, error)) (*manifest.Policy, error) {
	ctx, cancel := context.WithTimeout(ctx, l.next())
	defer cancel()
	start := boottime.Now()
	policy, err := fetch(ctx)
	if err == nil {
		l.set(2 * boottime.Since(start))
	}
	return policy, err
}

func (w *Watcher) load(ctx context.Context, head Head, timeout *loadTimeout) {
	policy, err := w.fetch(ctx, head, timeout)
	if errors.Is(err, context.DeadlineExceeded) {
		timeout.set(2 * timeout.next())
	}
	if err != nil {
		w.options.OnError(err)
		return
	}
	before := w.Current()
	w.update(func(v view) (view, error) { return v.withPolicy(policy, boottime.Now()), nil })
	if w.Current() != before {
		w.options.OnChange(policy)
	}
}

// fetch loads the manifest from the object store or, if that fails, from a peer, each
// with the timeout.
func (w *Watcher) fetch(ctx context.Context, head Head, timeout *loadTimeout) (*manifest.Policy, error) {
	policy, err := timeout.load(ctx, func(ctx context.Context) (*manifest.Policy, error) {
		return w.options.Store.LoadFrom(ctx, head, w.Current())
	})
	if err == nil || w.options.Bodies == nil {
		return policy, err
	}
	policy, peerErr := timeout.load(ctx, func(ctx context.Context) (*manifest.Policy, error) {
		return w.fetchFromPeer(ctx, head)
	})
	if peerErr != nil {
		return nil, errors.Join(err, peerErr)
	}
	return policy, nil
}

func (w *Watcher) fetchFromPeer(ctx context.Context, head Head) (*manifest.Policy, error) {
	body, err := w.options.Bodies.FetchBody(ctx, head.Digest)
	if err != nil {
		return nil, fmt.Errorf("config: fetch body of epoch %d from a peer: %w", head.Epoch, err)
	}
	return verifyAndCompile(body, head)
}

// runConfirmer writes this host's confirmation when the manifest in force has changed, as
// often as the budget allows, and at least every confirmInterval. An epoch that was
// replaced in the meantime is skipped, since the confirmation of a later epoch also
// confirms the earlier ones.
func (w *Watcher) runConfirmer(ctx context.Context) {
	if w.options.Host == "" {
		return
	}
	var confirmedEpoch uint64
	var confirmedAt time.Time
	for {
		p := w.Current()
		if p != nil && (p.Epoch > confirmedEpoch || boottime.Since(confirmedAt) > confirmInterval) {
			err := w.options.Store.Confirm(ctx, w.options.Host, Head{Epoch: p.Epoch, Digest: p.Digest})
			if err == nil {
				confirmedEpoch, confirmedAt = p.Epoch, boottime.Now()
			} else {
				w.options.OnError(err)
			}
		}
		o := w.options
		if !sleepJittered(ctx, sharedInterval(w.hostCount(), o.ConfirmsPerSecond, o.PollInterval/readsPerFreshnessBound, confirmInterval)) {
			return
		}
	}
}
