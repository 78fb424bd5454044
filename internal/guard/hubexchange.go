package guard

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const (
	// hubSuspectTTL is how long a suspect that the hub sent counts. It covers several reports
	// and replies, of which one may be lost.
	hubSuspectTTL = time.Second
	// recentRetention is the maximum age of the losses that are sent to hubs.
	recentRetention = 30 * time.Second
	// terminationTTL is how long an upstream's termination is sent to followers after this host
	// recorded it. It covers several reports and replies. A termination that a request with a
	// verdict explains is sent until explainedTTL after it happened, since the verdict is made
	// later. maxTerminations bounds the number of stored terminations; the newest are kept.
	terminationTTL  = 800 * time.Millisecond
	explainedTTL    = 5 * time.Second
	maxTerminations = 128
	// maxSentSuspects bounds the number of this host's suspects that are sent to followers.
	// Twice as many suspects from the hub are kept and forwarded.
	maxSentSuspects = 64
	// storedVerdictTTL is how long a host sends a stored verdict to followers after it made or
	// received it. Followers also receive it from the store's table a moment later.
	storedVerdictTTL = 4 * time.Second
	// suspectTTL is how long after its last loss a suspect is sent to followers. In that time
	// they hold back other requests with its content, and report to the hub if it is answered.
	suspectTTL = 5 * time.Second
	// maxSightings bounds the number of sightings not yet sent to the hub, and separately the
	// number of recent losses; the newest are kept.
	maxSightings = 256
)

// sightingBuffer holds the sightings not yet sent to the hub, and the recent losses, which are
// sent to a new hub again.
type sightingBuffer struct {
	unsent, recentLosses []sighting
}

// sighting is a loss of a request or, if answered is set, the answer to a suspect. For an
// answer, only Digest and At are set in loss.
type sighting struct {
	loss     quarantine.Loss
	answered bool
}

func (b *sightingBuffer) add(s sighting) {
	b.unsent = keepLast(append(b.unsent, s), maxSightings)
	if !s.answered {
		b.recentLosses = keepLast(append(b.recentLosses, s), maxSightings)
	}
}

// keepLast returns the last elements of a list, at most the given number.
func keepLast[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return append([]T(nil), list[len(list)-limit:]...)
}

func (g *Guard) addLoss(l quarantine.Loss) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sightings.add(sighting{loss: l})
}

func (g *Guard) addAnswered(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.ContainsFunc(g.sightings.unsent, func(s sighting) bool { return s.answered && s.loss.Digest == d }) {
		return
	}
	g.sightings.add(sighting{loss: quarantine.Loss{Digest: d, At: boottime.Elapsed()}, answered: true})
}

// Sightings implements exchange.Quarantine.
func (g *Guard) Sightings() exchange.Sightings {
	g.mu.Lock()
	defer g.mu.Unlock()
	unsent := g.sightings.unsent
	g.sightings.unsent = nil
	return agedSightings(unsent, recentRetention)
}

// RecentSightings implements exchange.Quarantine.
func (g *Guard) RecentSightings() exchange.Sightings {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sightings.unsent = nil
	return agedSightings(g.sightings.recentLosses, recentRetention)
}

func agedSightings(list []sighting, maxAge time.Duration) exchange.Sightings {
	now := boottime.Elapsed()
	var s exchange.Sightings
	for _, seen := range list {
		switch age := now - seen.loss.At; {
		case age > maxAge:
		case seen.answered:
			s.Answered = append(s.Answered, seen.loss.Digest)
		default:
			s.Losses = append(s.Losses, exchange.AgedLoss{Digest: seen.loss.Digest, Incarnation: seen.loss.Incarnation, Age: age, Ran: seen.loss.Ran})
		}
	}
	return s
}

// AddSightings implements exchange.Quarantine.
func (g *Guard) AddSightings(s exchange.Sightings) exchange.Sightings {
	now := boottime.Elapsed()
	var fresh exchange.Sightings
	for _, l := range s.Losses {
		if g.tracker.RecordLoss(quarantine.Loss{Digest: l.Digest, Incarnation: l.Incarnation, At: now - l.Age, Ran: l.Ran, Brittle: g.options.Brittle(l.Incarnation)}) {
			fresh.Losses = append(fresh.Losses, l)
			g.addTermination(l.Incarnation, now-l.Age)
		}
	}
	for _, d := range s.Answered {
		if g.tracker.RecordSurvival(d, now) {
			fresh.Answered = append(fresh.Answered, d)
		}
	}
	return fresh
}

// termination holds when an upstream terminated, and when this host recorded that.
type termination struct {
	incarnation              quarantine.Incarnation
	terminatedAt, recordedAt time.Duration
}

// addTermination records that an upstream terminated, unless that is recorded already, and has
// the run tracker report the runs that may be the cause.
func (g *Guard) addTermination(i quarantine.Incarnation, at time.Duration) {
	g.mu.Lock()
	for _, known := range g.terminations {
		if known.incarnation == i {
			g.mu.Unlock()
			return
		}
	}
	g.terminations = keepLast(append(g.terminations, termination{incarnation: i, terminatedAt: at, recordedAt: boottime.Elapsed()}), maxTerminations)
	g.mu.Unlock()
	g.options.OnTermination(i)
	g.runs.recordRemoteTermination(i, boottime.Elapsed()-at)
}

// statusCacheTTL is how long the status for followers is cached. A hub has up to 64 followers,
// each of which requests the status seven times a second.
const statusCacheTTL = 50 * time.Millisecond

// Status implements exchange.Quarantine.
func (g *Guard) Status() exchange.QuarantineStatus {
	now := boottime.Elapsed()
	g.mu.Lock()
	status, fresh := g.cachedStatus, now-g.cachedStatusAt < statusCacheTTL && g.cachedStatusAt != 0
	g.mu.Unlock()
	if fresh {
		return status
	}
	status = g.buildStatus(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cachedStatus, g.cachedStatusAt = status, now
	return status
}

// buildStatus returns the current status for followers.
func (g *Guard) buildStatus(now time.Duration) exchange.QuarantineStatus {
	var s exchange.QuarantineStatus
	for _, tracked := range g.tracker.Suspects(now, suspectTTL, maxSentSuspects) {
		s.Suspects = append(s.Suspects, exchange.AgedSuspect{Digest: tracked.Digest, Events: tracked.Events, FirstAge: now - tracked.FirstAt})
	}
	for _, e := range g.register.All() {
		if e.Revision == 0 || now-e.ReceivedAt < storedVerdictTTL {
			s.Verdicts = append(s.Verdicts, e.Verdict)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for d, suspect := range g.hubSuspects {
		if now-suspect.reportedAt >= hubSuspectTTL {
			delete(g.hubSuspects, d)
			continue
		}
		s.Suspects = append(s.Suspects, exchange.AgedSuspect{
			Digest: d, Events: suspect.events, Age: now - suspect.reportedAt, FirstAge: now - suspect.firstAt,
		})
	}
	kept := g.terminations[:0]
	for _, known := range g.terminations {
		if now-known.terminatedAt > explainedTTL {
			continue
		}
		kept = append(kept, known)
		if explained := g.tracker.Explained(known.incarnation); explained || now-known.recordedAt < terminationTTL {
			s.Terminated = append(s.Terminated, exchange.Termination{Incarnation: known.incarnation, Age: now - known.terminatedAt, Explained: explained})
		}
	}
	g.terminations = kept
	return s
}

// ApplyStatus implements exchange.Quarantine.
func (g *Guard) ApplyStatus(s exchange.QuarantineStatus) {
	now := boottime.Elapsed()
	for _, e := range s.Terminated {
		if e.Explained {
			g.tracker.MarkExplained(e.Incarnation, now-e.Age)
		}
		g.addTermination(e.Incarnation, now-e.Age)
	}
	for _, v := range s.Verdicts {
		if g.register.Add(v, now) {
			g.applyVerdict(v, "exchange")
		}
	}
	for _, suspect := range s.Suspects {
		g.addHubSuspect(suspect, now)
	}
}

// addHubSuspect adds a suspect that the hub sent. If it was answered at this host after the first
// termination with it, it isn't a suspect, and the answer is reported to the hub.
func (g *Guard) addHubSuspect(s exchange.AgedSuspect, now time.Duration) {
	if g.tracker.SurvivedSince(s.Digest, now-s.FirstAge) {
		g.addAnswered(s.Digest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now - s.Age
	if known, ok := g.hubSuspects[s.Digest]; ok && at < known.reportedAt || len(g.hubSuspects) >= 2*maxSentSuspects {
		return
	}
	g.hubSuspects[s.Digest] = hubSuspect{events: s.Events, firstAt: now - s.FirstAge, reportedAt: at}
}
