package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/failover"
	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/streampace"
)

// A stream that will end too late at its engine, because the engine is slow or preempts it again and
// again, is moved: the gateway ends the run and resumes the stream at another engine after the last
// event that the caller received, within the same answer. This file collects what package
// streampace decides by, and chooses the other engine.

const (
	// moveCheckInterval is how often a stream that waits for an event is examined. A move costs the
	// prefill of a prompt, hundreds of milliseconds, so that examining more often gains little.
	moveCheckInterval = 200 * time.Millisecond
	// usualPauseFactor is a multiple of the usual longest pause of streams: a shorter silence isn't a
	// reason for a move.
	usualPauseFactor = 2
	// maxReportAge is the age up to which an engine's report of its batch and its speed is used. Both
	// change within a second.
	maxReportAge = time.Second
)

// errStreamMoved means that the gateway ended the run of a stream to resume it at another engine.
var errStreamMoved = errors.New("gateway: the stream is moved to another upstream")

// usualPace is the pace of a service's streams, which several goroutines use.
type usualPace struct {
	mu    sync.Mutex
	usual streampace.Usual
}

// streamMover observes the pace of an attempt's stream and ends the attempt if the stream is to be
// moved. A nil streamMover does nothing.
type streamMover struct {
	attempt *attempt
	// ctx ends with the attempt.
	ctx  context.Context
	pace *usualPace
	// movable is set if the stream may be moved at all.
	movable bool
	// tokens is the number of tokens that the caller expects; 0 if unknown.
	tokens int

	mu     sync.Mutex
	stream streampace.Stream
	record *streampace.Record
	timer  *time.Timer
	// waitingSince is when the wait for the current event began; zero while the relay doesn't wait
	// for the engine. position is the number of events of the stream until then.
	waitingSince time.Time
	position     int
	// ended is set when the relay has ended; moved when the mover ended the attempt; stopped when the
	// engine may have stopped the run, so that the end of its stream isn't the end of the answer.
	ended, moved, stopped bool

	// checking is held during a check.
	checking sync.Mutex
}

// newStreamMover returns the mover of the attempt's stream; nil if the feature isn't active.
func (g *Gateway) newStreamMover(ctx context.Context, a *attempt) *streamMover {
	r := a.request
	if !g.fleet.isActive(g.settings.Features.StreamMoves, r.Service) {
		return nil
	}
	hint := parseCount(r.Header.Get(g.settings.Headers.LengthHint))
	return &streamMover{
		attempt: a, ctx: ctx, pace: g.usualPaces.get(r.responseTimeKey()), tokens: cmp.Or(hint, r.Prompt.TokensOut),
		movable: r.mayRunAgain(runstate.Ran) && !r.moved && r.attemptsLeft(),
	}
}

// startWait records that the relay begins to wait for the next event.
func (m *streamMover) startWait(out *answerWriter) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitingSince, m.position = time.Now(), out.position()
	if m.timer == nil {
		m.timer = time.AfterFunc(moveCheckInterval, m.check)
	}
}

// endWait records that an event arrived. The time in which the event is written to the caller
// doesn't count, so that a stream whose caller reads slowly isn't moved.
func (m *streamMover) endWait() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stream.AddEvent(time.Since(m.waitingSince))
	m.waitingSince = time.Time{}
}

// end records that the relay has ended and waits for a check in progress. It reports whether the mover
// ended the attempt.
func (m *streamMover) end() (moved bool) {
	if m == nil {
		return false
	}
	m.mu.Lock()
	m.waitingSince, m.ended = time.Time{}, true
	if m.timer != nil {
		m.timer.Stop()
	}
	m.mu.Unlock()
	m.checking.Lock()
	defer m.checking.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moved
}

// complete records that the stream ended without an error. It returns an error if the stream isn't
// complete, because the engine stopped the run.
func (m *streamMover) complete(out *answerWriter) error {
	if m == nil {
		return nil
	}
	moved := m.end()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped && moved {
		return errStreamMoved
	}
	if m.stopped {
		return io.ErrUnexpectedEOF
	}
	m.pace.mu.Lock()
	defer m.pace.mu.Unlock()
	m.pace.usual.AddLength(m.tokens, out.position())
	if perEvent, ok := m.stream.MeanTime(); ok {
		m.pace.usual.Update(m.record, perEvent, time.Now())
	}
	return nil
}

// check examines the stream, and again after moveCheckInterval unless it has ended.
func (m *streamMover) check() {
	m.checking.Lock()
	defer m.checking.Unlock()
	m.mu.Lock()
	since, stream, position := m.waitingSince, m.stream, m.position
	if m.ended || m.moved {
		m.mu.Unlock()
		return
	}
	m.timer.Reset(moveCheckInterval)
	m.mu.Unlock()
	if since.IsZero() {
		return
	}
	sit := m.situation(&stream, time.Since(since), position)
	if reason := stream.ReasonToMove(sit); m.movable && reason != streampace.None {
		m.move(since, &stream, sit, reason)
	}
}

// situation records the stream's pace and returns the situation in which it is.
func (m *streamMover) situation(stream *streampace.Stream, silence time.Duration, position int) streampace.Situation {
	a, now := m.attempt, time.Now()
	m.pace.mu.Lock()
	defer m.pace.mu.Unlock()
	if perEvent, ok := stream.TimePerEvent(silence); ok {
		m.record = m.pace.usual.Update(m.record, perEvent, now)
	}
	pauses := a.gateway.streamPauses.get(a.request.responseTimeKey())
	return streampace.Situation{
		Silence:         silence,
		MaxPause:        max(cmp.Or(max(0, a.request.Route.MaxPause), defaultTarget), pauses.scaledMean(usualPauseFactor)),
		RemainingEvents: m.pace.usual.RemainingEvents(m.tokens, position),
		TimeLeft:        a.gateway.plannedStop.TimeLeft(a.request.Deadline, boottime.Now()),
		UsualTime:       m.pace.usual.TimePerEvent(m.record, now),
	}
}

// move ends the attempt, whose wait for an event began at the given time, if another engine is
// expected to finish the stream in time and the retry budget permits another attempt. It does
// nothing if an event arrives in the meantime.
func (m *streamMover) move(since time.Time, stream *streampace.Stream, sit streampace.Situation, reason streampace.Reason) {
	a := m.attempt
	g, r := a.gateway, a.request
	if !a.mayEndRun(failover.Move) {
		return
	}
	d := dispatch{gateway: g}
	crit := d.buildCriteria(r, r.model, a.bestModel)
	crit.regions = g.allowedRegions(r)
	budget := g.retryBudgets.get(r.Service)
	picked, ok := g.fleet.chooseForMove(crit, &a.choice, func(expected time.Duration, slowness float64) bool {
		if crit.prompt == nil {
			expected = g.responseTimes.get(r.responseTimeKey()).scaledMean(1)
		}
		return streampace.FinishesInTime(sit, expected, slowness) && budget.tryTake()
	})
	if !ok {
		return
	}
	next := &successor{run: a, choice: picked, retry: budget}
	if a.copiesRuns() {
		m.moveByCopy(next, stream, sit, reason)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || m.waitingSince != since {
		next.release()
		return
	}
	if m.setMoved(next, stream, sit, reason) {
		a.cancel(errStreamMoved)
	}
}

// setMoved makes the stream continue at the successor's engine. It returns false if the run was ended before. The caller holds
// the lock.
func (m *streamMover) setMoved(next *successor, stream *streampace.Stream, sit streampace.Situation, reason streampace.Reason) bool {
	next.moved = true
	if !next.commit() {
		return false
	}
	m.moved = true
	a, picked := m.attempt, &next.choice
	g, r := a.gateway, a.request
	perEvent, _ := stream.TimePerEvent(sit.Silence)
	g.log.Info().Str("event", "stream-move").Str("request", r.ID).Str("reason", string(reason)).
		Str("from", a.choice.upstream.ID).Str("to", picked.upstream.ID).Bool("copied", picked.continueFrom != nil).Int("events", m.position).Int("remaining", sit.RemainingEvents).
		Int64("silent_ms", sit.Silence.Milliseconds()).Int64("per_event_ms", perEvent.Milliseconds()).Int64("usual_ms", sit.UsualTime.Milliseconds()).
		Int64("left_ms", sit.TimeLeft.Milliseconds()).Int64("expected_ms", picked.placement.ExpectedTime.Milliseconds()).Msg("")
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_gateway_stream_moves_total{service=%q,reason=%q}`, r.Service, reason)).Inc()
	return true
}

// chooseForMove chooses an engine for a stream that runs at the chosen upstream from, and counts the
// request as in flight there. It returns false if there is none of the same version that has room and
// is neither fuller nor slower, or if accept returns false. accept is called with the expected time
// to the first event and the time that work takes at the engine as a multiple of the usual time.
func (f *Fleet) chooseForMove(crit criteria, from *choice, accept func(expected time.Duration, slowness float64) bool) (choice, bool) {
	now := boottime.Now()
	s := f.shard(crit.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.candidates(&crit, now)
	source := s.chosenMember(from)
	list.members = slices.DeleteFunc(slices.Clone(list.members), func(m *member) bool {
		return slices.Contains(crit.excludedIDs, m.ID) || m.Version != from.upstream.Version || !m.removedAt.IsZero() ||
			m.ejected(now) || m.rejecting(now) || !m.suitsMove(source, now)
	})
	if len(list.members) == 0 {
		return choice{}, false
	}
	c := choice{chosenAt: now, candidateCount: len(list.members), criteria: crit}
	picked := s.pick(list, &c, now)
	if !accept(c.placement.ExpectedTime, picked.statedSlowness(now)) {
		return choice{}, false
	}
	picked.startChoice(&c, now)
	return c, true
}

// suitsMove reports whether the engine has a free batch slot and is neither fuller nor slower than
// the source, which is nil if it isn't listed any more.
func (m *member) suitsMove(source *member, now time.Time) bool {
	occupancy := m.occupancy(now)
	if occupancy >= 1 {
		return false
	}
	return source == nil || occupancy <= source.occupancy(now) && m.statedSlowness(now) <= max(1, source.statedSlowness(now))
}

// occupancy returns the requests at the engine, running and waiting, divided by its batch slots. If
// the engine made no recent report, it is the mean of the service or that of the host's own
// requests, whichever is higher.
func (m *member) occupancy(now time.Time) float64 {
	slots := float64(max(1, m.Slots))
	u := m.usageSnapshot()
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > maxReportAge {
		return max(m.shard.meanSlotLoad, float64(m.inFlight)/slots)
	}
	return float64(max(m.inFlight, u.reportedLoad+m.inFlight-u.ownAtReport)) / slots
}

// statedSlowness returns how long work takes at the engine as a multiple of the usual time, by its
// own recent statement; 1 without one.
func (m *member) statedSlowness(now time.Time) float64 {
	u := m.usageSnapshot()
	if u.statedSlowdown <= 0 || now.Sub(u.statedSlowdownAt) > maxReportAge {
		return 1
	}
	return u.statedSlowdown
}

// position returns the number of the stream's events that the caller has received, including those
// that it had received before it asked to resume the stream.
func (w *answerWriter) position() int {
	if n, ok := eventNumber(w.lastEventID); ok {
		return int(n)
	}
	return w.events
}

// keepVersion restricts the criteria to the version that a moved stream began at: the engines that
// continue a stream must have the same weights.
func (r *Request) keepVersion(crit *criteria) {
	if !r.moved {
		return
	}
	admits, version := crit.admitsVersion, r.movedVersion
	crit.admitsVersion = func(v string) bool { return v == version && admits(v) }
}
