package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/membership"
	"github.com/quetzalweir/quetzalweir/rollout"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// exchangeInterval is the time between exchanges of roll-out evidence.
	exchangeInterval = 250 * time.Millisecond
	// exchangesPerRelay is the interval, in exchanges, at which a random host receives
	// all evidence that this host holds, including that of other hosts.
	exchangesPerRelay = 8
	// exchangeTimeout is the timeout of an exchange with one host.
	exchangeTimeout = time.Second
	// refillInterval is the maximum wait before the next attempt to claim grants of the
	// exposure budgets.
	refillInterval = time.Second
	// minRefillInterval is the minimum time between two attempts to claim grants. It
	// limits the rate of calls to the table.
	minRefillInterval = 50 * time.Millisecond
	// stopKeyPrefix starts the keys of the table rows for stopped versions.
	stopKeyPrefix = "stop/"
	// maxStopRows is the maximum number of rows for stopped versions read at once.
	maxStopRows = 1000

	methodEvidence = "rollout.evidence"
)

// PathStops is the path that lists the versions that the hosts stopped automatically.
const PathStops = "/v1/stops"

// evidenceParams holds evidence on versions that roll in, and the stops of versions
// that the sender has recorded.
type evidenceParams struct {
	Evidence []rollout.Evidence `json:"evidence,omitempty"`
	Stops    []rollout.Stop     `json:"stops,omitempty"`
}

// evidenceExchange sends this host's evidence to the other hosts. Each host receives
// only the evidence that changed since the last successful call to it. cursors holds,
// by host ID, the change number up to which the host has received the evidence. In
// every exchangesPerRelay-th exchange, a random host receives all evidence, including
// that of other hosts, so that evidence also spreads between hosts that can't reach
// each other and to hosts that joined late.
type evidenceExchange struct {
	host    *Host
	mu      sync.Mutex
	cursors map[string]uint64
	// exchanges is the number of exchanges since the host's start.
	exchanges int
	// storedRounds holds, for each stopped version, the round of the stop that is
	// known to be stored in the table.
	storedRounds map[rollout.Key]uint64
}

func newEvidenceExchange(h *Host) *evidenceExchange {
	e := &evidenceExchange{host: h, cursors: map[string]uint64{}, storedRounds: map[rollout.Key]uint64{}}
	peer.Handle(h.peerServer, methodEvidence, func(_ context.Context, _ string, p evidenceParams) (empty, error) {
		e.merge(p)
		return empty{}, nil
	})
	return e
}

func (e *evidenceExchange) merge(p evidenceParams) {
	e.host.rollout.Merge(p.Evidence)
	for _, s := range p.Stops {
		if e.host.rollout.AdoptStop(s) {
			e.host.logStop(s, true)
		}
	}
}

// run exchanges evidence with the other hosts until ctx ends.
func (e *evidenceExchange) run(ctx context.Context) error {
	loaded := false
	return runPeriodically(ctx, exchangeInterval, func() {
		if !loaded {
			loaded = e.loadStops(ctx) == nil
			e.host.stopsLoaded.Store(true)
		}
		e.send(ctx)
		e.storeStops(ctx)
	})
}

func (e *evidenceExchange) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stops := e.host.rollout.Stops()
	others := e.host.otherHosts()
	relayIndex := e.relayTarget(others)
	var calls sync.WaitGroup
	for i, m := range others {
		evidence, next := e.host.rollout.ExportOwn(e.cursor(m.ID))
		if i == relayIndex {
			evidence = e.host.rollout.Export()
		}
		if len(evidence) == 0 {
			continue
		}
		calls.Go(func() {
			params := evidenceParams{Evidence: evidence, Stops: stops}
			if e.host.peers.Call(ctx, m.PeerAddr, methodEvidence, params, nil) == nil {
				e.setCursor(m.ID, next)
			}
		})
	}
	calls.Wait()
}

// relayTarget returns the index of the host that receives all evidence in this
// exchange, or -1 if none does. One random host is enough, because hosts that can't
// reach each other receive each other's evidence through any host that both can
// reach.
func (e *evidenceExchange) relayTarget(others []membership.Member) int {
	e.exchanges++
	if len(others) == 0 || e.exchanges%exchangesPerRelay != 0 {
		return -1
	}
	return rand.IntN(len(others))
}

func (e *evidenceExchange) cursor(host string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cursors[host]
}

func (e *evidenceExchange) setCursor(host string, cursor uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cursors[host] = cursor
}

// storeStops writes the stopped versions to the table, where they outlive the hosts.
func (e *evidenceExchange) storeStops(ctx context.Context) {
	for _, s := range e.host.rollout.Stops() {
		if e.storedRounds[s.Key()] >= s.Round {
			continue
		}
		if err := e.putStop(ctx, s); err != nil {
			e.host.log.Warn().Str("event", "stop-store").Str("model", s.Model).Str("version", s.Version).Err(err).Msg("")
			continue
		}
		e.storedRounds[s.Key()] = s.Round
		e.host.logStop(s, false)
	}
}

// putStop inserts the row for a stopped version. It succeeds as well if another host
// has already stored a row for the same version and round.
func (e *evidenceExchange) putStop(ctx context.Context, s rollout.Stop) error {
	value, err := json.Marshal(s)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%s/%d", stopKeyPrefix, s.Model, s.Version, s.Round)
	_, err = e.host.committer.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}

// loadStops reads the stopped versions from the table. The host isn't ready until
// loadStops has returned once, with or without an error. After an error the host still
// receives the stopped versions from other hosts.
func (e *evidenceExchange) loadStops(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := e.host.platform.Table.List(ctx, stopKeyPrefix, "", maxStopRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var s rollout.Stop
		if json.Unmarshal(row.Value, &s) == nil {
			e.host.rollout.AdoptStop(s)
		}
	}
	return nil
}

// refillExposure claims grants of the exposure budgets for this host until ctx ends,
// at intervals and whenever the host needs a further grant. If it claimed grants only
// at intervals, this host would meanwhile refuse requests of sessions that another
// host has bound to a version for which this host holds no grant.
func (h *Host) refillExposure(ctx context.Context) error {
	granter := rollout.NewGranter(h.platform.Table, h.incarnation)
	for {
		pause := minRefillInterval
		h.rollout.SetHosts(len(h.members.Members()))
		if err := h.rollout.ClaimGrants(ctx, granter); err != nil {
			h.log.Warn().Str("event", "exposure-refill").Err(err).Msg("")
			pause = refillInterval
		}
		if err := wait.For(ctx, pause); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.rollout.GrantNeeded():
		case <-time.After(refillInterval):
		}
	}
}

func (h *Host) logStop(s rollout.Stop, received bool) {
	h.log.Warn().Str("event", "version-stopped").Str("model", s.Model).Str("version", s.Version).
		Uint64("round", s.Round).Str("reason", string(s.Reason)).Str("by", s.Host).Bool("told", received).
		Uint64("answers", s.Summary.Answers).Uint64("errors", s.Summary.Errors).
		Float64("mean_rating", s.Summary.MeanRating).Msg("")
}

func (h *Host) showStops(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.rollout.Stops())
}
