package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/httpintake"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/storage"
)

// historyPage is the maximum number of entries in one page of the history.
const historyPage = 100

// operatorHandler returns the handler of the operators' address. Readiness and
// metrics require no key; all other paths do.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathReady, h.serveReady)
	mux.HandleFunc("GET "+PathMetrics, h.writeMetrics)
	handle := func(pattern string, serve http.HandlerFunc) {
		mux.Handle(pattern, h.requireOperatorKey(serve))
	}
	handle("POST "+PathManifest, h.submitManifest)
	handle("GET "+PathManifest, h.showCurrent)
	handle("GET "+PathHistory, h.showHistory)
	handle("GET "+PathEpoch, h.showEpoch)
	handle("GET "+PathInForce, h.showConfirmations)
	handle("GET "+PathTraceEpoch, h.traceEpoch)
	handle("GET "+PathTraceRequest, h.traceRequest)
	handle("GET "+PathHosts, h.showHosts)
	handle("GET "+PathStops, h.showStops)
	handle("POST "+PathLeaving, h.setLeaving)
	handle("GET "+PathQuarantine, h.showQuarantine)
	handle("DELETE "+PathQuarantine+"/{digest}", h.withdrawVerdict)
	return mux
}

// requireOperatorKey calls next for requests with a valid operator key and refuses
// all others.
func (h *Host) requireOperatorKey(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !isOperatorKey(accountKey(req), h.settings.OperatorKeys) {
			writeOperatorError(w, http.StatusUnauthorized, errors.New("the operator key is missing or unknown"))
			return
		}
		next(w, req)
	})
}

// isOperatorKey reports whether key is one of keys. It compares the digests of all
// keys in constant time, so that the duration doesn't reveal anything about the keys.
func isOperatorKey(key string, keys []string) bool {
	sum := sha256.Sum256([]byte(key))
	match := 0
	for _, k := range keys {
		want := sha256.Sum256([]byte(k))
		match |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return match == 1
}

// serveReady answers the balancer's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.notReady.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if !h.upstreamsLoaded.Load() || !h.stopsLoaded.Load() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	if _, err := currentPolicy(h.manifestWatcher); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *Host) submitManifest(w http.ResponseWriter, req *http.Request) {
	conn, detach := h.intake.Attach(req)
	defer detach()
	if conn == nil {
		writeOperatorError(w, http.StatusServiceUnavailable, httpintake.ErrNoMemory)
		return
	}
	body, err := readBody(w, req, conn, manifest.MaxDocumentBytes)
	if err != nil {
		status := resultcode.Lookup(resultcode.FromError(err).Code).Status
		if status != http.StatusServiceUnavailable {
			status = http.StatusBadRequest
		}
		writeOperatorError(w, status, err)
		return
	}
	submission, err := h.manifestStore.Submit(req.Context(), body, req.Header.Get(HeaderSubmitToken))
	if err != nil {
		h.writeSubmitError(w, err)
		return
	}
	h.log.Info().Str("event", "manifest-accepted").Uint64("epoch", submission.Head.Epoch).
		Str("digest", submission.Head.Digest).Bool("already", submission.AlreadyAccepted).Msg("")
	h.announceHead(submission.Head)
	writeJSON(w, SubmitResponse{Head: submission.Head, Already: submission.AlreadyAccepted})
}

func (h *Host) writeSubmitError(w http.ResponseWriter, err error) {
	var problems manifest.Errors
	var conflict *config.ConflictError
	response := OperatorError{Message: err.Error(), Outcome: OutcomeNone}
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &problems):
		status = http.StatusUnprocessableEntity
		response.Problems = problems
	case errors.As(err, &conflict):
		status = http.StatusConflict
		response.Head = &conflict.Head
	case errors.Is(err, storage.ErrUnknown):
		status = http.StatusGatewayTimeout
		response.Outcome = OutcomeUnknown
	}
	h.log.Warn().Str("event", "manifest-refused").Int("status", status).Err(err).Msg("")
	w.WriteHeader(status)
	writeJSON(w, response)
}

func (h *Host) showCurrent(w http.ResponseWriter, _ *http.Request) {
	policy := h.manifestWatcher.Current()
	if policy == nil {
		writeOperatorError(w, http.StatusNotFound, errors.New("no manifest is in force"))
		return
	}
	writePolicy(w, policy)
}

func writePolicy(w http.ResponseWriter, policy *manifest.Policy) {
	w.Header().Set(headerEpoch, strconv.FormatUint(policy.Epoch, 10))
	w.Header().Set("ETag", strconv.Quote(policy.Digest))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(manifest.Encode(policy.Document))
}

func (h *Host) showHistory(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	heads, err := h.manifestStore.History(req.Context(), after, historyPage)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, heads)
}

func (h *Host) showEpoch(w http.ResponseWriter, req *http.Request) {
	epoch, ok := parseEpoch(w, req)
	if !ok {
		return
	}
	policy, err := h.manifestStore.LoadEpoch(req.Context(), epoch)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	writePolicy(w, policy)
}

func (h *Host) showHosts(w http.ResponseWriter, _ *http.Request) {
	response := HostsResponse{Self: h.settings.ID, Members: h.members.Members()}
	if policy := h.manifestWatcher.Current(); policy != nil {
		response.Epoch = policy.Epoch
	}
	for _, u := range h.pool.View() {
		response.Upstreams = append(response.Upstreams, UpstreamView{
			ID:       u.ID,
			Zone:     u.Zone,
			Leaving:  u.Leaving,
			Fenced:   h.upstreams.checksFencing(u.ID),
			Versions: u.Versions,
			InFlight: u.InFlight,
		})
	}
	writeJSON(w, response)
}

// setLeaving takes an upstream out of service on all hosts.
func (h *Host) setLeaving(w http.ResponseWriter, req *http.Request) {
	h.setUpstreamLeaving(req.PathValue("upstream"))
	w.WriteHeader(http.StatusNoContent)
}

func parseEpoch(w http.ResponseWriter, req *http.Request) (uint64, bool) {
	epoch, err := strconv.ParseUint(req.PathValue("epoch"), 10, 64)
	if err != nil || epoch == 0 {
		writeOperatorError(w, http.StatusBadRequest, errors.New("the epoch is a number from 1"))
		return 0, false
	}
	return epoch, true
}

func httpStatus(err error) int {
	if errors.Is(err, storage.ErrNotFound) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func writeOperatorError(w http.ResponseWriter, status int, err error) {
	w.WriteHeader(status)
	writeJSON(w, OperatorError{Message: err.Error(), Outcome: OutcomeNone})
}

// showConfirmations responds with the hosts that have confirmed the manifest of an epoch
// and the hosts that haven't.
func (h *Host) showConfirmations(w http.ResponseWriter, req *http.Request) {
	epoch, ok := parseEpoch(w, req)
	if !ok {
		return
	}
	head, err := h.headOfEpoch(req.Context(), epoch)
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	report, err := h.manifestStore.ReportConfirmations(req.Context(), head, h.memberIDs())
	if err != nil {
		writeOperatorError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, report)
}

// memberIDs returns the IDs of all members, including those that are down.
func (h *Host) memberIDs() []string {
	var ids []string
	for _, m := range h.members.Members() {
		ids = append(ids, m.ID)
	}
	return ids
}

func (h *Host) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	h.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// headOfEpoch returns the head of the manifest that was accepted with the given epoch.
func (h *Host) headOfEpoch(ctx context.Context, epoch uint64) (config.Head, error) {
	heads, err := h.manifestStore.History(ctx, epoch-1, 1)
	if err != nil {
		return config.Head{}, err
	}
	if len(heads) == 0 || heads[0].Epoch != epoch {
		return config.Head{}, fmt.Errorf("epoch %d: %w", epoch, storage.ErrNotFound)
	}
	return heads[0], nil
}
