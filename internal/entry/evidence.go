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
	// exchangeInterval is the time between exchanges of evidence.
	exchangeInterval = 250 * time.Millisecond
	// relayEvery is the number of rounds between two in which a host, chosen at
	// random, gets all evidence.
	relayEvery = 8
	// exchangeTimeout bounds one exchange with one host.
	exchangeTimeout = time.Second
	// refillInterval is the time between claims on exposure budgets.
	refillInterval = time.Second
	// refillPause is the least time between two, which bounds calls of the store.
	refillPause = 50 * time.Millisecond
	// stopPrefix starts the keys of the rows about stopped versions.
	stopPrefix = "stop/"
	// maxStops bounds the rows read at once.
	maxStops = 1000

	methodEvidence = "rollout.evidence"
)

// PathStops lists the versions that the hosts stopped by themselves.
const PathStops = "/v1/stops"

// evidenceParams is what one host tells another about versions that roll in.
type evidenceParams struct {
	Evidence []rollout.Evidence `json:"evidence,omitempty"`
	Stops    []rollout.Stop     `json:"stops,omitempty"`
}

// evidenceExchange tells other hosts what this host found out, each only what
// changed since it was last told; and now and then one of them all that it knows
// of any host, for those that are cut from each other or came late.
type evidenceExchange struct {
	host  *Host
	mu    sync.Mutex
	marks map[string]uint64
	// rounds counts the exchanges.
	rounds int
	// stored holds the stops that are known to be in the table.
	stored map[rollout.Key]uint64
}

func newEvidenceExchange(h *Host) *evidenceExchange {
	e := &evidenceExchange{host: h, marks: map[string]uint64{}, stored: map[rollout.Key]uint64{}}
	peer.Handle(h.peerSrv, methodEvidence, func(_ context.Context, _ string, p evidenceParams) (none, error) {
		e.adopt(p)
		return none{}, nil
	})
	return e
}

func (e *evidenceExchange) adopt(p evidenceParams) {
	e.host.rollout.Merge(p.Evidence)
	for _, s := range p.Stops {
		if e.host.rollout.AdoptStop(s) {
			e.host.logStop(s, true)
		}
	}
}

// run exchanges evidence until ctx ends.
func (e *evidenceExchange) run(ctx context.Context) error {
	loaded := false
	return every(ctx, exchangeInterval, func() {
		if !loaded {
			loaded = e.load(ctx) == nil
			e.host.sawStops.Store(true)
		}
		e.tell(ctx)
		e.store(ctx)
	})
}

func (e *evidenceExchange) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stops := e.host.rollout.Stops()
	others := e.host.others()
	relayTo := e.relayTo(others)
	var wait sync.WaitGroup
	for i, m := range others {
		evidence, next := e.host.rollout.ExportOwn(e.mark(m.ID))
		if i == relayTo {
			evidence = e.host.rollout.Export()
		}
		if len(evidence) == 0 {
			continue
		}
		wait.Go(func() {
			params := evidenceParams{Evidence: evidence, Stops: stops}
			if e.host.peers.Call(ctx, m.PeerAddr, methodEvidence, params, nil) == nil {
				e.setMark(m.ID, next)
			}
		})
	}
	wait.Wait()
}

// relayTo is the index of the host that gets all evidence in this round, or -1.
// One at random is enough: hosts that are cut from each other hear of each other
// through any of those that both reach.
func (e *evidenceExchange) relayTo(others []membership.Member) int {
	e.rounds++
	if len(others) == 0 || e.rounds%relayEvery != 0 {
		return -1
	}
	return rand.IntN(len(others))
}

func (e *evidenceExchange) mark(host string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.marks[host]
}

func (e *evidenceExchange) setMark(host string, mark uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marks[host] = mark
}

// store writes the stops to the table, so that they outlive the hosts.
func (e *evidenceExchange) store(ctx context.Context) {
	for _, s := range e.host.rollout.Stops() {
		if e.stored[s.Key()] >= s.Epoch {
			continue
		}
		if err := e.put(ctx, s); err != nil {
			e.host.log.Warn().Str("event", "stop-store").Str("model", s.Model).Str("version", s.Version).Err(err).Msg("")
			continue
		}
		e.stored[s.Key()] = s.Epoch
		e.host.logStop(s, false)
	}
}

// put inserts the stop's row; another host's row for the same round is as good.
func (e *evidenceExchange) put(ctx context.Context, s rollout.Stop) error {
	value, err := json.Marshal(s)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%s/%d", stopPrefix, s.Model, s.Version, s.Epoch)
	_, err = e.host.committer.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return err
}

// load adopts the stops that are in the table. The host isn't ready before the
// first attempt, which may fail: then its peers tell it.
func (e *evidenceExchange) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := e.host.platform.Table.List(ctx, stopPrefix, "", maxStops)
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

// refill claims parts of the exposure budgets, at once when one runs low: another host may
// have bound a session to the version, which this host must serve then.
func (h *Host) refill(ctx context.Context) error {
	granter := rollout.NewGranter(h.platform.Table, h.incarnation)
	for {
		pause := refillPause
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

func (h *Host) logStop(s rollout.Stop, told bool) {
	h.log.Warn().Str("event", "version-stopped").Str("model", s.Model).Str("version", s.Version).
		Uint64("round", s.Epoch).Str("reason", string(s.Reason)).Str("by", s.Host).Bool("told", told).
		Uint64("answers", s.Summary.Answers).Uint64("errors", s.Summary.Errors).
		Float64("mean_rating", s.Summary.MeanRating).Msg("")
}

func (h *Host) showStops(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.rollout.Stops())
}
