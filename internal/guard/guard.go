// Package guard keeps poison requests away from upstreams. It records which requests this host
// runs at each upstream, detects terminated upstreams, exchanges these observations with the
// other hosts, and decides whether a request may be sent. Package quarantine decides which
// requests are suspects and which get verdicts.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// evaluationInterval is the time between two searches for poison requests, for verdicts to
	// be written and for survivals. It is a small part of the time in which a verdict must reach
	// all hosts.
	evaluationInterval = 100 * time.Millisecond
	// sweepInterval is the time between two searches for upstreams without runs, whose records
	// are dropped.
	sweepInterval = 10 * time.Second
	// verdictWait is the time after the check of a terminated upstream before the termination is
	// attributed to the upstream's version. If a poison request is the cause, it gets a verdict
	// in that time. Operators require a bad version to be stopped within 5 s.
	verdictWait = 2500 * time.Millisecond
	// checkDuration is the maximum time from an interrupted response to the end of the check
	// whether its upstream has terminated.
	checkDuration = checkDelay + checkTimeout + 50*time.Millisecond
)

// CountedEvent is a kind of event that a guard counts.
type CountedEvent int

const (
	// CountVerdict is a verdict that this host made.
	CountVerdict CountedEvent = iota
	// CountTerminated is an upstream that terminated with requests of this host.
	CountTerminated
	// CountRefused is a request that was refused because of a verdict.
	CountRefused
)

// Options configure a guard.
type Options struct {
	// Host is this host's name.
	Host string
	// Table stores the verdicts under keys that begin with Prefix.
	Table  storage.Table
	Prefix string
	// Clock returns the current time, by which verdicts expire. It must read the same clock at
	// all hosts that exchange verdicts: either the store's monotonic clock, or the wall clock as
	// the time since the Unix epoch.
	Clock func() time.Duration
	// Refuses reports whether nothing listens at an upstream's address; nil for a connection attempt by
	// this host. It must not take the failure of this host's own path for one of the upstream.
	Refuses func(ctx context.Context, address string) bool
	// Others returns the addresses of other upstreams, for a host without Refuses: a refused connection counts
	// only if one of them accepts, since a host that lost its own path is refused everywhere. Nil if
	// there are none to compare with.
	Others func() []string
	// OnTermination is called once for each upstream that terminated, whichever host observed
	// it. It may be nil.
	OnTermination func(quarantine.Incarnation)
	// Brittle reports whether an upstream had stated that it terminates when it rejects too many requests, so
	// that its load may be the cause of its end. It may be nil.
	Brittle func(quarantine.Incarnation) bool
	// OnEvent is called for each event to be counted, with the service that it concerns; the
	// service is empty for verdicts.
	OnEvent func(event CountedEvent, service string)
	Log     zerolog.Logger
}

// Guard tracks suspects and enforces verdicts on one host. It is safe for concurrent use.
type Guard struct {
	options      Options
	tracker      *quarantine.Tracker
	register     *quarantine.Register
	runs         *runTracker
	verdictStore *verdictStore
	log          zerolog.Logger

	mu sync.Mutex
	// verdictsEnabled reports whether this host makes verdicts. Otherwise its hub makes them.
	verdictsEnabled bool
	sightings       sightingBuffer
	hubSuspects     map[quarantine.Digest]hubSuspect
	// terminations holds the recent terminations of upstreams, in the order in which this host
	// recorded them.
	terminations []termination
	// cachedStatus is the quarantine status last built for followers, and cachedStatusAt is when
	// it was built.
	cachedStatus   exchange.QuarantineStatus
	cachedStatusAt time.Duration
	// activeAttempts holds the number of attempts that this host has admitted and that aren't
	// over, by the digest of the request.
	activeAttempts map[quarantine.Digest]int
	// stateChanged is closed, and replaced, when waiting requests must check again whether they
	// may be sent.
	stateChanged chan struct{}
}

// hubSuspect is a suspect that the hub sent.
type hubSuspect struct {
	events int
	// firstAt is when the first upstream terminated with the request. reportedAt is when the
	// host that counted the events sent the suspect; relaying by hubs doesn't make it later.
	firstAt, reportedAt time.Duration
}

// New returns a guard; Run must be called to run it. The host makes verdicts itself until
// SetMakesVerdicts is called.
func New(options Options) *Guard {
	if options.OnTermination == nil {
		options.OnTermination = func(quarantine.Incarnation) {}
	}
	if options.Brittle == nil {
		options.Brittle = func(quarantine.Incarnation) bool { return false }
	}
	if options.Refuses == nil {
		options.Refuses = func(ctx context.Context, address string) bool { return refusesAlone(ctx, address, options.Others) }
	}
	register := quarantine.NewRegister()
	g := &Guard{
		options: options, tracker: quarantine.NewTracker(), register: register,
		runs: newRunTracker(options.Log), verdictStore: newVerdictStore(&options, register), log: options.Log,
		verdictsEnabled: true, hubSuspects: make(map[quarantine.Digest]hubSuspect), activeAttempts: make(map[quarantine.Digest]int),
		stateChanged: make(chan struct{}),
	}
	g.runs.refuses = options.Refuses
	g.runs.onTermination, g.runs.onSurvival = g.recordTermination, g.recordSurvival
	g.runs.isSuspect = func(d quarantine.Digest) bool { return g.eventCount(d, boottime.Elapsed()) > 1 }
	g.verdictStore.onVerdict, g.verdictStore.onWithdrawal = g.applyVerdict, g.applyWithdrawal
	return g
}

// Run makes verdicts, writes their rows and processes survivals until the context ends.
func (g *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { wait.Every(ctx, evaluationInterval, g.makeVerdicts) })
	loops.Go(func() {
		wait.Every(ctx, evaluationInterval, func() { g.verdictStore.writeMissing(ctx, g.shouldMakeVerdicts()) })
	})
	loops.Go(func() { wait.Every(ctx, evaluationInterval, g.runs.reportSurvivals) })
	loops.Go(func() { wait.Every(ctx, sweepInterval, g.runs.sweep) })
	loops.Wait()
}

// SetMakesVerdicts sets whether this host makes verdicts. It should make them if it receives the
// observations of all other hosts, or of none.
func (g *Guard) SetMakesVerdicts(enabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.verdictsEnabled = enabled
}

func (g *Guard) shouldMakeVerdicts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdictsEnabled
}

// makeVerdicts makes the verdicts that are due, if this host makes verdicts.
func (g *Guard) makeVerdicts() {
	if !g.shouldMakeVerdicts() {
		return
	}
	now := boottime.Elapsed()
	for _, f := range g.tracker.FindPoisonRequests(now) {
		v := quarantine.NewVerdict(f, g.options.Host, g.options.Clock())
		g.register.Add(v, now)
		g.options.OnEvent(CountVerdict, "")
		g.log.Warn().Str("event", "request-judged").Stringer("digest", f.Digest).Int("events", f.Events).
			Int("upstreams", f.Upstreams).Int("lost", f.UnexplainedTerminations).Bool("brittle", f.Brittle).Int64("until_ms", v.ExpiresAt.Milliseconds()).Msg("")
		g.notifyWaiting()
	}
}

// applyVerdict processes a new verdict that came from another host or from the store.
func (g *Guard) applyVerdict(v quarantine.Verdict, source string) {
	g.tracker.SetVerdict(v.Digest)
	g.log.Warn().Str("event", "request-judged-elsewhere").Stringer("digest", v.Digest).Str("by", v.MadeBy).Str("from", source).
		Int("events", v.Events).Int("upstreams", v.Upstreams).Int64("until_ms", v.ExpiresAt.Milliseconds()).Msg("")
	g.notifyWaiting()
}

// applyWithdrawal processes the withdrawal of a verdict.
func (g *Guard) applyWithdrawal(d quarantine.Digest) {
	g.tracker.ClearVerdict(d)
	g.log.Warn().Str("event", "quarantine-lifted").Stringer("digest", d).Msg("")
	g.notifyWaiting()
}

// notifyWaiting has waiting requests check again whether they may be sent.
func (g *Guard) notifyWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// recordTermination records that an upstream terminated, the given time ago, and that the runs of
// this host may have been the cause.
func (g *Guard) recordTermination(u Upstream, ago time.Duration, runs []candidateRun) {
	now := boottime.Elapsed()
	at := now - ago
	brittle := g.options.Brittle(u.Incarnation)
	g.options.OnEvent(CountTerminated, u.Service)
	for _, run := range runs {
		d := run.digest
		loss := quarantine.Loss{Digest: d, Incarnation: u.Incarnation, At: at, Ran: run.ran, Brittle: brittle}
		if !g.tracker.RecordLoss(loss) {
			continue
		}
		g.addLoss(loss)
		g.verdictStore.renewAfterTrial(d)
		if n := g.tracker.EventCount(d, now); n > 1 {
			g.log.Warn().Str("event", "request-suspected").Stringer("digest", d).Int("events", n).Str("upstream", u.ID).Bool("brittle", brittle).Msg("")
		}
	}
	g.addTermination(u.Incarnation, at)
}

// recordSurvival records that a request was answered and that its upstream survived it.
func (g *Guard) recordSurvival(d quarantine.Digest) {
	now := boottime.Elapsed()
	events := g.eventCount(d, now)
	g.tracker.RecordSurvival(d, now)
	g.verdictStore.withdrawAfterTrial(d)
	if events > 0 {
		g.notifyWaiting()
	}
	if events > 1 {
		g.log.Info().Str("event", "suspicion-ended").Stringer("digest", d).Msg("")
		g.addAnswered(d)
	}
}

// eventCount returns the number of events in which upstreams terminated with the request. It is
// the number found by this host's tracker or the number sent by its hub, whichever is higher; 0 for a
// sound part.
func (g *Guard) eventCount(d quarantine.Digest, now time.Duration) int {
	if g.tracker.IsSound(d, now) {
		return 0
	}
	n := g.tracker.EventCount(d, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if suspect, ok := g.hubSuspects[d]; ok && now-suspect.reportedAt < hubSuspectTTL {
		n = max(n, suspect.events)
	}
	return n
}

// Attribution holds the callbacks for an interrupted response.
type Attribution struct {
	// OnVersionCause is called if no request with a verdict explains the interruption, so that only
	// the upstream's version can be the cause. OnRequestCause is called if such a request ran at
	// the upstream when it terminated; it may be nil.
	OnVersionCause func()
	OnRequestCause func()
}

// AttributeInterruption finds the cause of an interrupted response of the upstream and calls the
// callback for it: after checkDuration if the upstream is alive, otherwise after a further
// verdictWait, by when a verdict would have been made.
func (g *Guard) AttributeInterruption(u Upstream, callbacks Attribution) {
	time.AfterFunc(checkDuration, func() {
		if !g.runs.hasTerminated(u) {
			callbacks.OnVersionCause()
			return
		}
		time.AfterFunc(verdictWait, func() {
			switch {
			case !g.tracker.Explained(u.Incarnation):
				callbacks.OnVersionCause()
			case callbacks.OnRequestCause != nil:
				callbacks.OnRequestCause()
			}
		})
	})
}

// Verdicts returns the verdicts that this host has.
func (g *Guard) Verdicts() []quarantine.Entry { return g.register.All() }

// VerdictCount returns the number of verdicts.
func (g *Guard) VerdictCount() int { return g.register.Len() }
