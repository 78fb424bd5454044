package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// EventWindow is the time within which terminations of upstreams count as one event. If a
	// rack or a third of a service fails at once, many copies of a popular request are lost at
	// the same time, which is no stronger evidence than one termination. Hosts detect the end of
	// a process within a few milliseconds, and the earliest report counts. A loss in a run that
	// began after the previous termination is a separate event in any case: a request that
	// terminates upstreams immediately, and is retried, terminates three within milliseconds.
	EventWindow = 50 * time.Millisecond
	// maxClockError is the maximum difference between the times that hosts report for the same
	// moment: times are sent as ages in milliseconds, to which the message's time in transit
	// adds an error.
	maxClockError = 5 * time.Millisecond
	// SettleDelay is the time between the last event that a verdict needs and the verdict. In
	// that time hosts report, over two hubs, which other requests ran at the terminated
	// upstreams and which suspects were answered. Operators require a verdict within 3 s in
	// total.
	SettleDelay = 750 * time.Millisecond

	// minSuspectEvents is the minimum number of events of a suspect. One event isn't enough,
	// since each request that ran at a terminated upstream has one.
	minSuspectEvents = 2
	// minVerdictEvents is the minimum number of events for a verdict; operators specify three.
	// An event counts only if no other request lost with the same upstream has as many events.
	// The request must have run at no less than the fraction highShare of the upstreams that
	// terminated between its first and last loss.
	minVerdictEvents = 3
	highShare        = 0.75
	// minEventsMediumShare is the minimum number of events if the request ran at a smaller
	// fraction of those upstreams, but no less than mediumShare. The fraction is smaller while
	// upstreams also terminate for other reasons; a sound request runs at few of those. Two
	// poison requests at the same time have a share of half each.
	minEventsMediumShare = 4
	mediumShare          = 0.5
	// minEventsAnyShare is the minimum number of events for a verdict whatever the share, unless one of
	// the upstreams was brittle: while these terminate because of their load, a request that is sent again each
	// time can be lost at as many. A sound request is sent six times at most, including its caller's retry,
	// and rarely has five events otherwise.
	minEventsAnyShare = 5

	// lossRetention is the age up to which a loss counts. A poison request whose losses are
	// further apart isn't found.
	lossRetention = 10 * time.Minute
	// survivalRetention is the time after an answer in which the request needs
	// minEventsAnyShare events for a verdict: popular requests run at many upstreams at any
	// time, and some of these terminate for other reasons. An older answer doesn't count, since
	// a request that one version answered may terminate the upstreams of the next.
	survivalRetention = time.Minute

	// The following limits keep the tracker's memory at a few MB at most, however many distinct
	// bodies callers send.
	maxLostOnce           = 4096 // requests with one loss
	maxLostRepeatedly     = 512  // requests with several losses
	maxLosses             = 8    // losses of one request
	maxPartLosses         = 32   // losses of one part, the latest
	maxTerminated         = 512  // terminated upstreams
	maxDigestsPerUpstream = 256  // requests lost with one upstream, beyond which only tracked ones are added
	maxSurvivals          = 4096 // answered requests
)

// Incarnation identifies one incarnation of an upstream, by a hash of its name.
type Incarnation uint32

// Loss says that a request may have been running at an upstream when it terminated.
type Loss struct {
	Digest      Digest
	Incarnation Incarnation
	// At is when the upstream terminated, on the caller's monotonic clock, which goes on while
	// the machine is suspended.
	At time.Duration
	// Ran is how long the request had been at the upstream by then.
	Ran time.Duration
	// Brittle is set if the upstream had stated that it terminates when it rejects too many requests.
	Brittle bool
}

// Tracker finds poison requests from losses and survivals. It is safe for concurrent use. All
// times are readings of one monotonic clock.
type Tracker struct {
	mu sync.Mutex
	// lostOnce holds the requests with one loss, and lostRepeatedly holds those with several.
	// survived holds the answers to each request.
	lostOnce       *simplelru.LRU[Digest, *lossHistory]
	lostRepeatedly map[Digest]*lossHistory
	terminated     *simplelru.LRU[Incarnation, *terminatedUpstream]
	survived       *simplelru.LRU[Digest, survivals]
	// partAnswers holds the latest survivals of parts, in order.
	partAnswers []partAnswer
	// withVerdict holds the requests that have a verdict, with the number of events by which it was
	// made; 0 if another host made it.
	withVerdict map[Digest]int
}

// lossHistory holds the losses of one request.
type lossHistory struct {
	losses []Loss
}

// terminatedUpstream is an incarnation of an upstream that terminated, with the digests of the
// requests that were lost with it.
type terminatedUpstream struct {
	at      time.Duration
	digests []Digest
	// explained says that a request with a verdict ran at the upstream. The termination then
	// doesn't count against the other requests. explainedByPart says that a part with a verdict was
	// there. Only such a termination doesn't count against other parts: the verdict on a request
	// doesn't tell whether one of its parts was the cause.
	explained, explainedByPart bool
	// simultaneous is the number of other upstreams that terminated within EventWindow.
	simultaneous int
	// brittle is set if the upstream may have terminated because of its load.
	brittle bool
}

// massTerminations is the number of simultaneous terminations from which on they say nothing about parts: a
// poison part terminates single upstreams, and the parts that most requests have in common are at each
// upstream of a rack that fails.
const massTerminations = 3

// explains reports whether the termination doesn't count against the request or part.
func (u *terminatedUpstream) explains(d Digest) bool {
	if d.IsPart() {
		return u.explainedByPart || u.simultaneous+1 >= massTerminations
	}
	return u.explained
}

// markExplained records that the request or part with a verdict was at the upstream.
func (u *terminatedUpstream) markExplained(by Digest) {
	u.explained = true
	u.explainedByPart = u.explainedByPart || by.IsPart()
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		lostOnce:       newLRU[Digest, *lossHistory](maxLostOnce),
		lostRepeatedly: make(map[Digest]*lossHistory),
		terminated:     newLRU[Incarnation, *terminatedUpstream](maxTerminated),
		survived:       newLRU[Digest, survivals](maxSurvivals),
		withVerdict:    make(map[Digest]int),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // the sizes are constants above 0
	}
	return lru
}

// RecordLoss adds a loss. It reports whether the loss was new and there was room for it.
func (t *Tracker) RecordLoss(l Loss) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSound(l.Digest, l.At) {
		return false
	}
	l.Incarnation = t.resolveIncarnation(l)
	upstream := t.getOrAddUpstream(l)
	if slices.Contains(upstream.digests, l.Digest) || len(upstream.digests) >= maxDigestsPerUpstream && !t.isTracked(l.Digest) {
		return false
	}
	upstream.digests = append(upstream.digests, l.Digest)
	if t.hasVerdict(l.Digest) {
		upstream.markExplained(l.Digest)
		return true
	}
	t.addToHistory(l)
	return true
}

// isTracked reports whether the request has losses or a verdict. The lock must be held.
func (t *Tracker) isTracked(d Digest) bool {
	return t.hasVerdict(d) || t.lostRepeatedly[d] != nil || t.lostOnce.Contains(d)
}

func (t *Tracker) hasVerdict(d Digest) bool {
	_, ok := t.withVerdict[d]
	return ok
}

// sameTerminationWindow is the time within which two reported terminations under one name are
// the same termination. If upstreams keep their names when they restart, nothing else
// distinguishes one termination from the next.
const sameTerminationWindow = time.Second

// resolveIncarnation returns the incarnation under which the loss is recorded: the one that the
// loss names or, if that one terminated earlier, its first successor that didn't. The lock must
// be held.
func (t *Tracker) resolveIncarnation(l Loss) Incarnation {
	const maxTerminations = 64 // of one name, within lossRetention
	incarnation := l.Incarnation
	for range maxTerminations {
		recorded, ok := t.terminated.Peek(incarnation)
		if !ok || l.At-recorded.at < sameTerminationWindow {
			break
		}
		incarnation = incarnation.successor()
	}
	return incarnation
}

// successor returns the identifier of the next incarnation under the same name. The factor,
// FNV's prime, spreads the identifiers.
func (i Incarnation) successor() Incarnation { return i*16777619 + 1 }

// getOrAddUpstream returns the record of the loss's upstream, and adds it if there is none. The
// lock must be held.
func (t *Tracker) getOrAddUpstream(l Loss) *terminatedUpstream {
	upstream, ok := t.terminated.Get(l.Incarnation)
	if !ok {
		upstream = &terminatedUpstream{at: l.At}
		for _, other := range t.terminated.Values() {
			if (l.At - other.at).Abs() <= EventWindow {
				other.simultaneous++
				upstream.simultaneous++
			}
		}
		t.terminated.Add(l.Incarnation, upstream)
	}
	upstream.at = min(upstream.at, l.At)
	upstream.brittle = upstream.brittle || l.Brittle
	return upstream
}

// addToHistory adds the loss to the request's history. The lock must be held.
func (t *Tracker) addToHistory(l Loss) {
	if h := t.lostRepeatedly[l.Digest]; h != nil {
		switch {
		case l.Digest.IsPart():
			h.losses = append(h.losses, l)
			h.losses = h.losses[max(0, len(h.losses)-maxPartLosses):]
		case len(h.losses) < maxLosses:
			h.losses = append(h.losses, l)
		}
		return
	}
	h, ok := t.lostOnce.Get(l.Digest)
	if !ok {
		t.lostOnce.Add(l.Digest, &lossHistory{losses: []Loss{l}})
		return
	}
	t.lostOnce.Remove(l.Digest)
	h.losses = append(h.losses, l)
	t.lostRepeatedly[l.Digest] = h
	if len(t.lostRepeatedly) > maxLostRepeatedly {
		t.dropOldest()
	}
}

// dropOldest drops, of the requests with several losses, the one whose last loss is the oldest.
// The lock must be held.
func (t *Tracker) dropOldest() {
	var oldest Digest
	first := true
	for d, h := range t.lostRepeatedly {
		if first || h.lastLossAt() < t.lostRepeatedly[oldest].lastLossAt() {
			oldest, first = d, false
		}
	}
	delete(t.lostRepeatedly, oldest)
}

func (h *lossHistory) lastLossAt() time.Duration { return h.losses[len(h.losses)-1].At }

// RecordSurvival records that a request was answered, because an upstream completed it and
// didn't terminate, and drops its losses. It reports whether it had any.
func (t *Tracker) RecordSurvival(d Digest, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.IsPart() {
		t.recordPartAnswer(d, now)
	}
	s, _ := t.survived.Peek(d)
	if now-s.lastAt >= survivalRetention {
		s.count = 0
	}
	t.survived.Add(d, survivals{lastAt: now, count: s.count + 1})
	hadLosses := t.lostOnce.Remove(d) || t.lostRepeatedly[d] != nil
	delete(t.lostRepeatedly, d)
	return hadLosses
}

// Survived reports whether the request was answered within survivalRetention.
func (t *Tracker) Survived(d Digest, now time.Duration) bool {
	return t.SurvivedSince(d, now-survivalRetention)
}

// SurvivedSince reports whether the request was answered at or after the given time.
func (t *Tracker) SurvivedSince(d Digest, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.survived.Peek(d)
	return ok && s.lastAt >= since
}

// SetVerdict records a verdict on the request: it explains the terminations of the upstreams where
// the request ran, so that these no longer count against other requests.
func (t *Tracker) SetVerdict(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setVerdict(d, t.withVerdict[d])
}

func (t *Tracker) setVerdict(d Digest, events int) {
	t.withVerdict[d] = events
	t.lostOnce.Remove(d)
	delete(t.lostRepeatedly, d)
	for _, upstream := range t.terminated.Values() {
		if slices.Contains(upstream.digests, d) {
			upstream.markExplained(d)
		}
	}
}

// ClearVerdict records that the request no longer has a verdict, and drops its losses.
func (t *Tracker) ClearVerdict(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.withVerdict, d)
	t.lostOnce.Remove(d)
	delete(t.lostRepeatedly, d)
}

// Explained reports whether a request with a verdict ran at the upstream when it last
// terminated.
func (t *Tracker) Explained(i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	explained := false
	for upstream, ok := t.terminated.Peek(i); ok; upstream, ok = t.terminated.Peek(i) {
		explained, i = upstream.explained, i.successor()
	}
	return explained
}

// MarkExplained records that a request with a verdict ran at the upstream when it terminated.
func (t *Tracker) MarkExplained(i Incarnation, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrAddUpstream(Loss{Incarnation: t.resolveIncarnation(Loss{Incarnation: i, At: at}), At: at}).explained = true
}

// EventCount returns the number of unexplained events in which upstreams terminated with the
// request.
func (t *Tracker) EventCount(d Digest, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.lostRepeatedly[d]
	if h == nil {
		h, _ = t.lostOnce.Peek(d)
	}
	if h == nil {
		return 0
	}
	return len(eventTimes(t.unexplainedLosses(h, now)))
}

// unexplainedLosses returns, in order of time, the losses that count against a request: those
// that are no older than lossRetention and that no request with a verdict explains. The lock
// must be held.
func (t *Tracker) unexplainedLosses(history *lossHistory, now time.Duration) []timedLoss {
	var list []timedLoss
	for _, l := range history.losses {
		upstream, ok := t.terminated.Peek(l.Incarnation)
		if !ok || upstream.explains(l.Digest) || now-upstream.at > lossRetention {
			continue
		}
		list = append(list, timedLoss{at: upstream.at, ran: l.Ran}) // upstream.at is the earliest reported time
	}
	sortLosses(list)
	return list
}

// timedLoss holds when an upstream terminated with a request, and how long the request had been
// there.
type timedLoss struct{ at, ran time.Duration }

func sortLosses(list []timedLoss) {
	slices.SortFunc(list, func(a, b timedLoss) int { return cmp.Compare(a.at, b.at) })
}

// eventTimes groups losses, which must be in order of time, into events. It returns the time of
// the first loss of each event.
func eventTimes(list []timedLoss) []time.Duration {
	var times []time.Duration
	for i, l := range list {
		if i == 0 || l.at-times[len(times)-1] > EventWindow || l.at-l.ran > list[i-1].at-maxClockError {
			times = append(times, l.at)
		}
	}
	return times
}
