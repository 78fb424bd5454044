package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/internal/guard"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/responsecheck"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// sightingsInterval is the interval between checks for new sightings to send to the
	// other hosts. All hosts must block a poison request within 3 s.
	sightingsInterval = 200 * time.Millisecond
	// verdictsInterval is the interval between reads of the table's rows for
	// verdicts. This host reads the rows repeatedly while it has verdicts, since
	// operators may delete the rows.
	verdictsInterval = 5 * time.Second
	// verdictsPrefix starts the keys of the rows for verdicts.
	verdictsPrefix = "quarantine/"

	methodSightings = "quarantine.sightings"
)

// PathQuarantine is the path that lists the quarantined requests. A DELETE of the path
// followed by a digest withdraws the verdict on the requests with that digest.
const PathQuarantine = "/v1/quarantine"

// sightingsParams holds the sightings that one host sends to another, that is, the
// losses and survivals of requests, and its suspects and verdicts.
type sightingsParams struct {
	Sightings exchange.Sightings        `json:"sightings,omitzero"`
	Status    exchange.QuarantineStatus `json:"standing,omitzero"`
}

// quarantineExchange sends this host's sightings to the other hosts and reads the
// verdicts in the table. Every host receives the sightings of all others and reaches
// verdicts by itself.
type quarantineExchange struct {
	host  *Host
	guard *guard.Guard

	mu sync.Mutex
	// sentAt holds, by digest, the time when a suspect or verdict was last sent to the
	// other hosts. Entries older than resendInterval are removed.
	sentAt map[quarantine.Digest]time.Time
	// readAt is when the rows for verdicts were last read. It is zero before the first
	// read.
	readAt time.Time
}

func newQuarantineExchange(h *Host) *quarantineExchange {
	e := &quarantineExchange{host: h, sentAt: make(map[quarantine.Digest]time.Time)}
	e.guard = guard.New(guard.Options{
		Host: h.incarnation, Table: h.platform.Table, Prefix: verdictsPrefix, Log: h.log,
		// Sightings of several hosts are compared by their times. Only times of the wall
		// clock, counted from the Unix epoch, can be compared across hosts.
		Clock:   func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		OnEvent: h.metrics.countGuardEvent, Others: h.upstreamAddresses,
	})
	peer.Handle(h.peerServer, methodSightings, func(_ context.Context, _ string, p sightingsParams) (empty, error) {
		e.guard.AddSightings(p.Sightings)
		e.guard.ApplyStatus(p.Status)
		return empty{}, nil
	})
	return e
}

// upstreamAddresses returns the addresses of the upstreams that the host knows.
func (h *Host) upstreamAddresses() []string {
	var list []string
	for _, u := range h.pool.View() {
		list = append(list, u.Address)
	}
	return list
}

// run sends sightings and reads verdicts until ctx ends.
func (e *quarantineExchange) run(ctx context.Context) error {
	var background sync.WaitGroup
	background.Go(func() { e.guard.Run(ctx) })
	defer background.Wait()
	return runPeriodically(ctx, sightingsInterval, func() {
		e.send(ctx)
		e.readVerdicts(ctx)
	})
}

// send sends new sightings, suspects and verdicts to all other hosts.
func (e *quarantineExchange) send(ctx context.Context) {
	params := sightingsParams{Sightings: e.guard.Sightings(), Status: e.unsent()}
	if params.Sightings.IsZero() && params.Status.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range e.host.otherHosts() {
		calls.Go(func() {
			if err := e.host.peers.Call(ctx, m.PeerAddr, methodSightings, params, nil); err != nil {
				// The other host can still read the verdict from the table, or reach the
				// same verdict by itself after enough of its own upstreams terminated.
				e.host.log.Debug().Str("event", "sightings-untold").Str("member", m.ID).Err(err).Msg("")
			}
		})
	}
	calls.Wait()
}

// resendInterval is the time after which a suspect or verdict may be sent again.
const resendInterval = time.Second

// unsent returns this host's new suspects and its own verdicts, except those that
// were sent within the last resendInterval.
func (e *quarantineExchange) unsent() exchange.QuarantineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for d, at := range e.sentAt {
		if now.Sub(at) > resendInterval {
			delete(e.sentAt, d)
		}
	}
	status := e.guard.Status()
	var due exchange.QuarantineStatus
	for _, suspect := range status.Suspects {
		if _, ok := e.sentAt[suspect.Digest]; !ok && suspect.Age == 0 {
			due.Suspects = append(due.Suspects, suspect)
			e.sentAt[suspect.Digest] = now
		}
	}
	for _, v := range status.Verdicts {
		if _, ok := e.sentAt[v.Digest]; !ok && v.MadeBy == e.host.incarnation {
			due.Verdicts = append(due.Verdicts, v)
			e.sentAt[v.Digest] = now
		}
	}
	return due
}

// readVerdicts applies the rows for verdicts in the table. It reads them once after
// the start, and then at verdictsInterval while this host has verdicts.
func (e *quarantineExchange) readVerdicts(ctx context.Context) {
	if !e.readAt.IsZero() && (e.guard.VerdictCount() == 0 || time.Since(e.readAt) < verdictsInterval) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := e.host.platform.Table.List(ctx, verdictsPrefix, "", quarantine.MaxVerdicts)
	if err != nil {
		return // the next call reads them
	}
	e.readAt = time.Now()
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		keys[row.Key] = true
		if err := e.guard.ApplyRow(row.Key, row.Value, storage.Revision(row.Version)); err != nil {
			e.host.log.Error().Str("event", "verdict-unreadable").Str("key", row.Key).Err(err).Msg("")
		}
	}
	e.guard.DropMissingVerdicts(keys)
}

// quarantineContent returns the parts of the request from which its digest for the
// quarantine is computed.
func (r *Request) quarantineContent() *quarantine.Content {
	return &quarantine.Content{
		Host: r.Route, Method: r.Service.Method, Target: r.Service.Path, Account: r.AccountName(), Body: r.Body,
	}
}

// guardUpstream returns the guard's representation of the upstream.
func guardUpstream(u *balance.Upstream) guard.Upstream {
	return guard.Upstream{ID: u.ID, Service: u.Name, Address: u.Address, Incarnation: quarantine.Incarnation(exchange.HashID(u.ID))}
}

// guardOutcome converts the error of an attempt, or nil, to an outcome of package
// guard.
func guardOutcome(ctx context.Context, err error) guard.Outcome {
	var status *upstream.StatusError
	switch {
	case err == nil:
		return guard.Answered
	case errors.As(err, &status):
		if isRefusal(status) {
			return guard.NotRun
		}
		return guard.Answered
	case errors.Is(err, upstream.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED):
		return guard.Unreachable
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, errUpstreamLeft):
		return guard.NotRun
	case ctx.Err() != nil, errors.Is(err, errNotTaken):
		return guard.Abandoned
	case responsecheck.IsInvalid(err):
		return guard.Answered // the upstream goes on
	default:
		return guard.Interrupted
	}
}

// checkQuarantine waits if the guard holds the request back. It returns an error if
// the request may not be sent to an upstream.
func (f *dispatch) checkQuarantine(ctx context.Context, r *Request) error {
	err := f.guard.Admit(ctx, r.digest, r.Route)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, guard.ErrQuarantined):
		return resultcode.Wrap(resultcode.RequestQuarantined, err, "upstreams ended that ran this request")
	default:
		return contextError(ctx, err)
	}
}

func (h *Host) showQuarantine(w http.ResponseWriter, _ *http.Request) {
	verdicts := make([]quarantine.Verdict, 0)
	for _, e := range h.quarantine.guard.Verdicts() {
		verdicts = append(verdicts, e.Verdict)
	}
	writeJSON(w, verdicts)
}

// withdrawVerdict withdraws the verdict on a digest. The other hosts withdraw the verdict
// when they next read the table, within verdictsInterval.
func (h *Host) withdrawVerdict(w http.ResponseWriter, req *http.Request) {
	d, err := quarantine.ParseDigest(req.PathValue("digest"))
	if err != nil {
		writeOperatorError(w, http.StatusBadRequest, err)
		return
	}
	if err := h.quarantine.guard.Withdraw(req.Context(), d); err != nil {
		writeOperatorError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// countGuardEvent counts the guard's verdicts, the upstreams that terminated, and the
// requests that the guard refused.
func (m *requestMetrics) countGuardEvent(event guard.CountedEvent, service string) {
	switch event {
	case guard.CountVerdict:
		m.set.GetOrCreateCounter("quetzalweir_verdicts_total").Inc()
	case guard.CountTerminated:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_upstreams_ended_total{service=%q}`, service)).Inc()
	case guard.CountRefused:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_quarantine_refusals_total{service=%q}`, service)).Inc()
	}
}
