package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/resultcode"
)

const (
	// judgeInterval is the time between two judgements: a small part of the time in
	// which all hosts must know of one.
	judgeInterval = 100 * time.Millisecond
	// longestHold bounds how long a request waits for what becomes of another one with the
	// same content: the time to a judgement and the way of its word over two hubs. A
	// request that nothing is held against never waits.
	longestHold = 1200 * time.Millisecond
	// blameWait is how long the end of an upstream isn't held against its version: a
	// request that is to blame for it is found in that time. Operators give 5 s to stop a
	// bad version.
	blameWait = 2500 * time.Millisecond
)

// keeper keeps requests that end upstreams away from them. It takes in what this host
// sees and what others tell, and answers whether a request may be sent.
type keeper struct {
	host      string
	tracker   *quarantine.Tracker
	register  *quarantine.Register
	exposures *exposures
	rows      *verdictRows
	metrics   *gatewayMetrics
	log       zerolog.Logger

	mu sync.Mutex
	// judges says that this host judges by what it knows.
	judges bool
	seen   sightingBook
	told   map[quarantine.Digest]toldSuspect
	// ended are the upstreams that ended lately.
	ended []endedLife
	// running counts the suspects that this host has at upstreams.
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

func newKeeper(host string, rows *verdictRows, metrics *gatewayMetrics, log zerolog.Logger) *keeper {
	k := &keeper{
		host: host, tracker: quarantine.NewTracker(), register: rows.register, rows: rows,
		exposures: newExposures(log), metrics: metrics, log: log,
		judges: true, told: make(map[quarantine.Digest]toldSuspect), running: make(map[quarantine.Digest]int),
		changed: make(chan struct{}),
	}
	k.exposures.ended = k.lose
	rows.known, rows.lifted = k.know, k.lift
	return k
}

// run judges and keeps the verdicts' rows until the context ends.
func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.judge()
			k.rows.write(ctx, k.judging())
		}
	}
}

func (k *keeper) judging() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.judges
}

// judge makes the verdicts that are due, if this host is one that judges.
func (k *keeper) judge() {
	if !k.judging() {
		return
	}
	now := boottime.Elapsed()
	for _, f := range k.tracker.Judge(now) {
		v := quarantine.NewVerdict(f, k.host, k.rows.clock())
		k.register.Hear(v, now)
		k.metrics.verdicts.Inc()
		k.log.Warn().Str("event", "request-judged").Stringer("digest", f.Digest).Int("events", f.Events).
			Int("upstreams", f.Lives).Int("lost", f.Lost).Int64("until_ms", v.Until.Milliseconds()).Msg("")
		k.wake()
	}
}

// know takes in a verdict that another host made, or the store has.
func (k *keeper) know(v quarantine.Verdict, from string) {
	k.tracker.Blame(v.Digest)
	k.log.Warn().Str("event", "request-judged-elsewhere").Stringer("digest", v.Digest).Str("by", v.By).Str("from", from).
		Int("events", v.Events).Int("upstreams", v.Lives).Int64("until_ms", v.Until.Milliseconds()).Msg("")
	k.wake()
}

// lift takes in that a verdict was withdrawn.
func (k *keeper) lift(d quarantine.Digest) {
	k.tracker.Clear(d)
	k.log.Warn().Str("event", "quarantine-lifted").Stringer("digest", d).Msg("")
	k.wake()
}

// wake has requests that wait look again.
func (k *keeper) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// lose takes in that an upstream ended so long ago with the requests.
func (k *keeper) lose(u Upstream, ago time.Duration, digests []quarantine.Digest) {
	now := boottime.Elapsed()
	at := now - ago
	life := quarantine.Life(u.life())
	k.metrics.upstreamsEnded(u.Service).Inc()
	for _, d := range digests {
		loss := quarantine.Loss{Digest: d, Life: life, At: at}
		if !k.tracker.Lose(loss) {
			continue
		}
		k.see(loss)
		k.rows.trialLost(d)
		if n := k.tracker.Events(d, now); n > 1 {
			k.log.Warn().Str("event", "request-suspected").Stringer("digest", d).Int("events", n).Str("upstream", u.ID).Msg("")
		}
	}
	k.noteEnded(life, at)
}

// survive takes in that a request was answered.
func (k *keeper) survive(d quarantine.Digest) {
	now := boottime.Elapsed()
	suspect := k.events(d, now) > 1
	k.tracker.Survive(d, now)
	k.rows.trialSurvived(d)
	if suspect {
		k.log.Info().Str("event", "suspicion-ended").Stringer("digest", d).Msg("")
		k.seeAnswered(d)
		k.wake()
	}
}

// events is at how many moments upstreams ended with the request, by what this host knows
// itself or its hub told.
func (k *keeper) events(d quarantine.Digest, now time.Duration) int {
	n := k.tracker.Events(d, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.told[d]; ok && now-t.at < toldFor {
		n = max(n, t.events)
	}
	return n
}

// admit says whether the request may be sent to an upstream now. A suspect waits while
// another one with its content is at an upstream of this host's, or until it is judged, for
// longestHold at most: it isn't sent to several upstreams at once.
func (k *keeper) admit(ctx context.Context, r *Request) error {
	var over <-chan time.Time
	for {
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if k.held(r.Digest) {
			k.metrics.quarantined(r.Service).Inc()
			return resultcode.New(resultcode.RequestQuarantined, "upstreams ended that ran this request")
		}
		if k.enter(r.Digest) {
			return nil
		}
		if over == nil {
			k.log.Info().Str("event", "suspect-waits").Str("request", r.ID).Stringer("digest", r.Digest).Msg("")
			timer := time.NewTimer(longestHold)
			defer timer.Stop()
			over = timer.C
		}
		select {
		case <-changed:
		case <-over:
			k.mu.Lock()
			k.running[r.Digest]++
			k.mu.Unlock()
			return nil
		case <-ctx.Done():
			return resultcode.Wrap(resultcode.DeadlineExpired, ctx.Err(), "no answer in time")
		}
	}
}

// held says whether a verdict keeps the request away.
func (k *keeper) held(d quarantine.Digest) bool {
	entry, ok := k.register.Get(d)
	return ok && !k.rows.permits(entry)
}

// enter counts the request as running if nothing speaks against that.
func (k *keeper) enter(d quarantine.Digest) bool {
	events := k.events(d, boottime.Elapsed())
	k.mu.Lock()
	defer k.mu.Unlock()
	s := quarantine.Suspicion{Digest: d, Events: events}
	if events > 1 && (s.Judged() || k.running[d] > 0) {
		return false
	}
	k.running[d]++
	return true
}

// leave ends what admit permitted.
func (k *keeper) leave(d quarantine.Digest) {
	k.mu.Lock()
	if k.running[d]--; k.running[d] <= 0 {
		delete(k.running, d)
	}
	k.mu.Unlock()
	if k.events(d, boottime.Elapsed()) > 1 {
		k.wake()
	}
}

// nearlyJudged says that the request is to be judged soon: this host doesn't send it on to a
// further upstream by itself.
func (k *keeper) nearlyJudged(d quarantine.Digest) bool {
	return quarantine.Suspicion{Digest: d, Events: k.events(d, boottime.Elapsed())}.Judged()
}

// unexplained calls do unless a request is to blame that the upstream ended. If the
// upstream lives, it does so at once.
func (k *keeper) unexplained(u Upstream, do func()) {
	time.AfterFunc(breakGather+checkTimeout, func() {
		if !k.exposures.hasEnded(&u) {
			do()
			return
		}
		time.AfterFunc(blameWait, func() {
			if !k.tracker.Explained(quarantine.Life(u.life())) {
				do()
			}
		})
	})
}
