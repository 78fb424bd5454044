package guard

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// toldFor is how long a suspect counts that the hub told: some rounds of the
	// exchange, of which one may be lost.
	toldFor = time.Second
	// recentFor is how long a new hub is told what this host saw.
	recentFor = 30 * time.Second
	// endedFor is how long followers are told of an upstream that ended: some rounds of the
	// exchange. explainedFor is the same where a judged request explains it, which is
	// known later. maxEnded bounds how many are kept, the newest.
	endedFor     = 800 * time.Millisecond
	explainedFor = 5 * time.Second
	maxEnded     = 128
	// maxToldSuspects bounds the suspects that followers are told.
	maxToldSuspects = 64
	// verdictFor is how long a verdict is told that the store has: followers hear of it
	// by the store's table, too, a moment later.
	verdictFor = 4 * time.Second
	// suspectFor is how long after its last loss a suspect is told: hosts hold back others
	// with its content meanwhile, and say if they saw it answered.
	suspectFor = 5 * time.Second
	// maxSeen bounds what is kept for hubs.
	maxSeen = 256
)

// sightingBook is what this host saw: what its hub wasn't told yet, and all losses of late.
type sightingBook struct {
	untold, recent []seenLoss
}

// seenLoss is a loss, or a suspect that was answered, and when it was seen.
type seenLoss struct {
	loss     quarantine.Loss
	answered bool
}

func (b *sightingBook) add(s seenLoss) {
	b.untold = lastOf(append(b.untold, s), maxSeen)
	if !s.answered {
		b.recent = lastOf(append(b.recent, s), maxSeen)
	}
}

// lastOf keeps the last of a list, at most so many.
func lastOf[T any](list []T, most int) []T {
	if len(list) <= most {
		return list
	}
	return append([]T(nil), list[len(list)-most:]...)
}

func (g *Guard) see(l quarantine.Loss) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.add(seenLoss{loss: l})
}

func (g *Guard) seeAnswered(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.ContainsFunc(g.seen.untold, func(s seenLoss) bool { return s.answered && s.loss.Digest == d }) {
		return
	}
	g.seen.add(seenLoss{loss: quarantine.Loss{Digest: d, At: boottime.Elapsed()}, answered: true})
}

// Sightings implements exchange.Quarantine.
func (g *Guard) Sightings() exchange.Sightings {
	g.mu.Lock()
	defer g.mu.Unlock()
	untold := g.seen.untold
	g.seen.untold = nil
	return sightings(untold, recentFor)
}

// Recent implements exchange.Quarantine.
func (g *Guard) Recent() exchange.Sightings {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.untold = nil
	return sightings(g.seen.recent, recentFor)
}

func sightings(list []seenLoss, within time.Duration) exchange.Sightings {
	now := boottime.Elapsed()
	var s exchange.Sightings
	for _, seen := range list {
		switch age := now - seen.loss.At; {
		case age > within:
		case seen.answered:
			s.Answered = append(s.Answered, seen.loss.Digest)
		default:
			s.Losses = append(s.Losses, exchange.AgedLoss{Digest: seen.loss.Digest, Incarnation: seen.loss.Incarnation, Age: age, Ran: seen.loss.Ran})
		}
	}
	return s
}

// Take implements exchange.Quarantine.
func (g *Guard) Take(s exchange.Sightings) exchange.Sightings {
	now := boottime.Elapsed()
	var fresh exchange.Sightings
	for _, l := range s.Losses {
		if g.tracker.Lose(quarantine.Loss{Digest: l.Digest, Incarnation: l.Incarnation, At: now - l.Age, Ran: l.Ran}) {
			fresh.Losses = append(fresh.Losses, l)
			g.noteEnded(l.Incarnation, now-l.Age)
		}
	}
	for _, d := range s.Answered {
		if g.tracker.RecordSurvival(d, now) {
			fresh.Answered = append(fresh.Answered, d)
		}
	}
	return fresh
}

// endedUpstream is an upstream that ended, when, and when this host heard of it.
type endedUpstream struct {
	incarnation quarantine.Incarnation
	at, heard   time.Duration
}

// noteEnded keeps that an upstream ended, and looks for what this host gave up there.
func (g *Guard) noteEnded(i quarantine.Incarnation, at time.Duration) {
	g.mu.Lock()
	for _, e := range g.ended {
		if e.incarnation == i {
			g.mu.Unlock()
			return
		}
	}
	g.ended = lastOf(append(g.ended, endedUpstream{incarnation: i, at: at, heard: boottime.Elapsed()}), maxEnded)
	g.mu.Unlock()
	g.options.Ended(i)
	g.exposures.endedElsewhere(i, boottime.Elapsed()-at)
}

// standingEvery is how long what followers are told is kept: a hub has up to 64 of them,
// each of which asks seven times a second.
const standingEvery = 50 * time.Millisecond

// Standing implements exchange.Quarantine.
func (g *Guard) Standing() exchange.Standing {
	now := boottime.Elapsed()
	g.mu.Lock()
	standing, fresh := g.standing, now-g.standingAt < standingEvery && g.standingAt != 0
	g.mu.Unlock()
	if fresh {
		return standing
	}
	standing = g.standingNow(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standing, g.standingAt = standing, now
	return standing
}

// standingNow is what followers are told now.
func (g *Guard) standingNow(now time.Duration) exchange.Standing {
	var s exchange.Standing
	for _, suspect := range g.tracker.Suspects(now, suspectFor, maxToldSuspects) {
		s.Suspects = append(s.Suspects, exchange.AgedSuspicion{Digest: suspect.Digest, Events: suspect.Events, FirstAge: now - suspect.First})
	}
	for _, e := range g.register.All() {
		if e.Revision == 0 || now-e.Heard < verdictFor {
			s.Verdicts = append(s.Verdicts, e.Verdict)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for d, t := range g.told {
		if now-t.at >= toldFor {
			delete(g.told, d)
			continue
		}
		s.Suspects = append(s.Suspects, exchange.AgedSuspicion{
			Digest: d, Events: t.events, Age: now - t.at, FirstAge: now - t.first,
		})
	}
	kept := g.ended[:0]
	for _, e := range g.ended {
		if now-e.at > explainedFor {
			continue
		}
		kept = append(kept, e)
		if explained := g.tracker.Explained(e.incarnation); explained || now-e.heard < endedFor {
			s.Ended = append(s.Ended, exchange.Ending{Incarnation: e.incarnation, Age: now - e.at, Explained: explained})
		}
	}
	g.ended = kept
	return s
}

// TakeStanding implements exchange.Quarantine.
func (g *Guard) TakeStanding(s exchange.Standing) {
	now := boottime.Elapsed()
	for _, e := range s.Ended {
		if e.Explained {
			g.tracker.Explain(e.Incarnation, now-e.Age)
		}
		g.noteEnded(e.Incarnation, now-e.Age)
	}
	for _, v := range s.Verdicts {
		if g.register.Add(v, now) {
			g.know(v, "exchange")
		}
	}
	for _, suspect := range s.Suspects {
		g.takeSuspect(suspect, now)
	}
}

// takeSuspect takes a suspect that the hub told. One that was answered here is no suspect,
// and the hub hears that.
func (g *Guard) takeSuspect(s exchange.AgedSuspicion, now time.Duration) {
	if g.tracker.SurvivedSince(s.Digest, now-s.FirstAge) {
		g.seeAnswered(s.Digest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now - s.Age
	if known, ok := g.told[s.Digest]; ok && at < known.at || len(g.told) >= 2*maxToldSuspects {
		return
	}
	g.told[s.Digest] = toldSuspect{events: s.Events, first: now - s.FirstAge, at: at}
}
