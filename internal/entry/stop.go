package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/plannedstop"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/ledger"
)

// answerMargin is the time in which the requests that are ended at the end of the stop are answered. Before its answer, a
// request's bill is replicated and its claim is written, each of which may take up to its own timeout.
const answerMargin = ledger.DefaultRecordTimeout + claimFinishTimeout + plannedstop.AnswerMargin

// drainTimeout is the timeout for writing bills and claims and returning quota slots
// after the last request ended.
const drainTimeout = 30 * time.Second

const (
	// abortTimeout is the maximum time for which the host waits until aborted requests
	// have ended.
	abortTimeout = 5 * time.Second
	// abortPollInterval is the time between checks whether aborted requests ended.
	abortPollInterval = 10 * time.Millisecond
)

// ForceStop shortens a planned stop: requests that still run are aborted, and pending
// bills and claims are written at once.
func (h *Host) ForceStop() { h.forceStop() }

// stop makes a planned stop. First it makes the readiness check fail. For the duration
// of BalancerLag the host still accepts requests, since the balancer may still send
// them. It then waits for the requests in flight.
func (h *Host) stop(callers, operators *http.Server) error {
	h.plannedStop.Begin(time.Now().Add(h.settings.BalancerLag + h.settings.StopTimeout))
	h.notReady.Store(true)
	h.log.Info().Str("event", "stopping").Dur("balancer_lag_ms", h.settings.BalancerLag).Msg("")
	leaveErr := h.announceLeaving()
	// ForceStop ends this wait as well.
	_ = wait.For(h.forceStopCtx, h.settings.BalancerLag)
	finishErr := h.finishRequests(callers)
	h.stopping.Store(true)
	drainErr := h.drain()
	h.log.Info().Str("event", "stopped").Errs("errors", []error{leaveErr, finishErr, drainErr}).Msg("")
	return errors.Join(finishErr, drainErr, operators.Close())
}

// finishRequests closes idle connections and waits for the requests in flight. It
// ends requests that exceed the stop timeout and returns an error with their
// number.
func (h *Host) finishRequests(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(h.forceStopCtx, h.settings.StopTimeout)
	defer cancel()
	if callers.Shutdown(ctx) == nil {
		return nil
	}
	running := h.requestsInProgress.Load()
	h.log.Warn().Str("event", "cut").Int64("requests", running).Msg("")
	closeErr := h.plannedStop.EndRequestsWithin(answerMargin, callers, h.intake.EndBodies)
	h.waitForAborted()
	return errors.Join(fmt.Errorf("%d requests were aborted", running), closeErr)
}

// waitForAborted waits, up to abortTimeout, until all aborted requests have ended, so
// that their bills and claims are recorded.
func (h *Host) waitForAborted() {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	for h.requestsInProgress.Load() > 0 {
		if wait.For(ctx, abortPollInterval) != nil {
			return
		}
	}
}

// drain writes pending bills and claims and returns the quota slots.
func (h *Host) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Join(
		h.ledger.Drain(ctx),
		h.claims.Flush(ctx),
		h.releaseQuota(ctx),
	)
}
