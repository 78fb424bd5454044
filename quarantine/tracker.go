package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// SameMoment is the time within which upstreams that end count as one event: a rack
	// or a third of a service that is lost at once ends many copies of a popular
	// request at the same moment, and says of them no more than the end of one. Hosts
	// notice the end of a process within some milliseconds, and the earliest word counts.
	// A run that began after the end before is another event all the same: a request that
	// ends upstreams at once, and is sent on, ends three within milliseconds.
	SameMoment = 50 * time.Millisecond
	// clockError is by how much hosts' words on times differ: they are told in
	// milliseconds and as ages, which the way of a message adds to.
	clockError = 5 * time.Millisecond
	// Settle is the time between the event that makes a request suspect enough and the
	// judgement. In it hosts tell what else ran at the upstreams that ended, over two
	// hubs, and which suspects they saw answered; the operators give 3 s in all.
	Settle = 750 * time.Millisecond

	// suspectEvents is the number of events from which a request is suspect. One is
	// what each request sees that ran at an upstream that ended.
	suspectEvents = 2
	// judgedEvents is the number of events after which a request is judged, if none of
	// the others that were there has as many: the operators give three. It has to have
	// run at mostShare of the upstreams lost between its first and last loss.
	judgedEvents = 3
	mostShare    = 0.75
	// likelyEvents and likelyShare are the same for a request beside which upstreams end
	// for other reasons, too: of those a sound request runs at few. Two requests that end
	// upstreams at the same time have a half each.
	likelyEvents = 4
	likelyShare  = 0.5
	// sureEvents is the number whatever the share. A sound request is sent six times at
	// most, its caller's repeat included, and is rarely broken off at five moments.
	sureEvents = 5

	// lossMemory is how long losses count. It bounds how rarely a request may come that
	// is found.
	lossMemory = 10 * time.Minute
	// survivalMemory is how long a request that was answered is judged after sureEvents
	// only: popular ones run at many upstreams at any time, of which some end. One that
	// a version answered may end the upstreams of the next.
	survivalMemory = time.Minute

	// Bounds of memory: some MB at the very most, however many bodies callers make up.
	maxSingles     = 4096 // requests with one loss
	maxSuspects    = 512  // requests with more
	maxLosses      = 8    // losses of one request
	maxEnded       = 512  // upstreams that ended
	maxPerUpstream = 256  // requests at one of them that were at no other one
	maxSurvivals   = 4096 // requests that were answered
)

// Incarnation names one incarnation of an upstream.
type Incarnation uint32

// Loss says that a request may have run at an upstream when that ended.
type Loss struct {
	Digest      Digest
	Incarnation Incarnation
	// At is when the upstream ended, on a steady clock of the caller's that counts
	// suspensions.
	At time.Duration
	// Ran is for how long the request had been there then.
	Ran time.Duration
}

// Tracker judges by losses and survivals which requests end upstreams. It is safe for
// concurrent use. All times are readings of one steady clock.
type Tracker struct {
	mu sync.Mutex
	// singles are requests with one loss, suspects those with more.
	singles  *simplelru.LRU[Digest, *history]
	suspects map[Digest]*history
	ended    *simplelru.LRU[Incarnation, *endedUpstream]
	survived *simplelru.LRU[Digest, time.Duration]
	// blamed are the requests that are judged.
	blamed map[Digest]bool
}

// history is what is held against one request.
type history struct {
	losses []Loss
}

// endedUpstream is an upstream that ended.
type endedUpstream struct {
	at      time.Duration
	digests []Digest
	// explained says that a request that is judged ran there: the others are cleared.
	explained bool
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		singles:  newLRU[Digest, *history](maxSingles),
		suspects: make(map[Digest]*history),
		ended:    newLRU[Incarnation, *endedUpstream](maxEnded),
		survived: newLRU[Digest, time.Duration](maxSurvivals),
		blamed:   make(map[Digest]bool),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // the sizes are constants above 0
	}
	return lru
}

// Lose takes in a loss. It reports whether it was new.
func (t *Tracker) Lose(l Loss) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.Incarnation = t.resolve(l)
	upstream := t.endedUpstream(l)
	if slices.Contains(upstream.digests, l.Digest) || len(upstream.digests) >= maxPerUpstream && !t.known(l.Digest) {
		return false
	}
	upstream.digests = append(upstream.digests, l.Digest)
	if t.blamed[l.Digest] {
		upstream.explained = true
		return true
	}
	t.add(l)
	return true
}

// known says whether anything is held against the request. The lock is held.
func (t *Tracker) known(d Digest) bool {
	return t.blamed[d] || t.suspects[d] != nil || t.singles.Contains(d)
}

// sameEnd is the time within which two ends under one name are the same one. Where upstreams
// keep their names when they start again, nothing else tells these apart.
const sameEnd = time.Second

// resolve names the incarnation that the loss is about: as the loss does, or by a name made of
// that for each time that it ended before. The lock is held.
func (t *Tracker) resolve(l Loss) Incarnation {
	const mostTold = 64 // of one name, in the time that losses count
	name := l.Incarnation
	for range mostTold {
		known, ok := t.ended.Peek(name)
		if !ok || l.At-known.at < sameEnd {
			break
		}
		name = name.next()
	}
	return name
}

// next is the name of the incarnation after this one; FNV's prime spreads the names.
func (l Incarnation) next() Incarnation { return l*16777619 + 1 }

// endedUpstream is the upstream of the loss. The lock is held.
func (t *Tracker) endedUpstream(l Loss) *endedUpstream {
	upstream, ok := t.ended.Get(l.Incarnation)
	if !ok {
		upstream = &endedUpstream{at: l.At}
		t.ended.Add(l.Incarnation, upstream)
	}
	upstream.at = min(upstream.at, l.At)
	return upstream
}

// add adds to what is held against a request. The lock is held.
func (t *Tracker) add(l Loss) {
	if h := t.suspects[l.Digest]; h != nil {
		if len(h.losses) < maxLosses {
			h.losses = append(h.losses, l)
		}
		return
	}
	h, ok := t.singles.Get(l.Digest)
	if !ok {
		t.singles.Add(l.Digest, &history{losses: []Loss{l}})
		return
	}
	t.singles.Remove(l.Digest)
	h.losses = append(h.losses, l)
	t.suspects[l.Digest] = h
	if len(t.suspects) > maxSuspects {
		t.dropOldest()
	}
}

// dropOldest forgets the suspect whose last loss is the oldest. The lock is held.
func (t *Tracker) dropOldest() {
	var oldest Digest
	first := true
	for d, h := range t.suspects {
		if first || h.last() < t.suspects[oldest].last() {
			oldest, first = d, false
		}
	}
	delete(t.suspects, oldest)
}

func (h *history) last() time.Duration { return h.losses[len(h.losses)-1].At }

// Survive takes in that a request was answered: an upstream ran it to its end and lived. It
// reports whether that is news: something was held against the request.
func (t *Tracker) Survive(d Digest, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.survived.Add(d, now)
	held := t.singles.Remove(d) || t.suspects[d] != nil
	delete(t.suspects, d)
	return held
}

// Survived says whether the request was answered lately.
func (t *Tracker) Survived(d Digest, now time.Duration) bool {
	return t.SurvivedSince(d, now-survivalMemory)
}

// SurvivedSince says whether the request was answered after a time.
func (t *Tracker) SurvivedSince(d Digest, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.survived.Peek(d)
	return ok && at >= since
}

// Blame takes in that a request is judged: it explains the ends of the upstreams that it
// ran at, and clears the others that were there.
func (t *Tracker) Blame(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blame(d)
}

func (t *Tracker) blame(d Digest) {
	t.blamed[d] = true
	t.singles.Remove(d)
	delete(t.suspects, d)
	for _, upstream := range t.ended.Values() {
		if slices.Contains(upstream.digests, d) {
			upstream.explained = true
		}
	}
}

// Clear takes in that a request is no longer judged. What was held against it is
// forgotten.
func (t *Tracker) Clear(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.blamed, d)
	t.singles.Remove(d)
	delete(t.suspects, d)
}

// Explained says whether a request that is judged ran at the upstream when that ended last.
func (t *Tracker) Explained(i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	explained := false
	for e, ok := t.ended.Peek(i); ok; e, ok = t.ended.Peek(i) {
		explained, i = e.explained, i.next()
	}
	return explained
}

// Explain takes in that a request that is judged ran at the upstream when that ended.
func (t *Tracker) Explain(i Incarnation, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endedUpstream(Loss{Incarnation: t.resolve(Loss{Incarnation: i, At: at}), At: at}).explained = true
}

// Events is the number of moments at which upstreams ended with the request, as far as
// nothing else explains them.
func (t *Tracker) Events(d Digest, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.suspects[d]
	if h == nil {
		h, _ = t.singles.Peek(d)
	}
	if h == nil {
		return 0
	}
	return len(moments(t.counted(h, now)))
}

// counted are a request's losses that count against it, in order. The lock
// is held.
func (t *Tracker) counted(h *history, now time.Duration) []loss {
	var list []loss
	for _, l := range h.losses {
		upstream, ok := t.ended.Peek(l.Incarnation)
		if !ok || upstream.explained || now-upstream.at > lossMemory {
			continue
		}
		list = append(list, loss{at: upstream.at, ran: l.Ran}) // by the earliest word of it
	}
	sortLosses(list)
	return list
}

// loss is when an upstream ended with a request, and for how long that had been there.
type loss struct{ at, ran time.Duration }

func sortLosses(list []loss) {
	slices.SortFunc(list, func(a, b loss) int { return cmp.Compare(a.at, b.at) })
}

// moments are the first times of events, of losses in order.
func moments(list []loss) []time.Duration {
	var firsts []time.Duration
	for i, l := range list {
		if i == 0 || l.at-firsts[len(firsts)-1] > SameMoment || l.at-l.ran > list[i-1].at-clockError {
			firsts = append(firsts, l.at)
		}
	}
	return firsts
}
