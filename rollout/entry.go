package rollout

import "time"

const (
	// SegmentLength is the length of the periods by which evidence is counted
	// besides the total. Without them, a long record of good answers would hide
	// that a version has become bad.
	SegmentLength = 15 * time.Second
	maxSegments   = 8
)

// spans are the numbers of periods, up to the current one, that are tested
// together: short spans detect a sudden change, long ones a small change.
var spans = [...]int64{1, 2, 4, maxSegments}

// entry is the state of one version in one epoch. It is guarded by the lock
// of its shard.
type entry struct {
	rule     VersionRule
	criteria criteria
	pacing   Pacing
	own      Evidence
	peers    map[string]*Evidence
	// sum is the total of all hosts, recent the total for each of the spans
	// that end with the period recentNumber.
	sum          Counters
	recent       [len(spans)]Counters
	recentNumber int64
	// peersInFlight is the number of answers of all peers that haven't ended.
	peersInFlight uint64
	// inFlightSince holds the times at which the answers in flight were taken,
	// oldest first.
	inFlightSince []time.Time
	cleared       bool
	// lastGrant is the size of the last grant.
	lastGrant uint64
	// minGoodForClaim is the number of good answers below which no further
	// claim is made, because the last claim was granted nothing.
	minGoodForClaim uint64
	// lastChanges holds, for each host, the tracker's change number of the last
	// change of its evidence.
	lastChanges map[string]uint64
	// servedDenials holds, for each peer, the count of denials for which this
	// host last considered a transfer.
	servedDenials map[string]uint64
}

func newEntry(host string, rule VersionRule, options Options) *entry {
	return &entry{
		rule:          rule,
		criteria:      newCriteria(rule, options.Confidence),
		pacing:        options.Pacing.withDefaults(),
		own:           Evidence{Host: host, Model: rule.Model, Version: rule.Version, Epoch: rule.Epoch},
		peers:         make(map[string]*Evidence),
		lastChanges:   make(map[string]uint64),
		servedDenials: make(map[string]uint64),
	}
}

// remaining returns the number of answers that this host may still take.
func (e *entry) remaining() uint64 {
	in := e.own.Granted + e.own.Returned
	for _, p := range e.peers {
		in += p.givenTo(e.own.Host)
	}
	out := e.own.Taken + e.own.givenTotal()
	if out >= in {
		return 0
	}
	return in - out
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

// pacingAllows reports whether one more answer may be in flight. Answers in
// flight for longer than the timeout are abandoned first.
func (e *entry) pacingAllows(now time.Time, hosts int) bool {
	for len(e.inFlightSince) > 0 && now.Sub(e.inFlightSince[0]) >= e.pacing.ObserveTimeout {
		e.abandon()
	}
	if len(e.inFlightSince) >= maxInFlight(e.pacing.Initial, e.pacing.Growth, e.sum.good(), hosts) {
		return false
	}
	if e.rule.MinRating <= 0 {
		return true
	}
	taken := e.own.Taken - e.own.Returned
	rated := e.own.Total.Rated()
	unrated := int(taken) - int(rated)
	return unrated < maxInFlight(e.pacing.InitialUnrated, e.pacing.UnratedGrowth, e.sum.Rated(), hosts)
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

// abandon ends an answer without an observation.
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

// count adds an observation to the total, the sums and the current period.
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

// merge merges a peer's evidence and reports whether it changed.
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
	e.sum = e.own.Total.clone()
	e.peersInFlight = 0
	for _, p := range e.peers {
		e.sum.add(&p.Total)
		e.peersInFlight += p.inFlight()
	}
	e.sumRecent(now)
}

// sumRecent recomputes the sums of the spans over all hosts.
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

// inFlight returns the number of answers of all hosts that haven't ended.
func (e *entry) inFlight() uint64 {
	if e.cleared {
		return 0 // answers of a cleared version aren't counted
	}
	return e.own.inFlight() + e.peersInFlight
}

// violated tests whether the version violates a limit. Answers in flight count
// as good: failures often end sooner than good answers, and their rate would
// otherwise be overestimated.
func (e *entry) violated(counters *Counters, alpha float64) (Reason, float64, bool) {
	withInFlight := *counters
	withInFlight.Answers += e.inFlight()
	return e.criteria.violated(&withInFlight, alpha)
}

// runTests tests the evidence of the epoch and of each span. It returns a stop
// if a limit is violated, and otherwise marks the entry as cleared if all limits
// are shown to be kept.
func (e *entry) runTests(now time.Time) (Stop, bool) {
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

// transferDivisor is the divisor of the remaining budget that gives the part
// transferred to a peer that was denied answers.
const transferDivisor = 4

// transfer transfers part of the remaining budget to a peer that was denied
// answers since the last transfer. It reports whether anything was transferred.
func (e *entry) transfer(peer string) bool {
	evidence := e.peers[peer]
	if evidence == nil || evidence.Denied <= e.servedDenials[peer] {
		return false
	}
	e.servedDenials[peer] = evidence.Denied
	give := e.remaining() / transferDivisor
	if give == 0 {
		return false
	}
	e.own.mergeTransfer(Transfer{To: peer, Answers: e.own.givenTo(peer) + give})
	return true
}
