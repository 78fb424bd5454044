package rollout

import "time"

// Take charges one answer of the version to the exposure budget. It returns
// false if the version is stopped, this host's part of the budget is used up,
// or pacing allows no further answer in flight; the request must then go to
// another version. It always returns true for a version without a rule, and for
// one that is cleared and not stopped.
func (t *Tracker) Take(model, version string) bool {
	return t.take(Key{model, version}, true)
}

// TakeUnpaced is Take without pacing, for a request that can't go to another
// version, such as one of a session that is bound to this version.
func (t *Tracker) TakeUnpaced(model, version string) bool {
	return t.take(Key{model, version}, false)
}

func (t *Tracker) take(key Key, enforcePacing bool) bool {
	taken := false
	t.withEntry(key, func(s *shard, e *entry, now time.Time) {
		if _, stopped := s.stopped(e.rule.Key()); stopped {
			return
		}
		t.assignEqualPart(e)
		before := e.own.counterSum()
		taken = e.take(now, t.hostCount(), enforcePacing)
		if e.own.counterSum() != before {
			t.recordChange(e, e.own.Host)
		}
		if t.options.GrantedOnly && e.needsGrant() {
			t.signalGrantNeeded()
		}
	}, func(s *shard) {
		taken = true
	})
	return taken
}

// assignEqualPart sets the host's part of the budget to the budget divided by
// the number of hosts, once for each round, unless Options.GrantedOnly is set.
func (t *Tracker) assignEqualPart(e *entry) {
	if t.options.GrantedOnly || e.own.Granted > 0 || e.rule.Budget <= 0 {
		return
	}
	e.own.Granted = uint64(e.rule.Budget / t.hostCount())
}

// Refund refunds an answer that was taken and whose request was never sent to
// an upstream.
func (t *Tracker) Refund(model, version string) {
	t.withEntry(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.returnUnsent()
		t.recordChange(e, e.own.Host)
	}, nil)
}

// Abandon ends an answer that was taken, may have run, and gives no evidence
// about the version, for example because the caller disconnected. It stays
// charged to the budget.
func (t *Tracker) Abandon(model, version string) {
	t.withEntry(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.abandon()
		t.recordChange(e, e.own.Host)
	}, nil)
}

// Observe records the outcome of an answer. Each answer taken ends with one
// call of Observe, Abandon or Refund.
func (t *Tracker) Observe(model, version string, outcome Outcome) {
	t.withEntry(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		e.endInFlight()
		t.addObservation(s, e, outcomeCounters(outcome, e.rule.MaxLatencyMs), now)
	}, nil)
}

// Rate records a rating that arrived after the answer was observed.
func (t *Tracker) Rate(model, version string, rating float64) {
	t.withEntry(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		var delta Counters
		delta.addRatings(ratingBucket(rating), 1)
		t.addObservation(s, e, &delta, now)
	}, nil)
}

func (t *Tracker) addObservation(s *shard, e *entry, delta *Counters, now time.Time) {
	e.addObservation(delta, now)
	t.recordChange(e, e.own.Host)
	t.evaluate(s, e, now)
}

// outcomeCounters returns the counters that an answer with the given outcome
// adds to the evidence.
func outcomeCounters(outcome Outcome, maxLatencyMs int) *Counters {
	c := &Counters{Answers: 1}
	if outcome.Failed {
		c.Errors = 1
	}
	if outcome.FirstToken > 0 {
		c.Timed = 1
	}
	limit := time.Duration(maxLatencyMs) * time.Millisecond
	if limit > 0 && outcome.FirstToken > limit {
		c.Slow = 1
	}
	if outcome.Rated {
		c.addRatings(ratingBucket(outcome.Rating), 1)
	}
	return c
}

func ratingBucket(rating float64) int {
	return min(RatingBuckets-1, max(0, int(rating*RatingBuckets)))
}

// Cleared reports whether the evidence has shown that the version keeps all its
// limits. A version without a rule counts as cleared. A cleared version can
// still be stopped.
func (t *Tracker) Cleared(model, version string) bool {
	cleared := false
	t.withEntry(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		cleared = e.cleared
	}, func(*shard) {
		cleared = true
	})
	return cleared
}
