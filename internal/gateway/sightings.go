package gateway

import (
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
	// endedFor is how long followers are told of an upstream that ended, maxEnded bounds
	// how many, the newest first.
	endedFor = 5 * time.Second
	maxEnded = 128
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

// sightingBook is what this host saw: what its hub wasn't told yet, and all of late.
type sightingBook struct {
	untold, recent []seenLoss
	answered       []quarantine.Digest
}

// seenLoss is a loss, or a suspect that was answered, and when it was seen.
type seenLoss struct {
	loss     quarantine.Loss
	answered bool
}

func (b *sightingBook) add(s seenLoss) {
	b.untold = lastOf(append(b.untold, s), maxSeen)
	b.recent = lastOf(append(b.recent, s), maxSeen)
}

// lastOf keeps the last of a list, at most so many.
func lastOf[T any](list []T, most int) []T {
	if len(list) <= most {
		return list
	}
	return append([]T(nil), list[len(list)-most:]...)
}

func (k *keeper) see(l quarantine.Loss) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen.add(seenLoss{loss: l})
}

func (k *keeper) seeAnswered(d quarantine.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen.add(seenLoss{loss: quarantine.Loss{Digest: d, At: boottime.Elapsed()}, answered: true})
}

// Sightings implements exchange.Quarantine.
func (k *keeper) Sightings() exchange.Sightings {
	k.mu.Lock()
	defer k.mu.Unlock()
	untold := k.seen.untold
	k.seen.untold = nil
	return sightings(untold, recentFor)
}

// Recent implements exchange.Quarantine.
func (k *keeper) Recent() exchange.Sightings {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen.untold = nil
	return sightings(k.seen.recent, recentFor)
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
			s.Losses = append(s.Losses, exchange.AgedLoss{Digest: seen.loss.Digest, Life: seen.loss.Life, Age: age})
		}
	}
	return s
}

// Take implements exchange.Quarantine.
func (k *keeper) Take(s exchange.Sightings) exchange.Sightings {
	now := boottime.Elapsed()
	var fresh exchange.Sightings
	for _, l := range s.Losses {
		if k.tracker.Lose(quarantine.Loss{Digest: l.Digest, Life: l.Life, At: now - l.Age}) {
			fresh.Losses = append(fresh.Losses, l)
			k.noteEnded(l.Life, now-l.Age)
		}
	}
	for _, d := range s.Answered {
		if k.tracker.Survive(d, now) {
			fresh.Answered = append(fresh.Answered, d)
		}
	}
	return fresh
}

// endedLife is an upstream that ended, and when.
type endedLife struct {
	life quarantine.Life
	at   time.Duration
}

// noteEnded keeps that an upstream ended, and looks for what this host gave up there.
func (k *keeper) noteEnded(life quarantine.Life, at time.Duration) {
	k.mu.Lock()
	for _, e := range k.ended {
		if e.life == life {
			k.mu.Unlock()
			return
		}
	}
	k.ended = lastOf(append(k.ended, endedLife{life: life, at: at}), maxEnded)
	k.mu.Unlock()
	k.exposures.endedElsewhere(exchange.Name(life), boottime.Elapsed()-at)
}

// Standing implements exchange.Quarantine.
func (k *keeper) Standing() exchange.Standing {
	now := boottime.Elapsed()
	var s exchange.Standing
	for _, suspect := range k.tracker.Suspects(now, suspectFor, maxToldSuspects) {
		s.Suspects = append(s.Suspects, exchange.AgedSuspicion{Digest: suspect.Digest, Events: suspect.Events, FirstAge: now - suspect.First})
	}
	for _, e := range k.register.All() {
		if e.Revision == 0 || now-e.Heard < verdictFor {
			s.Verdicts = append(s.Verdicts, e.Verdict)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for d, t := range k.told {
		if now-t.at >= toldFor {
			delete(k.told, d)
			continue
		}
		s.Suspects = append(s.Suspects, exchange.AgedSuspicion{
			Digest: d, Events: t.events, Age: now - t.at, FirstAge: now - t.first,
		})
	}
	kept := k.ended[:0]
	for _, e := range k.ended {
		if now-e.at > endedFor {
			continue
		}
		kept = append(kept, e)
		s.Ended = append(s.Ended, exchange.Ending{Life: e.life, Age: now - e.at, Explained: k.tracker.Explained(e.life)})
	}
	k.ended = kept
	return s
}

// TakeStanding implements exchange.Quarantine.
func (k *keeper) TakeStanding(s exchange.Standing) {
	now := boottime.Elapsed()
	for _, e := range s.Ended {
		if e.Explained {
			k.tracker.Explain(e.Life, now-e.Age)
		}
		k.noteEnded(e.Life, now-e.Age)
	}
	for _, v := range s.Verdicts {
		if k.register.Hear(v, now) {
			k.know(v, "exchange")
		}
	}
	for _, suspect := range s.Suspects {
		k.takeSuspect(suspect, now)
	}
}

// takeSuspect takes a suspect that the hub told. One that was answered here is no suspect,
// and the hub hears that.
func (k *keeper) takeSuspect(s exchange.AgedSuspicion, now time.Duration) {
	if k.tracker.SurvivedSince(s.Digest, now-s.FirstAge) {
		k.seeAnswered(s.Digest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at := now - s.Age
	if known, ok := k.told[s.Digest]; ok && at < known.at || len(k.told) >= 2*maxToldSuspects {
		return
	}
	k.told[s.Digest] = toldSuspect{events: s.Events, first: now - s.FirstAge, at: at}
}

// Judges implements exchange.Quarantine.
func (k *keeper) Judges(judges bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.judges = judges
}
