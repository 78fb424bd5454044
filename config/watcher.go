package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// Defaults of WatcherOptions and what follows from them.
const (
	DefaultPoll              = time.Second
	DefaultBound             = 5 * time.Second
	DefaultReadsPerSecond    = 200
	DefaultConfirmsPerSecond = 40

	// pollsPerBound is how many reads start within the bound at least, so
	// that one lost answer doesn't stop the host.
	pollsPerBound = 2
	// asksPerBound is how many questions to the peers fit within the bound at
	// least.
	asksPerBound = 3
	// viewsPerSecond is the budget of answers of peers that one host asks for.
	viewsPerSecond = 20
	// loadsPerBound is how many sources of a body are tried within the bound, while
	// its size is unknown.
	loadsPerBound = 4
	// maxLoadBounds is the most that a source is given, in bounds: 50 s with the
	// default, in which a link of 2 Mbit/s carries 12 MB.
	maxLoadBounds = 10
	// confirmRefresh is when a host writes its confirmation again though
	// nothing changed.
	confirmRefresh = time.Hour
	// jitter is the part by which an interval varies to either side.
	jitter = 0.2
)

// Peers asks the other hosts what they have in force.
type Peers interface {
	// Known is the number of hosts that take part, this one included. Hosts
	// that can't be reached count; only those that have left for good don't.
	Known() int
	// Ask returns the answers of the hosts that could be reached before the
	// context's end.
	Ask(ctx context.Context) []PeerView
}

// Bodies fetches the canonical body of a manifest from another host. What it
// returns is verified against the digest.
type Bodies interface {
	FetchBody(ctx context.Context, digest string) ([]byte, error)
}

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Store is required.
	Store *Store
	// Host is the name under which the host confirms; it writes no
	// confirmations without one.
	Host string
	// Peers are the other hosts; without them only the table gives evidence.
	Peers Peers
	// Bodies is a second source of bodies; it may be nil.
	Bodies Bodies
	// Poll is the interval between reads of the head; default 1 s. It is
	// lengthened where ReadsPerSecond asks for it.
	Poll time.Duration
	// Bound is how old the evidence for the manifest may be; default 5 s.
	Bound time.Duration
	// ReadsPerSecond is the budget of reads of the head over all hosts,
	// default 200. At least two reads fall within Bound all the same.
	ReadsPerSecond int
	// ConfirmsPerSecond is the budget of confirmations over all hosts,
	// default 40. A host that changes more often skips epochs.
	ConfirmsPerSecond int
	// OnChange is called after each change of the manifest in force, in order.
	OnChange func(*manifest.Policy)
	// OnError is called with errors that a later attempt may mend, from several
	// goroutines at once.
	OnError func(error)
}

func (o WatcherOptions) withDefaults() WatcherOptions {
	defaults.Positive(&o.Poll, DefaultPoll)
	defaults.Positive(&o.Bound, DefaultBound)
	defaults.Positive(&o.ReadsPerSecond, DefaultReadsPerSecond)
	defaults.Positive(&o.ConfirmsPerSecond, DefaultConfirmsPerSecond)
	if o.OnChange == nil {
		o.OnChange = func(*manifest.Policy) {}
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// Watcher keeps the newest manifest in force on one host. It is safe for
// concurrent use.
type Watcher struct {
	options WatcherOptions

	// mu orders the changes of view; readers take none.
	mu   sync.Mutex
	view atomic.Pointer[view]

	// wake tells the loader of a newer head.
	wake chan struct{}
	// reads bounds the reads of the table under way.
	reads chan struct{}
}

// NewWatcher returns a Watcher that has nothing in force; Run starts it.
func NewWatcher(options WatcherOptions) *Watcher {
	o := options.withDefaults()
	w := &Watcher{
		options: o,
		wake:    make(chan struct{}, 1),
		reads:   make(chan struct{}, int(o.Bound/o.Poll)+1),
	}
	w.view.Store(&view{})
	return w
}

// Run watches until the context's end and returns its error.
func (w *Watcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { w.pollTable(ctx) })
	loops.Go(func() { w.pollPeers(ctx) })
	loops.Go(func() { w.loadNewest(ctx) })
	loops.Go(func() { w.confirm(ctx) })
	loops.Wait()
	return ctx.Err()
}

// Current returns the manifest in force, nil before the first. Its epoch only
// rises.
func (w *Watcher) Current() *manifest.Policy { return w.view.Load().policy }

// Check returns nil while the host may take new work. Else it returns
// ErrNoManifest or a *StaleError. It is meant to be called for each request,
// as late as can be before the request is sent.
func (w *Watcher) Check() error {
	return w.view.Load().check(boottime.Now(), w.options.Bound)
}

// Offer tells of an accepted head that was heard of from another host. Old
// news is ignored.
func (w *Watcher) Offer(head Head) {
	w.change(func(v view) (view, error) { return v.withHead(head) })
}

// View is what this host answers to others.
func (w *Watcher) View(host string) PeerView {
	v := w.view.Load()
	answer := PeerView{Host: host, Newest: v.newest.Epoch}
	if v.policy != nil {
		answer.Epoch = v.policy.Epoch
		answer.Digest = v.policy.Digest
	}
	if !v.word.IsZero() {
		answer.HasWord = true
		answer.WordAge = boottime.Since(v.word)
	}
	return answer
}

// Body returns the canonical body of the manifest in force if it has the
// digest, for hosts that can't reach the object store.
func (w *Watcher) Body(digest string) ([]byte, bool) {
	p := w.Current()
	if p == nil || p.Digest != digest {
		return nil, false
	}
	return manifest.Encode(p.Document), true
}

// change replaces the view and wakes the loader if there is a newer head. An
// error of f is told; the view that came with it counts.
func (w *Watcher) change(f func(view) (view, error)) {
	err := w.replace(f)
	if err != nil {
		w.options.OnError(err)
	}
	v := w.view.Load()
	if v.newest.Epoch <= v.epoch() {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Watcher) replace(f func(view) (view, error)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := f(*w.view.Load())
	w.view.Store(&next)
	return err
}

// interval is the time between two events of a host where all known hosts
// together have a budget of events per second.
func interval(known, perSecond int, low, high time.Duration) time.Duration {
	shared := time.Duration(known) * time.Second / time.Duration(perSecond)
	return min(max(shared, low), high)
}

func (w *Watcher) known() int {
	if w.options.Peers == nil {
		return 1
	}
	return max(1, w.options.Peers.Known())
}

// sleep waits for about d; it returns false at the context's end.
func sleep(ctx context.Context, d time.Duration) bool {
	spread := 1 - jitter + 2*jitter*rand.Float64()
	return wait.For(ctx, time.Duration(float64(d)*spread)) == nil
}
