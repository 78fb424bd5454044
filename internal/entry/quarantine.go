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
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/upstream"
)

const (
	// sightingsInterval is the time between two looks for what other hosts are to be
	// told of upstreams that ended: a request that ends upstreams has to be known
	// everywhere within 3 s.
	sightingsInterval = 200 * time.Millisecond
	// verdictsInterval is the time between two readings of the verdicts' rows while there
	// are any, which operators may remove.
	verdictsInterval = 5 * time.Second
	// verdictsPrefix starts the keys of the rows about requests that are kept away.
	verdictsPrefix = "quarantine/"

	methodSightings = "quarantine.sightings"
)

// PathQuarantine lists the requests that are kept away from upstreams; with a digest after
// it a DELETE lifts one.
const PathQuarantine = "/v1/quarantine"

// sightingsParams is what one host tells another about upstreams that ended.
type sightingsParams struct {
	Sightings exchange.Sightings        `json:"sightings,omitzero"`
	Standing  exchange.QuarantineStatus `json:"standing,omitzero"`
}

// quarantineExchange tells the other hosts what this host saw of upstreams that ended, and
// keeps the verdicts that the table has. Each host hears from all others, so each judges.
type quarantineExchange struct {
	host  *Host
	guard *guard.Guard

	mu sync.Mutex
	// told are the suspects and verdicts that the others were told, and when.
	told map[quarantine.Digest]time.Time
	// readAt is when the rows were last read; zero before the first time.
	readAt time.Time
}

func newQuarantineExchange(h *Host) *quarantineExchange {
	e := &quarantineExchange{host: h, told: make(map[quarantine.Digest]time.Time)}
	e.guard = guard.New(guard.Options{
		Host: h.incarnation, Table: h.platform.Table, Prefix: verdictsPrefix, Log: h.log,
		// Hosts have no other clock in common.
		Clock:   func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		OnEvent: h.metrics.guarded,
	})
	peer.Handle(h.peerSrv, methodSightings, func(_ context.Context, _ string, p sightingsParams) (none, error) {
		e.guard.AddSightings(p.Sightings)
		e.guard.ApplyStatus(p.Standing)
		return none{}, nil
	})
	return e
}

// run exchanges until ctx ends.
func (e *quarantineExchange) run(ctx context.Context) error {
	var guarding sync.WaitGroup
	guarding.Go(func() { e.guard.Run(ctx) })
	defer guarding.Wait()
	return every(ctx, sightingsInterval, func() {
		e.tell(ctx)
		e.read(ctx)
	})
}

// tell tells all other hosts what is new.
func (e *quarantineExchange) tell(ctx context.Context) {
	params := sightingsParams{Sightings: e.guard.Sightings(), Standing: e.news()}
	if params.Sightings.IsZero() && params.Standing.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range e.host.others() {
		calls.Go(func() {
			if err := e.host.peers.Call(ctx, m.PeerAddr, methodSightings, params, nil); err != nil {
				// It hears of verdicts from the table, or loses by itself what it needs.
				e.host.log.Debug().Str("event", "sightings-untold").Str("member", m.ID).Err(err).Msg("")
			}
		})
	}
	calls.Wait()
}

// toldAgain is the time after which a suspect is news once more.
const toldAgain = time.Second

// news are the suspects and verdicts that the others weren't told just now.
func (e *quarantineExchange) news() exchange.QuarantineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for d, at := range e.told {
		if now.Sub(at) > toldAgain {
			delete(e.told, d)
		}
	}
	standing := e.guard.Status()
	var s exchange.QuarantineStatus
	for _, suspect := range standing.Suspects {
		if _, ok := e.told[suspect.Digest]; !ok && suspect.Age == 0 {
			s.Suspects = append(s.Suspects, suspect)
			e.told[suspect.Digest] = now
		}
	}
	for _, v := range standing.Verdicts {
		if _, ok := e.told[v.Digest]; !ok && v.By == e.host.incarnation {
			s.Verdicts = append(s.Verdicts, v)
			e.told[v.Digest] = now
		}
	}
	return s
}

// read reads the verdicts' rows: once after the start, and while there are any.
func (e *quarantineExchange) read(ctx context.Context) {
	if !e.readAt.IsZero() && (e.guard.Len() == 0 || time.Since(e.readAt) < verdictsInterval) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := e.host.platform.Table.List(ctx, verdictsPrefix, "", quarantine.MaxVerdicts)
	if err != nil {
		return // the next round tries again
	}
	e.readAt = time.Now()
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		keys[row.Key] = true
		if err := e.guard.ApplyRow(row.Key, row.Value, storage.Revision(row.Version)); err != nil {
			e.host.log.Error().Str("event", "verdict-unreadable").Str("key", row.Key).Err(err).Msg("")
		}
	}
	e.guard.LiftMissingRows(keys)
}

// content is what makes two requests the same one.
func (r *Request) content() *quarantine.Content {
	return &quarantine.Content{
		Host: r.Route, Method: r.Service.Method, Target: r.Service.Path, Account: r.AccountName(), Body: r.Body,
	}
}

// guarded is the upstream as the guard knows it.
func guarded(u *balance.Upstream) guard.Upstream {
	return guard.Upstream{ID: u.ID, Service: u.Name, Address: u.Address, Incarnation: quarantine.Incarnation(exchange.HashID(u.ID))}
}

// guardOutcome is what an attempt's error says of the upstream's run.
func guardOutcome(ctx context.Context, err error) guard.Outcome {
	var status *upstream.StatusError
	switch {
	case err == nil:
		return guard.Answered
	case errors.As(err, &status):
		if refuses(status) {
			return guard.NotRun
		}
		return guard.Answered
	case errors.Is(err, upstream.ErrConnect) && errors.Is(err, syscall.ECONNREFUSED):
		return guard.Unreachable
	case errors.Is(err, upstream.ErrConnect), errors.Is(err, errNotPlaced):
		return guard.NotRun
	case ctx.Err() != nil:
		return guard.Abandoned
	default:
		return guard.Interrupted
	}
}

// admitted says whether the request may be sent to an upstream now.
func (f *dispatch) admitted(ctx context.Context, r *Request) error {
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

// liftQuarantine withdraws a verdict; the other hosts follow within verdictsInterval.
func (h *Host) liftQuarantine(w http.ResponseWriter, req *http.Request) {
	d, err := quarantine.ParseDigest(req.PathValue("digest"))
	if err != nil {
		operatorError(w, http.StatusBadRequest, err)
		return
	}
	if err := h.quarantine.guard.Withdraw(req.Context(), d); err != nil {
		operatorError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// guarded counts what the guard tells.
func (m *requestMetrics) guarded(what guard.CountedEvent, service string) {
	switch what {
	case guard.CountVerdict:
		m.set.GetOrCreateCounter("quetzalweir_verdicts_total").Inc()
	case guard.CountTerminated:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_upstreams_ended_total{service=%q}`, service)).Inc()
	case guard.CountRefused:
		m.set.GetOrCreateCounter(fmt.Sprintf(`quetzalweir_quarantine_refusals_total{service=%q}`, service)).Inc()
	}
}
