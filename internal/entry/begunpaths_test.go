package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/config/configtest"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// engineFunc is an engine whose Open raises the run state and calls the function. An attempt without an error has an answer of one
// frame with its version.
type engineFunc struct {
	upstream.Engine
	open func(target upstream.Target, call upstream.Call) error
}

func (e engineFunc) Open(_ context.Context, target upstream.Target, call upstream.Call, state *runstate.Tracker) (upstream.Stream, error) {
	state.Raise(runstate.MayHaveRun)
	if err := e.open(target, call); err != nil {
		return nil, err
	}
	state.Raise(runstate.Ran)
	return &versionStream{version: call.Version}, nil
}

// versionStream is a stream of one frame, whose text is the version.
type versionStream struct {
	version string
	ended   bool
}

func (s *versionStream) Next() (upstream.Frame, error) {
	if s.ended {
		return upstream.Frame{}, io.EOF
	}
	s.ended = true
	return upstream.Frame{Seq: 1, Text: s.version}, nil
}

func (s *versionStream) Usage() upstream.Usage       { return upstream.Usage{} }
func (s *versionStream) Load() (upstream.Load, bool) { return upstream.Load{}, false }
func (s *versionStream) Close() error                { return nil }

// routedHost has the filters that choose the version and the upstream of requests to the model "small", which has the versions v1,
// to which all new requests go, and v2. The engines a and b serve both.
type routedHost struct {
	t       *testing.T
	store   *config.Store
	watcher *config.Watcher
	pool    *balance.Pool
	serve   Next
}

func newRoutedHost(t *testing.T, open func(target upstream.Target, call upstream.Call) error) *routedHost {
	t.Helper()
	h := &routedHost{t: t, store: config.NewStore(memory.NewTable(), memory.NewObjects())}
	h.watcher = config.NewWatcher(config.WatcherOptions{Store: h.store, Host: "h", PollInterval: 10 * time.Millisecond, FreshnessBound: time.Hour})
	configtest.Run(t, h.watcher)
	h.submit("", manifest.Serving)
	h.pool = balance.NewPool(balance.Options{Host: "h", Zone: "a", Seed: 1})
	var hosts []storage.Host
	for _, id := range []string{"a", "b"} {
		hosts = append(hosts, storage.Host{ID: id, Kind: storage.KindEngine, Name: "engines", Zone: "a", Address: "127.0.0.1:1", State: storage.HostLive})
	}
	h.pool.Update(hosts)
	for _, id := range []string{"a", "b"} {
		h.pool.Report(id, upstream.Load{Versions: []string{"small@v1", "small@v2"}, Capacity: 8}, time.Now())
	}
	tracker := rollout.New(rollout.Options{Host: "h"})
	table := memory.NewTable()
	g := guard.New(guard.Options{
		Host: "h", Table: table, Prefix: "quarantine/", Log: zerolog.Nop(), OnEvent: func(guard.CountedEvent, string) {},
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	})
	h.serve = chain([]Filter{
		&chooseVersion{
			watcher: h.watcher, rollout: tracker, guard: g, sessions: session.NewRegistry(session.Options{Table: table}),
			codec: session.NewCodec([]session.Key{{ID: "k", Secret: make([]byte, 32)}}, time.Hour, nil), log: zerolog.Nop(),
		},
		&dispatch{
			watcher: h.watcher, pool: h.pool, engine: engineFunc{open: open}, retries: admission.NewRetryBudget(1, 100, nil), guard: g,
			plannedStop: plannedstop.New(), metrics: &requestMetrics{set: metrics.NewSet()}, log: zerolog.Nop(), zone: "a",
		},
	})
	return h
}

// submit submits a manifest in which v1 has the state, and waits until it is in force.
func (h *routedHost) submit(parent string, v1 manifest.VersionState) string {
	h.t.Helper()
	shares := map[bool][2]int{true: {100, 0}, false: {0, 100}}[v1 == manifest.Serving]
	data := manifest.Encode(&manifest.Document{
		Format: manifest.Format, Parent: parent, Build: "b",
		Models: []manifest.Model{{Name: "small", Versions: []manifest.Version{
			{Name: "v1", State: v1, Share: shares[0]}, {Name: "v2", State: manifest.Serving, Share: shares[1]},
		}}},
		Classes:  []manifest.Class{{Name: "normal", DeadlineMs: 1000}},
		Accounts: []manifest.Account{{Name: "acct", KeySHA256: []string{testKeyDigest}, Models: []manifest.Permission{{Model: "small"}}, Classes: []string{"normal"}, Weight: 1}},
		Sessions: manifest.Sessions{TTLSeconds: 60, OnWithdrawn: manifest.Rebind},
	})
	submission, err := h.store.Submit(h.t.Context(), data, "token-"+parent)
	if err != nil {
		h.t.Fatal(err)
	}
	for h.watcher.Current() == nil || h.watcher.Current().Epoch < submission.Head.Epoch {
		time.Sleep(time.Millisecond)
	}
	return submission.Head.Digest
}

// testKeyDigest is the SHA-256 digest of a key that no test uses.
const testKeyDigest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func (h *routedHost) request(repeatable bool) *Request {
	policy := h.watcher.Current()
	account, _ := policy.Account("acct")
	return &Request{
		Kind: KindModel, ID: "r", Model: "small", Route: "small", Policy: policy, Account: account, Arrived: time.Now(),
		Repeatable: repeatable, Sink: &bufferSink{}, Deadline: time.Now().Add(time.Minute),
	}
}

// A repeatable call whose engine broke off was refused because its version had been withdrawn meanwhile, though another version
// was open: the withdrawal of a version whose engines crash refused calls that the other version would have answered. A call that
// may run once isn't sent again.
func TestBegunCallIsRefusedWhenItsVersionIsWithdrawn(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		var versions []string
		var h *routedHost
		var parent string
		h = newRoutedHost(t, func(_ upstream.Target, call upstream.Call) error {
			versions = append(versions, call.Version)
			if len(versions) > 1 {
				return nil
			}
			h.submit(parent, manifest.Withdrawn)
			return upstream.ErrBroken
		})
		parent = h.watcher.Current().Digest
		r := h.request(repeatable)
		err := h.serve(t.Context(), r)
		if !repeatable {
			is.Equal(resultcode.FromError(err).Code, resultcode.OutcomeUnknown)
			is.Equal(versions, []string{"v1"})
			continue
		}
		is.NoErr(err)
		is.Equal(versions, []string{"v1", "v2"})
		is.Equal(r.Version.Name, "v2")
		is.Equal(r.Sink.Text(), "v2")
	}
}

// A repeatable call whose engine broke off was refused at once while the only other engine accepted no requests for a stated time
// that was far shorter than the time left. A call that hasn't begun is refused with the stated time, and a call without enough time
// left is refused at once.
func TestBegunCallIsRefusedWhileTheOtherEngineBacksOff(t *testing.T) {
	const backoff = 100 * time.Millisecond
	tests := []struct {
		desc     string
		first    error
		timeLeft time.Duration
		attempts int
		code     resultcode.Code
	}{
		{"begun", upstream.ErrBroken, time.Minute, 2, resultcode.OK},
		{"begun, no time left", upstream.ErrBroken, backoff, 1, resultcode.NoUpstream},
		{"not run", &upstream.StatusError{Status: 503, NotRun: true, RetryAfter: time.Minute}, time.Minute, 1, resultcode.UpstreamsBackingOff},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			var h *routedHost
			attempts := 0
			h = newRoutedHost(t, func(target upstream.Target, _ upstream.Call) error {
				if attempts++; attempts > 1 {
					return nil
				}
				for _, id := range []string{"a", "b"} {
					if id != target.ID || tt.desc == "not run" {
						h.pool.SetBackoff(id, backoff)
					}
				}
				return tt.first
			})
			r := h.request(true)
			r.Deadline = time.Now().Add(tt.timeLeft)
			err := h.serve(t.Context(), r)
			if tt.code == resultcode.OK {
				is.NoErr(err)
			} else {
				is.Equal(resultcode.FromError(err).Code, tt.code)
			}
			is.Equal(attempts, tt.attempts)
		})
	}
}

// failingSink is a sink that takes no frame: its caller has left, or its buffer is full.
type failingSink struct{ bufferSink }

// Frame implements Sink.
func (*failingSink) Frame(*Request, upstream.Frame) error { return errBufferFull }

// A sound answer that the sink didn't take, because a cascade's buffer was full or the write to the caller failed before its request's
// context ended, was taken for an answer that broke off: the request was sent to two further engines, and the version and the
// engines were charged with failures.
func TestAnswerThatTheSinkRejectsIsTakenForABrokenOne(t *testing.T) {
	is := is.New(t)
	attempts := 0
	h := newRoutedHost(t, func(upstream.Target, upstream.Call) error { attempts++; return nil })
	r := h.request(true)
	r.Sink = &failingSink{}
	err := h.serve(t.Context(), r)
	is.Equal(resultcode.FromError(err).Code, resultcode.CallerGone)
	is.Equal(attempts, 1)
	is.True(!r.Faulted)
	is.True(r.brokenUpstream == nil)
	for _, u := range h.pool.View() {
		is.Equal(u.ErrorRate, 0.0)
	}
}

// A cascade of three steps has a whole answer of the first one, rated below the target or not rated. The errors of both later steps,
// whatever refused or ended them, must not lose it.
func TestCascadeLosesItsAnswerWhenBothLaterStepsFail(t *testing.T) {
	for _, rating := range []float64{0.1, failedRating} {
		for _, code := range []resultcode.Code{
			resultcode.QueueFull, resultcode.DeadlineUnmeetable, resultcode.NoPermittedVersion, resultcode.ExposureSpent, resultcode.ConfigStale,
			resultcode.HostStopping, resultcode.NoUpstream, resultcode.RequestQuarantined, resultcode.OutcomeUnknown, resultcode.AnswerIncomplete,
		} {
			is := is.New(t)
			f, newRequest := newCascade(rating)
			f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Millisecond}) // starts at the first step
			if rating == failedRating {
				f.rater = failingRater{}
			}
			r := newRequest(true)
			r.Cascade.Steps = []string{"cheap", "dear", "dear"}
			runs := 0
			is.NoErr(f.Serve(t.Context(), r, func(_ context.Context, r *Request) error {
				if runs++; runs > 1 {
					return resultcode.New(code, "the step failed")
				}
				r.state.Raise(runstate.Ran)
				return r.Sink.Frame(r, upstream.Frame{Text: r.Model})
			}))
			is.Equal(runs, 3)
			is.Equal(r.Sink.Text(), "cheap")
			is.Equal(r.Model, "cheap")
			is.True(r.BelowTarget)
		}
	}
}

// failedRating stands for a rating that failed.
const failedRating = -1

// failingRater is a rater whose ratings fail.
type failingRater struct{}

// Rate implements storage.Rater.
func (failingRater) Rate(context.Context, string, string, string, string) (storage.Rating, error) {
	return storage.Rating{}, errors.New("the rater is down")
}

// A manifest came into force between two steps of a cascade, and the last step failed. The answer of the first step was billed and sent
// with the epoch of the new manifest, under which its version may be withdrawn, although it ran under the old one.
func TestCascadeAnswerHasTheEpochOfALaterStep(t *testing.T) {
	is := is.New(t)
	f, newRequest := newCascade(0.1)
	f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Millisecond}) // starts at the first step
	r := newRequest(true)
	ranUnder := r.Epoch()
	runs := 0
	is.NoErr(f.Serve(t.Context(), r, func(_ context.Context, r *Request) error {
		if runs++; runs > 1 {
			r.Policy = manifest.Compile(r.Policy.Document, ranUnder+1, "")
			return resultcode.New(resultcode.NoUpstream, "the step failed")
		}
		r.state.Raise(runstate.Ran)
		return r.Sink.Frame(r, upstream.Frame{Text: r.Model})
	}))
	is.Equal(runs, 2)
	is.Equal(r.Sink.Text(), "cheap")
	is.Equal(r.Epoch(), ranUnder)
}

// A cascade ran its next step although a planned stop would probably end it, and sent the whole answer that it had only at the end of
// the stop. It sends the answer at once; without an answer, a request whose first step broke off goes on.
func TestCascadeRunsAStepThatAStopWouldEnd(t *testing.T) {
	for _, firstAnswers := range []bool{true, false} {
		is := is.New(t)
		f, newRequest := newCascade(0.1)
		f.learner.Observe(cascade.Sample{Cascade: "c", Account: "a", Step: 0, Rating: 0.9, Latency: time.Millisecond}) // starts at the first step
		r := newRequest(true)
		runs := 0
		is.NoErr(f.Serve(t.Context(), r, func(_ context.Context, r *Request) error {
			r.state.Raise(runstate.Ran)
			if runs++; runs == 1 {
				f.plannedStop.Begin(time.Now().Add(time.Second)) // the time of the next step isn't known
				if !firstAnswers {
					return resultcode.New(resultcode.AnswerIncomplete, "the step failed")
				}
			}
			return r.Sink.Frame(r, upstream.Frame{Text: r.Model})
		}))
		if firstAnswers {
			is.Equal(runs, 1)
			is.Equal(r.Sink.Text(), "cheap")
			continue
		}
		is.Equal(runs, 2)
		is.Equal(r.Sink.Text(), "dear")
	}
}
