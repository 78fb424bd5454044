package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Suspect is a request with which upstreams terminated in more than one event.
type Suspect struct {
	Digest Digest
	// Events is the number of these events. FirstAt is the time of the first of them.
	Events  int
	FirstAt time.Duration
}

// MeetsThreshold reports whether the suspect has the minimum number of events for a verdict.
func (s Suspect) MeetsThreshold() bool { return s.Events >= minEvents(s.Digest) }

// minEvents returns the minimum number of events for a verdict.
func minEvents(d Digest) int {
	if d.IsPart() {
		return minPartEvents
	}
	return minVerdictEvents
}

// Suspects returns the suspects whose last loss is no older than maxAge, those with the most
// events first, and at most limit of them.
func (t *Tracker) Suspects(now, maxAge time.Duration, limit int) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Suspect
	for d, history := range t.lostRepeatedly {
		if now-history.lastLossAt() > maxAge {
			continue
		}
		if events := eventTimes(t.unexplainedLosses(history, now)); len(events) >= minSuspectEvents {
			list = append(list, Suspect{Digest: d, Events: len(events), FirstAt: events[0]})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		if a.Events != b.Events {
			return b.Events - a.Events
		}
		return bytes.Compare(a.Digest[:], b.Digest[:])
	})
	return list[:min(len(list), limit)]
}

// Finding is the evidence for a verdict.
type Finding struct {
	Digest Digest
	// Events is the number of events for which the request is the only likely cause. Upstreams
	// is the number of upstreams that terminated with the request. UnexplainedTerminations is
	// the number of all upstreams that terminated, for no known cause, between the first and the
	// last termination with the request.
	Events, Upstreams, UnexplainedTerminations int
	// Brittle is set if one of the upstreams was brittle.
	Brittle bool
}

// FindPoisonRequests returns the requests found to be poison requests, and records verdicts on
// them.
//
// Of the requests lost with an upstream, only the one with the most events counts as the cause:
// a poison request ran at each upstream that it terminated, and each sound request at only some
// of these. If two requests have equally many events, neither counts as the cause until another
// termination tells them apart. Between a request and a part of its prompt, the request does: the part
// counts once it was lost more often than any request.
func (t *Tracker) FindPoisonRequests(now time.Duration) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropStale(now)
	var findings []Finding
	for d, h := range t.lostRepeatedly {
		f, ok := t.evaluate(d, h, now)
		if ok {
			findings = append(findings, f)
		}
	}
	for _, f := range findings {
		t.setVerdict(f.Digest, f.Events)
	}
	return findings
}

// evaluate reports whether the request is found to be a poison request, and returns the
// evidence. The lock must be held.
func (t *Tracker) evaluate(d Digest, history *lossHistory, now time.Duration) (Finding, bool) {
	losses := t.unexplainedLosses(history, now)
	if t.isSound(d, now) || len(eventTimes(losses)) < minEvents(d) || d.IsPart() && !t.hasContrast(d, losses) {
		return Finding{}, false
	}
	leading := eventTimes(t.leadingLosses(d, history, now))
	f := Finding{Digest: d, Events: len(leading), Upstreams: len(losses), UnexplainedTerminations: t.countUnexplainedTerminations(d, losses[0].at, losses[len(losses)-1].at), Brittle: t.hasBrittleLoss(history)}
	required := f.requiredEvents()
	if s, ok := t.survived.Peek(d); ok && now-s.lastAt < survivalRetention {
		if f.Brittle {
			required = max(required, minEventsAnyShare)
		} else {
			required = minEventsAnyShare
		}
	}
	return f, len(leading) >= required && now-leading[required-1] >= SettleDelay
}

// requiredEvents returns the minimum number of events for a verdict, which depends on the
// request's share of all unexplained terminations.
func (f *Finding) requiredEvents() int {
	switch share := float64(f.Upstreams) / float64(max(1, f.UnexplainedTerminations)); {
	case share >= highShare:
		return minEvents(f.Digest)
	case f.Digest.IsPart() && share >= mediumShare:
		return minEventsAnyShare
	case f.Digest.IsPart():
		// Parts that most requests have in common are at many upstreams that terminate at the same time.
		return maxPartLosses + 1
	case share >= mediumShare:
		return minEventsMediumShare
	case f.Brittle:
		return maxLosses + 1
	default:
		return minEventsAnyShare
	}
}

// hasBrittleLoss reports whether one of the upstreams that were lost with the request was brittle. The lock must be held.
func (t *Tracker) hasBrittleLoss(history *lossHistory) bool {
	return slices.ContainsFunc(history.losses, func(l Loss) bool {
		upstream, ok := t.terminated.Peek(l.Incarnation)
		return ok && upstream.brittle
	})
}

// leadingLosses returns, in order of time, the request's losses in which no other request lost
// with the same upstream has as many events. The lock must be held.
func (t *Tracker) leadingLosses(d Digest, history *lossHistory, now time.Duration) []timedLoss {
	own := t.weigh(history, now)
	var list []timedLoss
	for _, l := range history.losses {
		upstream, ok := t.terminated.Peek(l.Incarnation)
		if !ok || upstream.explains(d) || now-upstream.at > lossRetention {
			continue
		}
		if !slices.ContainsFunc(upstream.digests, func(other Digest) bool { return other != d && t.outweighs(other, d, own, now) }) {
			list = append(list, timedLoss{at: upstream.at, ran: l.Ran})
		}
	}
	sortLosses(list)
	return list
}

// weight is the evidence against a request or part: the number of events and of lost upstreams.
type weight struct{ events, upstreams int }

// weigh returns the weight of the unexplained losses. The lock must be held.
func (t *Tracker) weigh(history *lossHistory, now time.Duration) weight {
	losses := t.unexplainedLosses(history, now)
	return weight{events: len(eventTimes(losses)), upstreams: len(losses)}
}

// outweighs reports whether another request or part that was lost with the same upstream keeps d, which has
// the given weight, from counting as the cause. The lock must be held.
func (t *Tracker) outweighs(other, d Digest, own weight, now time.Duration) bool {
	against := weight{events: t.withVerdict[other]}
	if history := t.lostRepeatedly[other]; history != nil {
		against = t.weigh(history, now)
	}
	switch {
	case other.IsPart() && !d.IsPart():
		return against.events > own.events
	case other.IsPart() && own.events >= minEventsAnyShare:
		// Of two parts with as many events, the one that was lost with more upstreams is the cause. Two
		// parts that are only ever lost together can't be told apart.
		return against.events > own.events || against.events == own.events && against.upstreams > own.upstreams
	}
	return against.events > 0 && against.events >= own.events
}

// countUnexplainedTerminations returns the number of upstreams that terminated for no cause that is
// known for requests, or for parts if d is one, between first and last, or within EventWindow before first or after last. The lock must
// be held.
func (t *Tracker) countUnexplainedTerminations(d Digest, first, last time.Duration) int {
	n := 0
	for _, upstream := range t.terminated.Values() {
		if !upstream.explains(d) && upstream.at >= first-EventWindow && upstream.at <= last+EventWindow {
			n++
		}
	}
	return n
}

// dropStale drops the requests with several losses whose last loss is older than lossRetention.
// The lock must be held.
func (t *Tracker) dropStale(now time.Duration) {
	for d, h := range t.lostRepeatedly {
		if now-h.lastLossAt() > lossRetention {
			delete(t.lostRepeatedly, d)
		}
	}
}
