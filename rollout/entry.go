package rollout

import "time"

const (
	// SegmentLength is the length of the segments of time for which evidence is
	// counted separately, besides the total of the round. With the total alone,
	// a long record of good answers would hide that a version has become bad.
	SegmentLength = 15 * time.Second
	maxSegments   = 8
)

// spanLengths holds the lengths, in segments, of the spans of time up to the
// current segment. The evidence of each span is tested as a whole: short spans
// detect a sudden change, long ones a small change.
var spanLengths = [...]int64{1, 2, 4, maxSegments}

// entry is this host's state of one version in one round. own is this host's
// evidence, peers holds the evidence received from other hosts, by host ID. The
// lock of its shard guards an entry.
type entry struct {
	rule     VersionRule
	criteria criteria
	pacing   Pacing
	own      Evidence
	peers    map[string]*Evidence
	// roundSum holds the counters of the whole round, summed over all hosts.
	// spanSums holds the same sums for each of the spans that end with the
	// segment of the number lastSegment.
	roundSum    Counters
	spanSums    [len(spanLengths)]Counters
	lastSegment int64
	// peersInFlight is the number of answers in flight on all peers, according
	// to their evidence.
	peersInFlight uint64
	// inFlightSince holds the times at which this host's answers in flight were
	// taken, oldest first.
	inFlightSince []time.Time
	cleared       bool
	// lastGrant is the number of answers that the last grant added.
	lastGrant uint64
	// minGoodForClaim is the number of good answers on all hosts below which
	// this host makes no further claim, because its last one was granted
	// nothing.
	minGoodForClaim uint64
	// lastChanges holds, by host ID, the tracker's change number of the last
	// change of that host's evidence.
	lastChanges map[string]uint64
	// servedDenials holds, by host ID of a peer, the peer's Evidence.Denied for
	// which this host last considered a transfer.
	servedDenials map[string]uint64
}

func newEntry(host string, rule VersionRule, options Options) *entry {
	return &entry{
		rule:          rule,
		criteria:      newCriteria(rule, options.Confidence),
		pacing:        options.Pacing.withDefaults(),
		own:           Evidence{Host: host, Model: rule.Model, Version: rule.Version, Round: rule.Round},
		peers:         make(map[string]*Evidence),
		lastChanges:   make(map[string]uint64),
		servedDenials: make(map[string]uint64),
	}
}

// remaining returns the number of answers that this host's part of the budget
// still allows.
func (e *entry) remaining() uint64 {
	credit := e.own.Granted + e.own.Returned
	for _, p := range e.peers {
		credit += p.transferredTo(e.own.Host)
	}
	debit := e.own.Taken + e.own.transferredTotal()
	if debit >= credit {
		return 0
	}
	return credit - debit
}

// take takes one answer if the version is cleared, or if the budget and, with
// enforcePacing, the pacing allow it.
func (e *entry) take(now time.Time, hosts int, enforcePacing bool) bool {
	if e.cleared || e.rule.Budget <= 0 {
		return true
	}
	if e.remaining() == 0 {
		e.own.Denied++
		return false
	}
	if enforcePacing && !e.pacing.Off && !e.pacingAllows(now, hosts) {
		return false
	}
	e.own.Taken++
	e.inFlightSince = append(e.inFlightSince, now)
	return true
}

// pacingAllows reports whether one more answer may be in flight. It first
// abandons answers that have been in flight for Pacing.ObserveTimeout.
func (e *entry) pacingAllows(now time.Time, hosts int) bool {
	for len(e.inFlightSince) > 0 && now.Sub(e.inFlightSince[0]) >= e.pacing.ObserveTimeout {
		e.abandon()
	}
	if len(e.inFlightSince) >= hostPacingBound(e.pacing.Initial, e.pacing.Growth, e.roundSum.good(), hosts) {
		return false
	}
	if e.rule.MinRating <= 0 {
		return true
	}
	taken := e.own.Taken - e.own.Returned
	rated := e.own.Total.Rated()
	unrated := int(taken) - int(rated)
	return unrated < hostPacingBound(e.pacing.InitialUnrated, e.pacing.UnratedGrowth, e.roundSum.Rated(), hosts)
}

// returnUnsent refunds an answer that was taken and whose request was never
// sent.
func (e *entry) returnUnsent() {
	if e.own.Returned >= e.own.Taken {
		return
	}
	e.own.Returned++
	e.endInFlight()
}

// abandon ends the oldest answer in flight without an observation.
func (e *entry) abandon() {
	if len(e.inFlightSince) == 0 {
		return
	}
	e.own.Abandoned++
	e.endInFlight()
}

// endInFlight removes the oldest answer in flight.
func (e *entry) endInFlight() {
	if len(e.inFlightSince) > 0 {
		e.inFlightSince = e.inFlightSince[1:]
	}
}

// addObservation adds the counters of one observation to this host's evidence
// and to the sums over all hosts.
func (e *entry) addObservation(delta *Counters, now time.Time) {
	e.own.Total.add(delta)
	e.roundSum.add(delta)
	if segment := e.own.segment(segmentNumber(now)); segment != nil {
		segment.add(delta)
	}
	if segmentNumber(now) == e.lastSegment {
		for i := range e.spanSums {
			e.spanSums[i].add(delta)
		}
		return
	}
	e.recomputeSpanSums(now)
}

func segmentNumber(now time.Time) int64 {
	return now.UnixNano() / int64(SegmentLength)
}

// merge merges a peer's evidence into the stored one and reports whether that
// changed.
func (e *entry) merge(peer *Evidence) bool {
	stored := e.peers[peer.Host]
	if stored == nil {
		copied := peer.clone()
		e.peers[peer.Host] = &copied
		return true
	}
	before := stored.counterSum()
	stored.merge(peer)
	return stored.counterSum() != before
}

// recomputeSums recomputes the sums over all hosts.
func (e *entry) recomputeSums(now time.Time) {
	e.roundSum = e.own.Total.clone()
	e.peersInFlight = 0
	for _, p := range e.peers {
		e.roundSum.add(&p.Total)
		e.peersInFlight += p.inFlight()
	}
	e.recomputeSpanSums(now)
}

// recomputeSpanSums recomputes the sums over all hosts for each of the spans
// that end with the current segment.
func (e *entry) recomputeSpanSums(now time.Time) {
	e.lastSegment = segmentNumber(now)
	for i, span := range spanLengths {
		e.spanSums[i] = Counters{}
		oldest := e.lastSegment - span + 1
		addSegmentsFrom(&e.spanSums[i], &e.own, oldest)
		for _, p := range e.peers {
			addSegmentsFrom(&e.spanSums[i], p, oldest)
		}
	}
}

func addSegmentsFrom(sum *Counters, evidence *Evidence, oldest int64) {
	for i := range evidence.Segments {
		if evidence.Segments[i].Number >= oldest {
			sum.add(&evidence.Segments[i].Counters)
		}
	}
}

// inFlight returns the number of answers of all hosts that haven't ended.
func (e *entry) inFlight() uint64 {
	if e.cleared {
		return 0 // answers of a cleared version aren't counted
	}
	return e.own.inFlight() + e.peersInFlight
}

// violatedLimit is criteria.violatedLimit with the answers in flight counted as
// good: failures often end sooner than good answers, so their rate would
// otherwise be overestimated.
func (e *entry) violatedLimit(counters *Counters, alpha float64) (Reason, float64, bool) {
	withInFlight := *counters
	withInFlight.Answers += e.inFlight()
	return e.criteria.violatedLimit(&withInFlight, alpha)
}

// runTests tests the evidence of the round and of each span. It returns a stop
// and true if a limit is violated. Otherwise it marks the entry as cleared if
// the evidence of the round shows that all limits are kept.
func (e *entry) runTests(now time.Time) (Stop, bool) {
	counters := &e.roundSum
	reason, strength, violated := e.violatedLimit(counters, e.criteria.confidence.FalseStop)
	for i := 0; i < len(e.spanSums) && !violated; i++ {
		counters = &e.spanSums[i]
		reason, strength, violated = e.violatedLimit(counters, e.criteria.confidence.FalseStopSpan)
	}
	if !violated {
		e.cleared = e.cleared || e.criteria.satisfied(&e.roundSum)
		return Stop{}, false
	}
	return Stop{
		Model:   e.rule.Model,
		Version: e.rule.Version,
		Round:   e.rule.Round,
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

// transferDivisor determines the size of a transfer to a peer that was denied
// answers: this host's remaining part of the budget, divided by it.
const transferDivisor = 4

// transfer transfers some of this host's remaining part of the budget to a peer
// if the peer's count of denied answers has grown since the last call. It
// reports whether anything was transferred.
func (e *entry) transfer(peer string) bool {
	evidence := e.peers[peer]
	if evidence == nil || evidence.Denied <= e.servedDenials[peer] {
		return false
	}
	e.servedDenials[peer] = evidence.Denied
	amount := e.remaining() / transferDivisor
	if amount == 0 {
		return false
	}
	e.own.mergeTransfer(Transfer{To: peer, Answers: e.own.transferredTo(peer) + amount})
	return true
}
