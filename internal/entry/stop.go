package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

// settleTimeout bounds the settling of bills, claims and slices after the last
// request ended.
const settleTimeout = 30 * time.Second

const (
	// cutTimeout bounds the wait for requests that were cut to end.
	cutTimeout = 5 * time.Second
	// cutPoll is the time between looks whether they did.
	cutPoll = 10 * time.Millisecond
)

// Cut ends a planned stop early: requests that are still running are cut, and
// what the host holds is settled at once.
func (h *Host) Cut() { h.cut() }

// stop is the planned stop. Readiness goes off first; the host goes on taking
// requests while the balancer may still send them, then finishes those it has.
func (h *Host) stop(callers, operators *http.Server) error {
	h.unready.Store(true)
	h.log.Info().Str("event", "stopping").Dur("balancer_lag_ms", h.settings.BalancerLag).Msg("")
	leaveErr := h.announceLeaving()
	// Ended by a cut as well.
	_ = wait.For(h.cutting, h.settings.BalancerLag)
	finishErr := h.finish(callers)
	h.stopping.Store(true)
	settleErr := h.settle()
	h.log.Info().Str("event", "stopped").Errs("errors", []error{leaveErr, finishErr, settleErr}).Msg("")
	return errors.Join(finishErr, settleErr, operators.Close())
}

// finish closes idle connections and waits for the requests under way. Those
// that take longer than the stop may are cut, and it says how many.
func (h *Host) finish(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(h.cutting, h.settings.StopTimeout)
	defer cancel()
	if callers.Shutdown(ctx) == nil {
		return nil
	}
	running := h.queues.stats().Running
	h.log.Warn().Str("event", "cut").Int("requests", running).Msg("")
	closeErr := callers.Close()
	h.waitForCut()
	return errors.Join(fmt.Errorf("%d requests were cut", running), closeErr)
}

// waitForCut lets cut requests record their bills and claims.
func (h *Host) waitForCut() {
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	for h.queues.stats().Running > 0 {
		if wait.For(ctx, cutPoll) != nil {
			return
		}
	}
}

// settle writes what the host holds and gives back what it borrowed.
func (h *Host) settle() error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return errors.Join(
		h.ledger.Drain(ctx),
		h.claims.Flush(ctx),
		h.leaveQuota(ctx),
	)
}
