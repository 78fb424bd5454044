package gateway

import (
	"sync"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// successor is the attempt that follows a run which the gateway ends though it may still succeed. Its upstream and its retry
// are reserved before the run is ended, so that nothing refuses it afterwards.
type successor struct {
	run    *attempt
	choice choice
	// retry is the budget that was charged for the attempt; nil if none was.
	retry *retryBudget
	// moved is set if the stream is moved, so that it has to go on at the version of the run.
	moved bool
}

// runEnd is the decision to end a run. The silence timer and the mover may make it at the same time.
type runEnd struct {
	mu      sync.Mutex
	decided bool
}

// isDecided reports whether the run is ended.
func (e *runEnd) isDecided() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decided
}

// commit makes the request continue with the successor. It returns false, and releases the successor, if the run was ended
// before. The caller ends the run.
func (s *successor) commit() bool {
	end := &s.run.runEnd
	end.mu.Lock()
	defer end.mu.Unlock()
	if end.decided {
		s.release()
		return false
	}
	end.decided = true
	s.run.request.successor = s
	return true
}

// replaceRun ends the run with the cause and makes the request continue with the successor. It returns false, and releases the
// successor, if the run was ended before.
func (s *successor) replaceRun(cause error) bool {
	if !s.commit() {
		return false
	}
	s.run.cancel(cause)
	return true
}

// release releases the successor's upstream and gives its retry back.
func (s *successor) release() {
	s.run.gateway.releaseUnused(&s.choice)
	s.giveBackRetry()
}

// giveBackRetry gives the retry back, which isn't needed.
func (s *successor) giveBackRetry() {
	if s.retry != nil {
		s.retry.giveBack()
		s.retry = nil
	}
}

// releaseUnused releases a reserved upstream to which no request was sent.
func (g *Gateway) releaseUnused(c *choice) {
	unused := attemptResult{outcome: outcomeWithheld}
	g.fleet.release(*c, unused)
	g.freeUnusedCopy(c, &unused)
}

// mayEndRun reports whether the run may be ended for the reason if its successor is reserved.
func (a *attempt) mayEndRun(reason failover.Reason) bool {
	g, r, now := a.gateway, a.request, boottime.Now()
	return failover.MayEndRun(reason, failover.Successor{
		Repeatable:     r.mayRunAgain(runstate.Ran),
		AttemptsLeft:   r.attemptsLeft(),
		Quarantined:    g.guard.IsQuarantined(r.Digest, r.partDigests...),
		TimeLeft:       g.plannedStop.TimeLeft(r.Deadline, now),
		EndsBeforeStop: g.plannedStop.Admits(r.stopKind(), r.Deadline, now),
	})
}

// reserveSuccessor reserves the attempt that follows the run on the given model, if the run may be ended for the reason and an
// upstream and a retry are available; nil otherwise.
func (a *attempt) reserveSuccessor(reason failover.Reason, model string, bestModel bool) *successor {
	if a.runEnd.isDecided() || !a.mayEndRun(reason) {
		return nil
	}
	g, r := a.gateway, a.request
	crit := (&dispatch{gateway: g}).buildCriteria(r, model, bestModel)
	crit.regions = g.allowedRegions(r)
	avoid := ""
	if reason == failover.Silence {
		avoid = a.choice.upstream.ID
	}
	budget := g.retryBudgets.get(r.Service)
	picked, ok := g.fleet.reserve(crit, avoid, budget.tryTake)
	if !ok {
		return nil
	}
	return &successor{run: a, choice: picked, retry: budget}
}

// reserveAfterSilence reserves the attempt that follows the run if its upstream is given up because it is silent; nil if there is none.
func (a *attempt) reserveAfterSilence() *successor {
	return a.reserveSuccessor(failover.Silence, a.request.model, a.bestModel)
}

// takeSuccessor returns the upstream that was reserved for the request's next attempt, if the upstream still permits the request; ok
// is false otherwise.
func (d *dispatch) takeSuccessor(r *Request, crit *criteria) (picked choice, ok bool) {
	if r.successor == nil {
		return choice{}, false
	}
	if u := &r.successor.choice.upstream; !crit.regions.allows(u.Zone) || !crit.admitsVersion(u.Version) {
		// The attempt is made at another upstream, for which its retry is charged already.
		d.gateway.releaseUnused(&r.successor.choice)
		r.successor = nil
		return choice{}, false
	}
	picked, r.successor = r.successor.choice, nil
	return picked, true
}

// releaseSuccessor releases a successor that isn't used, for example because the caller disconnected.
func (d *dispatch) releaseSuccessor(r *Request) {
	if r.successor == nil {
		return
	}
	r.successor.release()
	r.successor = nil
}

// recordMove records, after an attempt, whether the stream is moved. The request's data isn't changed while an attempt runs, in which
// the mover and the silence timer read it.
func (r *Request) recordMove() {
	if r.successor != nil && r.successor.moved {
		r.moved, r.movedVersion = true, r.successor.run.choice.upstream.Version
	}
}

// progress returns how far the request has come.
func (r *Request) progress() failover.Progress {
	return failover.Progress{State: r.runState.State(), Answered: r.answer.started, Reserved: r.successor != nil}
}
