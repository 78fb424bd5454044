package rollout

import "time"

// Take takes one answer of the version from the exposure budget. It returns
// false if the version is stopped, this host's part of the budget is spent, or
// too many answers are under way without evidence; the request must then go
// to another version. It always returns true for a version without a rule, and
// for one that is cleared and not stopped.
func (t *Tracker) Take(model, version string) bool {
	return t.take(Key{model, version}, true)
}

// TakeBound is Take for a request that can't go to another version, such as
// one of a session that is bound to this one: too many answers under way are
// no reason to refuse it.
func (t *Tracker) TakeBound(model, version string) bool {
	return t.take(Key{model, version}, false)
}

func (t *Tracker) take(key Key, paced bool) bool {
	taken := false
	t.with(key, func(s *shard, e *entry, now time.Time) {
		if _, stopped := s.stopped(e.rule.Key()); stopped {
			return
		}
		t.claimShare(e)
		before := e.own.weight()
		taken = e.take(now, t.hostCount(), paced)
		if e.own.weight() != before {
			t.mark(e, e.own.Host)
		}
		if t.options.Granted && e.wantsGrant() {
			t.want()
		}
	}, func(s *shard) {
		taken = true
	})
	return taken
}

// claimShare takes the host's part of the budget, once for each epoch, where
// parts aren't granted.
func (t *Tracker) claimShare(e *entry) {
	if t.options.Granted || e.own.Granted > 0 || e.rule.Budget <= 0 {
		return
	}
	e.own.Granted = uint64(e.rule.Budget / t.hostCount())
}

// Return gives back an answer that was taken and never sent to an upstream.
func (t *Tracker) Return(model, version string) {
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.giveBack()
		t.mark(e, e.own.Host)
	}, nil)
}

// Abandon ends an answer that was taken, may have run, and shows nothing of the
// version, for example because the caller left. It stays counted against the
// budget.
func (t *Tracker) Abandon(model, version string) {
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		e.abandon()
		t.mark(e, e.own.Host)
	}, nil)
}

// Observe takes in what an answer showed. Each answer taken ends with one call
// of Observe, Abandon or Return.
func (t *Tracker) Observe(model, version string, outcome Outcome) {
	t.with(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		e.settle()
		t.count(s, e, outcomeCounters(outcome, e.rule.MaxLatencyMs), now)
	}, nil)
}

// Rate takes in a rating that came after the answer was observed.
func (t *Tracker) Rate(model, version string, rating float64) {
	t.with(Key{model, version}, func(s *shard, e *entry, now time.Time) {
		var delta Counters
		delta.rate(ratingBucket(rating), 1)
		t.count(s, e, &delta, now)
	}, nil)
}

func (t *Tracker) count(s *shard, e *entry, delta *Counters, now time.Time) {
	e.count(delta, now)
	t.mark(e, e.own.Host)
	t.judge(s, e, now)
}

// outcomeCounters turns an outcome into counters of one answer.
func outcomeCounters(outcome Outcome, maxLatencyMs int) *Counters {
	c := &Counters{Answers: 1}
	if outcome.Err {
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
		c.rate(ratingBucket(outcome.Rating), 1)
	}
	return c
}

func ratingBucket(rating float64) int {
	return min(RatingBuckets-1, max(0, int(rating*RatingBuckets)))
}

// Cleared says whether the evidence showed that the version keeps its limits.
// A version without a rule counts as cleared. A cleared version can still be
// stopped.
func (t *Tracker) Cleared(model, version string) bool {
	cleared := false
	t.with(Key{model, version}, func(_ *shard, e *entry, _ time.Time) {
		cleared = e.cleared
	}, func(*shard) {
		cleared = true
	})
	return cleared
}
