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

// Defaults of WatcherOptions, and constants of the Watcher's intervals and timeouts.
const (
	DefaultPollInterval      = time.Second
	DefaultFreshnessBound    = 5 * time.Second
	DefaultReadsPerSecond    = 200
	DefaultConfirmsPerSecond = 40

	// readsPerFreshnessBound is the minimum number of table reads that a host starts
	// within FreshnessBound, so that it keeps accepting requests if one response is lost.
	readsPerFreshnessBound = 2
	// peerPollsPerFreshnessBound is the minimum number of peer queries that a host
	// starts within FreshnessBound.
	peerPollsPerFreshnessBound = 3
	// peerViewsPerSecond is the maximum number of peer reports that one host requests
	// per second, unless that conflicts with peerPollsPerFreshnessBound.
	peerViewsPerSecond = 20
	// loadsPerFreshnessBound is the number of loads that fit within FreshnessBound with
	// the minimum timeout of a load, which is also the timeout of the first load.
	loadsPerFreshnessBound = 4
	// maxLoadTimeoutInFreshnessBounds is the maximum timeout of a load from one source,
	// as a multiple of FreshnessBound. With the default bound it is 50 s, in which a
	// link of 2 Mbit/s transfers 12 MB.
	maxLoadTimeoutInFreshnessBounds = 10
	// confirmInterval is the interval at which a host rewrites an unchanged
	// confirmation.
	confirmInterval = time.Hour
	// jitter is the fraction by which an interval varies in either direction.
	jitter = 0.2
)

// Peers queries the other hosts for their manifests in force.
type Peers interface {
	// HostCount returns the number of member hosts, this one included. Unreachable
	// hosts count; only hosts that have left permanently don't.
	HostCount() int
	// QueryViews returns the reports of the hosts that responded before the context
	// ended.
	QueryViews(ctx context.Context) []PeerView
}

// Bodies fetches the canonical body of a manifest from another host. The Watcher
// checks that the body has the digest.
type Bodies interface {
	FetchBody(ctx context.Context, digest string) ([]byte, error)
}

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Store is required.
	Store *Store
	// Host is the host's name in its confirmations; if it is empty, the Watcher
	// writes none.
	Host string
	// Peers queries the other hosts. If it is nil, evidence comes only from the
	// table.
	Peers Peers
	// Bodies is the source of bodies if the object store fails; it may be nil.
	Bodies Bodies
	// PollInterval is the interval between reads of the head; default 1 s. It is
	// longer if ReadsPerSecond requires it.
	PollInterval time.Duration
	// FreshnessBound is the maximum age of the evidence that the manifest in
	// force is the newest; default 5 s.
	FreshnessBound time.Duration
	// ReadsPerSecond is the budget of reads of the head for all hosts together;
	// default 200. At least two reads per host start within FreshnessBound even
	// if that exceeds the budget.
	ReadsPerSecond int
	// ConfirmsPerSecond is the budget of confirmations for all hosts together;
	// default 40. A host whose manifest changes more often than its share of the
	// budget allows doesn't confirm each epoch.
	ConfirmsPerSecond int
	// OnChange is called after each change of the manifest in force, in order of
	// the epochs.
	OnChange func(*manifest.Policy)
	// OnError is called with the errors of the Watcher's operations, which it
	// retries. Calls may be concurrent.
	OnError func(error)
}

func (o WatcherOptions) withDefaults() WatcherOptions {
	defaults.Positive(&o.PollInterval, DefaultPollInterval)
	defaults.Positive(&o.FreshnessBound, DefaultFreshnessBound)
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

	// mu serializes updates of view; reads need no lock.
	mu   sync.Mutex
	view atomic.Pointer[view]

	// newHead notifies the loader of a newer head.
	newHead chan struct{}
	// readSlots limits the number of concurrent reads of the table.
	readSlots chan struct{}
}

// NewWatcher returns a Watcher that has no manifest in force. Run starts the Watcher.
func NewWatcher(options WatcherOptions) *Watcher {
	o := options.withDefaults()
	w := &Watcher{
		options:   o,
		newHead:   make(chan struct{}, 1),
		readSlots: make(chan struct{}, int(o.FreshnessBound/o.PollInterval)+1),
	}
	w.view.Store(&view{})
	return w
}

// Run runs the Watcher until the context ends, and returns the context's error.
func (w *Watcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { w.pollTable(ctx) })
	loops.Go(func() { w.pollPeers(ctx) })
	loops.Go(func() { w.runLoader(ctx) })
	loops.Go(func() { w.runConfirmer(ctx) })
	loops.Wait()
	return ctx.Err()
}

// Current returns the manifest in force, or nil if there is none yet. Its epoch
// never decreases.
func (w *Watcher) Current() *manifest.Policy { return w.view.Load().policy }

// Check returns nil while the host may accept new requests, and otherwise
// ErrNoManifest or a *StaleError. Call it for each request, as late as possible
// before the request is sent.
func (w *Watcher) Check() error {
	return w.view.Load().check(boottime.Now(), w.options.FreshnessBound)
}

// ObserveHead informs the Watcher of an accepted head that another host has reported. A
// head that isn't newer than the newest one that the Watcher has learned of is ignored.
func (w *Watcher) ObserveHead(head Head) {
	w.update(func(v view) (view, error) { return v.withHead(head) })
}

// View returns the report that this host sends to other hosts.
func (w *Watcher) View(host string) PeerView {
	v := w.view.Load()
	report := PeerView{Host: host, Newest: v.newest.Epoch}
	if v.policy != nil {
		report.Epoch = v.policy.Epoch
		report.Digest = v.policy.Digest
	}
	if !v.tableReadAt.IsZero() {
		report.HasTableRead = true
		report.TableReadAge = boottime.Since(v.tableReadAt)
	}
	return report
}

// Body returns the canonical body of the manifest in force if that has the digest. Other
// hosts fetch it if they can't read it from the object store.
func (w *Watcher) Body(digest string) ([]byte, bool) {
	p := w.Current()
	if p == nil || p.Digest != digest {
		return nil, false
	}
	return manifest.Encode(p.Document), true
}

// update replaces the view by the result of f, which gets the current view, and notifies
// the loader if there is a newer head than the one in force. If f returns an error, update
// passes it to OnError and still replaces the view.
func (w *Watcher) update(f func(view) (view, error)) {
	err := w.swapView(f)
	if err != nil {
		w.options.OnError(err)
	}
	v := w.view.Load()
	if v.newest.Epoch <= v.epoch() {
		return
	}
	select {
	case w.newHead <- struct{}{}:
	default:
	}
}

func (w *Watcher) swapView(f func(view) (view, error)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := f(*w.view.Load())
	w.view.Store(&next)
	return err
}

// sharedInterval returns the interval between the events of one host with which hostCount
// hosts together cause eventsPerSecond events per second, but at least minimum and at most
// maximum.
func sharedInterval(hostCount, eventsPerSecond int, minimum, maximum time.Duration) time.Duration {
	shared := time.Duration(hostCount) * time.Second / time.Duration(eventsPerSecond)
	return min(max(shared, minimum), maximum)
}

func (w *Watcher) hostCount() int {
	if w.options.Peers == nil {
		return 1
	}
	return max(1, w.options.Peers.HostCount())
}

// sleepJittered waits for d with jitter. It returns false if the context ends.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	factor := 1 - jitter + 2*jitter*rand.Float64()
	return wait.For(ctx, time.Duration(float64(d)*factor)) == nil
}
