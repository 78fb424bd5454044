package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Suspicion is a request that upstreams ended with more than once.
type Suspicion struct {
	Digest Digest
	// Events is at how many moments they did, First when the first one was.
	Events int
	First  time.Duration
}

// Judged says whether a suspect has as many events as a judgement needs.
func (s Suspicion) Judged() bool { return s.Events >= judgedEvents }

// Suspects lists the suspects whose last loss is within the span, those with the most events
// first, at most so many.
func (t *Tracker) Suspects(now, within time.Duration, most int) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Suspicion
	for d, h := range t.suspects {
		if now-h.last() > within {
			continue
		}
		if events := moments(t.counted(h, now)); len(events) >= suspectEvents {
			list = append(list, Suspicion{Digest: d, Events: len(events), First: events[0]})
		}
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		if a.Events != b.Events {
			return b.Events - a.Events
		}
		return bytes.Compare(a.Digest[:], b.Digest[:])
	})
	return list[:min(len(list), most)]
}

// Finding is the reason of a judgement.
type Finding struct {
	Digest Digest
	// Events is at how many moments upstreams ended with the request alone to blame, Upstreams
	// how many ended with it, and Lost how many did from the first to the last of them.
	Events, Upstreams, Lost int
}

// Judge returns the requests that are found to end upstreams, and blames them.
//
// Of the requests that an upstream ended with, only the one with the most events
// counts as its cause: a request to blame was at each end, the sound ones beside it at some.
// Where two have as many, neither counts until another end tells them apart.
func (t *Tracker) Judge(now time.Duration) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropStale(now)
	var findings []Finding
	for d, h := range t.suspects {
		f, ok := t.find(d, h, now)
		if ok {
			findings = append(findings, f)
		}
	}
	for _, f := range findings {
		t.blame(f.Digest)
	}
	return findings
}

// find says whether the request is to blame. The lock is held.
func (t *Tracker) find(d Digest, h *history, now time.Duration) (Finding, bool) {
	own := t.counted(h, now)
	if len(moments(own)) < judgedEvents {
		return Finding{}, false
	}
	led := moments(t.led(d, h, now))
	f := Finding{Digest: d, Events: len(led), Upstreams: len(own), Lost: t.lostWithin(own[0].at, own[len(own)-1].at)}
	needed := f.needed()
	if at, ok := t.survived.Peek(d); ok && now-at < survivalMemory {
		needed = sureEvents
	}
	return f, len(led) >= needed && now-led[needed-1] >= Settle
}

// needed is the number of events from which the request is judged.
func (f *Finding) needed() int {
	switch share := float64(f.Upstreams) / float64(max(1, f.Lost)); {
	case share >= mostShare:
		return judgedEvents
	case share >= likelyShare:
		return likelyEvents
	default:
		return sureEvents
	}
}

// led are, in order, the ends that the request is the likeliest cause of. The lock is held.
func (t *Tracker) led(d Digest, h *history, now time.Duration) []loss {
	events := len(moments(t.counted(h, now)))
	var list []loss
	for _, l := range h.losses {
		upstream, ok := t.ended.Peek(l.Incarnation)
		if !ok || upstream.explained || now-upstream.at > lossMemory {
			continue
		}
		if !slices.ContainsFunc(upstream.digests, func(other Digest) bool {
			rival := t.suspects[other]
			return other != d && rival != nil && len(moments(t.counted(rival, now))) >= events
		}) {
			list = append(list, loss{at: upstream.at, ran: l.Ran})
		}
	}
	sortLosses(list)
	return list
}

// lostWithin counts the upstreams lost within the span that nothing explains yet. The lock
// is held.
func (t *Tracker) lostWithin(first, last time.Duration) int {
	n := 0
	for _, upstream := range t.ended.Values() {
		if !upstream.explained && upstream.at >= first-SameMoment && upstream.at <= last+SameMoment {
			n++
		}
	}
	return n
}

// dropStale forgets suspects whose last loss is too long ago. The lock is held.
func (t *Tracker) dropStale(now time.Duration) {
	for d, h := range t.suspects {
		if now-h.last() > lossMemory {
			delete(t.suspects, d)
		}
	}
}
