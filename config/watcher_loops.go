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

// pollTable starts reads of the head at intervals. Reads overlap where the
// table is slow: an answer that takes most of the bound is still of use, and
// the next should not start only after it.
func (w *Watcher) pollTable(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for {
		select {
		case w.reads <- struct{}{}:
			reads.Go(func() {
				defer func() { <-w.reads }()
				w.readHead(ctx)
			})
		default: // all reads under way are slow
		}
		o := w.options
		if !sleep(ctx, interval(w.known(), o.ReadsPerSecond, o.Poll, o.Bound/pollsPerBound)) {
			return
		}
	}
}

func (w *Watcher) readHead(ctx context.Context) {
	start := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, w.options.Bound)
	defer cancel()
	head, err := w.options.Store.Head(ctx)
	if err != nil {
		w.options.OnError(err)
		return
	}
	w.change(func(v view) (view, error) { return v.withOwnRead(head, start) })
}

// pollPeers asks the other hosts while the word from the table runs out or a
// newer manifest is missing.
func (w *Watcher) pollPeers(ctx context.Context) {
	if w.options.Peers == nil {
		return
	}
	for {
		if w.needsPeers() {
			w.askPeers(ctx)
		}
		o := w.options
		if !sleep(ctx, interval(w.known(), viewsPerSecond, o.Poll, o.Bound/asksPerBound)) {
			return
		}
	}
}

func (w *Watcher) needsPeers() bool {
	v := w.view.Load()
	return v.policy == nil || boottime.Since(v.word) > w.options.Bound/2
}

func (w *Watcher) askPeers(ctx context.Context) {
	start := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, w.options.Poll)
	defer cancel()
	peers := w.others(w.options.Peers.Ask(ctx))
	for _, p := range peers {
		w.hearPeer(p, start)
	}
	known := w.options.Peers.Known()
	w.change(func(v view) (view, error) { return v.withQuorum(known, peers, start), nil })
}

// others leaves out this host's own view, which is no evidence, and takes
// negative ages as zero, so that no evidence is younger than the question.
func (w *Watcher) others(views []PeerView) []PeerView {
	var others []PeerView
	for _, p := range views {
		if p.Host == "" || p.Host == w.options.Host {
			continue
		}
		p.Age = max(0, p.Age)
		p.WordAge = max(0, p.WordAge)
		others = append(others, p)
	}
	return others
}

// hearPeer takes a peer's word with its age: it was given after the start of
// the question, less the age of the view.
func (w *Watcher) hearPeer(p PeerView, start time.Time) {
	if !p.HasWord {
		w.Offer(p.head())
		return
	}
	at := start.Add(-p.Age).Add(-p.WordAge)
	w.change(func(v view) (view, error) { return v.withWord(p.head(), at) })
}

// withQuorum returns the view after the answers to a question.
func (v view) withQuorum(known int, peers []PeerView, start time.Time) view {
	if v.policy == nil || v.newest.Epoch > v.policy.Epoch {
		return v
	}
	age, ok := quorumAge(v.policy.Epoch, v.policy.Digest, known, peers)
	if ok {
		v.quorum = later(v.quorum, start.Add(-age))
	}
	return v
}

// loadNewest puts newer manifests in force as they are heard of.
func (w *Watcher) loadNewest(ctx context.Context) {
	retry := time.NewTimer(w.options.Poll)
	defer retry.Stop()
	limit := loadLimit{bound: w.options.Bound}
	for {
		v := w.view.Load()
		if v.newest.Epoch > v.epoch() {
			w.load(ctx, v.newest, &limit)
		}
		retry.Reset(w.options.Poll)
		select {
		case <-w.wake:
		case <-retry.C:
		case <-ctx.Done():
			return
		}
	}
}

// loadLimit is how long each source of a body is given. A body that needs longer than
// that to arrive would be cut at the same byte at each try, and the host would take no
// work for good; so a load that runs out of time doubles it. It goes by the last body's
// time, not by its digest: manifests may change faster than one of them arrives.
type loadLimit struct {
	bound time.Duration
	// current is 0 before the first load.
	current time.Duration
}

// next is the limit of the next try.
func (l *loadLimit) next() time.Duration { return max(l.current, l.bound/loadsPerBound) }

// set sets the limit, up to maxLoadBounds.
func (l *loadLimit) set(limit time.Duration) { l.current = min(limit, maxLoadBounds*l.bound) }

// try loads from one source within the limit. A body that came leaves twice its own
// time to the next, whatever another source took before.
func (l *loadLimit) try(ctx context.Context, load func(context.Context) (*manifest.Policy, error)) (*manifest.Policy, error) {
	ctx, cancel := context.WithTimeout(ctx, l.next())
	defer cancel()
	start := boottime.Now()
	policy, err := load(ctx)
	if err == nil {
		l.set(2 * boottime.Since(start))
	}
	return policy, err
}

func (w *Watcher) load(ctx context.Context, head Head, limit *loadLimit) {
	policy, err := w.fetch(ctx, head, limit)
	if errors.Is(err, context.DeadlineExceeded) {
		limit.set(2 * limit.next())
	}
	if err != nil {
		w.options.OnError(err)
		return
	}
	before := w.Current()
	w.change(func(v view) (view, error) { return v.withPolicy(policy, boottime.Now()), nil })
	if w.Current() != before {
		w.options.OnChange(policy)
	}
}

// fetch takes the body from the object store, or else from a peer, each within the
// limit.
func (w *Watcher) fetch(ctx context.Context, head Head, limit *loadLimit) (*manifest.Policy, error) {
	policy, err := limit.try(ctx, func(ctx context.Context) (*manifest.Policy, error) {
		return w.options.Store.LoadFrom(ctx, head, w.Current())
	})
	if err == nil || w.options.Bodies == nil {
		return policy, err
	}
	policy, peerErr := limit.try(ctx, func(ctx context.Context) (*manifest.Policy, error) {
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
	return compile(body, head)
}

// confirm writes what is in force, at most as often as the budget allows. An
// epoch that was replaced meanwhile is skipped: the later one confirms it too.
func (w *Watcher) confirm(ctx context.Context) {
	if w.options.Host == "" {
		return
	}
	var written uint64
	var writtenAt time.Time
	for {
		p := w.Current()
		if p != nil && (p.Epoch > written || boottime.Since(writtenAt) > confirmRefresh) {
			err := w.options.Store.Confirm(ctx, w.options.Host, Head{Epoch: p.Epoch, Digest: p.Digest})
			if err == nil {
				written, writtenAt = p.Epoch, boottime.Now()
			} else {
				w.options.OnError(err)
			}
		}
		o := w.options
		if !sleep(ctx, interval(w.known(), o.ConfirmsPerSecond, o.Poll/pollsPerBound, confirmRefresh)) {
			return
		}
	}
}
