package rollout

import "time"

const (
	// SegmentLength is the length of the periods that evidence is also
	// counted by. Without them, a long good record would hide that a version
	// turned bad.
	SegmentLength = 15 * time.Second
	segmentsKept  = 8
)

// spans are the numbers of periods, up to the present one, that are tested
// together: short ones find a sudden change, long ones a small one.
var spans = [...]int64{1, 2, 4, segmentsKept}

// entry is the state of one version in one epoch. It is guarded by the lock
// of its shard.
type entry struct {
	rule     VersionRule
	criteria criteria
	pacing   Pacing
	own      Evidence
	peers    map[string]*Evidence
	// sum is the total of all hosts, recent that of each of the spans up to
	// the period recentNumber.
	sum          Counters
	recent       [len(spans)]Counters
	recentNumber int64
	// peersUnderWay is how many answers of the peers weren't observed yet.
	peersUnderWay uint64
	// pending holds when the answers under way were taken, oldest first.
	pending []time.Time
	cleared bool
	// lastGrant is the size of the last part that was granted.
	lastGrant uint64
	// claimAtGood is how many good answers must be known before the next claim:
	// the last one found nothing to grant.
	claimAtGood uint64
	// changed is, for each host, the tracker's change number at its last
	// change.
	changed map[string]uint64
	// served is, for each peer, its count of denials that was answered with a
	// transfer.
	served map[string]uint64
}

func newEntry(host string, rule VersionRule, options Options) *entry {
	return &entry{
		rule:     rule,
		criteria: newCriteria(rule, options.Confidence),
		pacing:   options.Pacing.withDefaults(),
		own:      Evidence{Host: host, Model: rule.Model, Version: rule.Version, Epoch: rule.Epoch},
		peers:    make(map[string]*Evidence),
		changed:  make(map[string]uint64),
		served:   make(map[string]uint64),
	}
}

// remaining returns how many answers this host may still take.
func (e *entry) remaining() uint64 {
	in := e.own.Granted + e.own.Returned
	for _, p := range e.peers {
		in += p.givenTo(e.own.Host)
	}
	out := e.own.Taken + e.own.given()
	if out >= in {
		return 0
	}
	return in - out
}

// take takes one answer if the version is cleared or the budget and the pace
// allow it. Without paced only the budget counts.
func (e *entry) take(now time.Time, hosts int, paced bool) bool {
	if e.cleared || e.rule.Budget <= 0 {
		return true
	}
	if e.remaining() == 0 {
		e.own.Denied++
		return false
	}
	if paced && !e.pacing.Off && !e.paced(now, hosts) {
		return false
	}
	e.own.Taken++
	e.pending = append(e.pending, now)
	return true
}

// paced says whether one more answer may be under way.
func (e *entry) paced(now time.Time, hosts int) bool {
	for len(e.pending) > 0 && now.Sub(e.pending[0]) >= e.pacing.ObserveTimeout {
		e.abandon()
	}
	if len(e.pending) >= window(e.pacing.Initial, e.pacing.Growth, e.sum.good(), hosts) {
		return false
	}
	if e.rule.MinRating <= 0 {
		return true
	}
	taken := e.own.Taken - e.own.Returned
	rated := e.own.Total.Rated()
	unrated := int(taken) - int(rated)
	return unrated < window(e.pacing.InitialUnrated, e.pacing.UnratedGrowth, e.sum.Rated(), hosts)
}

// giveBack returns an answer that was taken and never sent.
func (e *entry) giveBack() {
	if e.own.Returned >= e.own.Taken {
		return
	}
	e.own.Returned++
	e.settle()
}

// abandon ends an answer without an observation.
func (e *entry) abandon() {
	if len(e.pending) == 0 {
		return
	}
	e.own.Abandoned++
	e.settle()
}

// settle ends one answer under way.
func (e *entry) settle() {
	if len(e.pending) > 0 {
		e.pending = e.pending[1:]
	}
}

// count adds an observation to the total, the sums and the present period.
func (e *entry) count(delta *Counters, now time.Time) {
	e.own.Total.add(delta)
	e.sum.add(delta)
	if segment := e.own.segment(segmentNumber(now)); segment != nil {
		segment.add(delta)
	}
	if segmentNumber(now) == e.recentNumber {
		for i := range e.recent {
			e.recent[i].add(delta)
		}
		return
	}
	e.sumRecent(now)
}

func segmentNumber(now time.Time) int64 {
	return now.UnixNano() / int64(SegmentLength)
}

// merge takes in a peer's evidence and says whether it was news.
func (e *entry) merge(peer *Evidence) bool {
	known := e.peers[peer.Host]
	if known == nil {
		copied := peer.clone()
		e.peers[peer.Host] = &copied
		return true
	}
	before := known.weight()
	known.merge(peer)
	return known.weight() != before
}

// total recomputes the sums over all hosts.
func (e *entry) total(now time.Time) {
	e.sum = e.own.Total.clone()
	e.peersUnderWay = 0
	for _, p := range e.peers {
		e.sum.add(&p.Total)
		e.peersUnderWay += p.underWay()
	}
	e.sumRecent(now)
}

// sumRecent adds up the spans over all hosts.
func (e *entry) sumRecent(now time.Time) {
	e.recentNumber = segmentNumber(now)
	for i, span := range spans {
		e.recent[i] = Counters{}
		oldest := e.recentNumber - span + 1
		addRecent(&e.recent[i], &e.own, oldest)
		for _, p := range e.peers {
			addRecent(&e.recent[i], p, oldest)
		}
	}
}

func addRecent(sum *Counters, evidence *Evidence, oldest int64) {
	for i := range evidence.Segments {
		if evidence.Segments[i].Number >= oldest {
			sum.add(&evidence.Segments[i].Counters)
		}
	}
}

// underWay returns how many answers of all hosts weren't observed yet.
func (e *entry) underWay() uint64 {
	if e.cleared {
		return 0 // no longer counted
	}
	return e.own.underWay() + e.peersUnderWay
}

// violated runs the tests against the version. Answers under way count as
// good: failures often come sooner than good answers, and would otherwise be
// compared with too few of them.
func (e *entry) violated(counters *Counters, alpha float64) (Reason, float64, bool) {
	cautious := *counters
	cautious.Answers += e.underWay()
	return e.criteria.violated(&cautious, alpha)
}

// verdict tests the evidence. It clears the entry, or returns a stop.
func (e *entry) verdict(now time.Time) (Stop, bool) {
	counters := &e.sum
	reason, strength, bad := e.violated(counters, e.criteria.confidence.FalseStop)
	for i := 0; i < len(e.recent) && !bad; i++ {
		counters = &e.recent[i]
		reason, strength, bad = e.violated(counters, e.criteria.confidence.FalseStopSpan)
	}
	if !bad {
		e.cleared = e.cleared || e.criteria.satisfied(&e.sum)
		return Stop{}, false
	}
	return Stop{
		Model:   e.rule.Model,
		Version: e.rule.Version,
		Epoch:   e.rule.Epoch,
		Reason:  reason,
		Summary: summarize(counters, strength),
		Host:    e.own.Host,
		At:      now,
	}, true
}

func summarize(c *Counters, strength float64) Summary {
	return Summary{
		Answers:    c.Answers,
		Errors:     c.Errors,
		Timed:      c.Timed,
		Slow:       c.Slow,
		Rated:      c.Rated(),
		MeanRating: c.MeanRating(),
		Strength:   strength,
	}
}

// transferShare is the divisor of what remains that one denial of a peer
// moves to it.
const transferShare = 4

// transfer gives part of what remains to a peer that was denied answers since
// the last transfer. It says whether anything was given.
func (e *entry) transfer(peer string) bool {
	evidence := e.peers[peer]
	if evidence == nil || evidence.Denied <= e.served[peer] {
		return false
	}
	e.served[peer] = evidence.Denied
	give := e.remaining() / transferShare
	if give == 0 {
		return false
	}
	e.own.raiseGiven(Transfer{To: peer, Answers: e.own.givenTo(peer) + give})
	return true
}
