// Package guard keeps requests that end upstreams away from them: it notes what this host
// runs at each upstream, finds out which upstreams ended, tells the other hosts and
// hears from them, and answers whether a request may be sent. What is a suspect and what
// is judged, package quarantine decides.
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
	// judgeInterval is the time between two judgements: a small part of the time in
	// which all hosts must know of one.
	judgeInterval = 100 * time.Millisecond
	// sweepInterval is how often what is kept of upstreams that ended is tidied.
	sweepInterval = 10 * time.Second
	// blameWait is how long the end of an upstream isn't held against its version: a
	// request that is to blame for it is found in that time. Operators give 5 s to stop a
	// bad version.
	blameWait = 2500 * time.Millisecond
	// checkedWithin is the time within which it is known whether an upstream that broke an
	// answer off ended.
	checkedWithin = breakGather + checkTimeout + 50*time.Millisecond
)

// Counted is what a guard counts.
type Counted int

const (
	// CountVerdict is a verdict that this host made.
	CountVerdict Counted = iota
	// CountEnded is an upstream that ended with requests of this host's.
	CountEnded
	// CountRefused is a request that was refused because of a verdict.
	CountRefused
)

// Options are what a guard needs.
type Options struct {
	// Host is this host's name.
	Host string
	// Table keeps the verdicts under keys that begin with Prefix.
	Table  storage.Table
	Prefix string
	// Clock is a clock that all hosts share, by which verdicts end.
	Clock func() time.Duration
	// Ended is told once of each upstream that ended, wherever that was seen. It may be nil.
	Ended func(quarantine.Incarnation)
	// Count is told what happens at a service; the service is empty for verdicts.
	Count func(what Counted, service string)
	Log   zerolog.Logger
}

// Guard is one host's part. It is safe for concurrent use.
type Guard struct {
	options   Options
	tracker   *quarantine.Tracker
	register  *quarantine.Register
	exposures *exposures
	rows      *rows
	log       zerolog.Logger

	mu sync.Mutex
	// judges says that this host judges by what it knows.
	judges bool
	seen   sightingBook
	told   map[quarantine.Digest]toldSuspect
	// ended are the upstreams that ended lately.
	ended []endedUpstream
	// standing is what followers were told last, as of standingAt.
	standing   exchange.Standing
	standingAt time.Duration
	// running counts the requests that this host has at upstreams, by digest.
	running map[quarantine.Digest]int
	// changed is closed when something changed for requests that wait.
	changed chan struct{}
}

// toldSuspect is a suspect that the hub told.
type toldSuspect struct {
	events int
	// first is when the first upstream ended with it, at when that was told.
	first, at time.Duration
}

// New returns a guard; Run runs it. A host judges until another one does that for it.
func New(options Options) *Guard {
	if options.Ended == nil {
		options.Ended = func(quarantine.Incarnation) {}
	}
	register := quarantine.NewRegister()
	g := &Guard{
		options: options, tracker: quarantine.NewTracker(), register: register,
		exposures: newExposures(options.Log), rows: newRows(&options, register), log: options.Log,
		judges: true, told: make(map[quarantine.Digest]toldSuspect), running: make(map[quarantine.Digest]int),
		changed: make(chan struct{}),
	}
	g.exposures.ended, g.exposures.survived = g.lose, g.survive
	g.exposures.suspected = func(d quarantine.Digest) bool { return g.events(d, boottime.Elapsed()) > 1 }
	g.rows.known, g.rows.lifted = g.know, g.lift
	return g
}

// Run judges and keeps the verdicts' rows until the context ends.
func (g *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { wait.Every(ctx, judgeInterval, g.judge) })
	loops.Go(func() { wait.Every(ctx, judgeInterval, func() { g.rows.write(ctx, g.judging()) }) })
	loops.Go(func() { wait.Every(ctx, judgeInterval, g.exposures.settle) })
	loops.Go(func() { wait.Every(ctx, sweepInterval, g.exposures.sweep) })
	loops.Wait()
}

// Judges says whether this host judges by what it knows: it hears from all others, or from
// none.
func (g *Guard) Judges(judges bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judges = judges
}

func (g *Guard) judging() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.judges
}

// judge makes the verdicts that are due, if this host is one that judges.
func (g *Guard) judge() {
	if !g.judging() {
		return
	}
	now := boottime.Elapsed()
	for _, f := range g.tracker.Judge(now) {
		v := quarantine.NewVerdict(f, g.options.Host, g.options.Clock())
		g.register.Add(v, now)
		g.options.Count(CountVerdict, "")
		g.log.Warn().Str("event", "request-judged").Stringer("digest", f.Digest).Int("events", f.Events).
			Int("upstreams", f.Upstreams).Int("lost", f.Lost).Int64("until_ms", v.Until.Milliseconds()).Msg("")
		g.wake()
	}
}

// know takes in a verdict that another host made, or the store has.
func (g *Guard) know(v quarantine.Verdict, from string) {
	g.tracker.Blame(v.Digest)
	g.log.Warn().Str("event", "request-judged-elsewhere").Stringer("digest", v.Digest).Str("by", v.By).Str("from", from).
		Int("events", v.Events).Int("upstreams", v.Upstreams).Int64("until_ms", v.Until.Milliseconds()).Msg("")
	g.wake()
}

// lift takes in that a verdict was withdrawn.
func (g *Guard) lift(d quarantine.Digest) {
	g.tracker.ClearVerdict(d)
	g.log.Warn().Str("event", "quarantine-lifted").Stringer("digest", d).Msg("")
	g.wake()
}

// wake has requests that wait look again.
func (g *Guard) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// lose takes in that an upstream ended so long ago with the requests.
func (g *Guard) lose(u Upstream, ago time.Duration, runs []endedRun) {
	now := boottime.Elapsed()
	at := now - ago
	g.options.Count(CountEnded, u.Service)
	for _, run := range runs {
		d := run.digest
		loss := quarantine.Loss{Digest: d, Incarnation: u.Incarnation, At: at, Ran: run.ran}
		if !g.tracker.Lose(loss) {
			continue
		}
		g.see(loss)
		g.rows.trialLost(d)
		if n := g.tracker.Events(d, now); n > 1 {
			g.log.Warn().Str("event", "request-suspected").Stringer("digest", d).Int("events", n).Str("upstream", u.ID).Msg("")
		}
	}
	g.noteEnded(u.Incarnation, at)
}

// survive takes in that a request was answered, and that its upstream outlived it.
func (g *Guard) survive(d quarantine.Digest) {
	now := boottime.Elapsed()
	events := g.events(d, now)
	g.tracker.RecordSurvival(d, now)
	g.rows.trialSurvived(d)
	if events > 0 {
		g.wake()
	}
	if events > 1 {
		g.log.Info().Str("event", "suspicion-ended").Stringer("digest", d).Msg("")
		g.seeAnswered(d)
	}
}

// events is at how many moments upstreams ended with the request, by what this host knows
// itself or its hub told.
func (g *Guard) events(d quarantine.Digest, now time.Duration) int {
	n := g.tracker.Events(d, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, ok := g.told[d]; ok && now-t.at < toldFor {
		n = max(n, t.events)
	}
	return n
}

// Blame is what to do with an answer that broke off.
type Blame struct {
	// Version is called if nothing else explains it than the upstream's version, Request if
	// a request that is judged ended the upstream. Request may be nil.
	Version func()
	Request func()
}

// Unexplained finds out who is to blame that an upstream broke an answer off: soon if the
// upstream lives, and after a judgement is due otherwise.
func (g *Guard) Unexplained(u Upstream, blame Blame) {
	time.AfterFunc(checkedWithin, func() {
		if !g.exposures.hasEnded(u) {
			blame.Version()
			return
		}
		time.AfterFunc(blameWait, func() {
			switch {
			case !g.tracker.Explained(u.Incarnation):
				blame.Version()
			case blame.Request != nil:
				blame.Request()
			}
		})
	})
}

// Verdicts lists the verdicts that this host knows.
func (g *Guard) Verdicts() []quarantine.Entry { return g.register.All() }

// Len is their number.
func (g *Guard) Len() int { return g.register.Len() }
