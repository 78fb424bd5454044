package entry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// settleTimeout bounds the settling of bills, claims and slices after the last
// request ended.
const settleTimeout = 30 * time.Second

// stop is the planned stop. Readiness goes off first; the host goes on taking
// requests while the balancer may still send them, then finishes those it has.
func (h *Host) stop(callers, operators *http.Server) error {
	h.unready.Store(true)
	h.log.Info().Str("event", "stopping").Dur("balancer_lag_ms", h.settings.BalancerLag).Msg("")
	leaveErr := h.announceLeaving()
	time.Sleep(h.settings.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopTimeout)
	defer cancel()
	// Shutdown closes idle connections and waits for requests under way.
	shutdownErr := callers.Shutdown(ctx)
	h.stopping.Store(true)
	settleErr := h.settle()
	h.log.Info().Str("event", "stopped").Errs("errors", []error{leaveErr, shutdownErr, settleErr}).Msg("")
	return errors.Join(shutdownErr, settleErr, operators.Close())
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
