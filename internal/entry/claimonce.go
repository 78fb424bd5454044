package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// claimFinishTimeout is the maximum time for which an answer is held back while the
// outcome of its request is written to the claim's row. After this timeout, the write is
// retried in the background.
const claimFinishTimeout = 500 * time.Millisecond

// claimOnce ensures that a call that must not be repeated runs at most once. It
// stores a claim on the call's request key in the table before the first byte goes to
// an upstream.
type claimOnce struct {
	claims *claim.Store
	log    zerolog.Logger
}

// Serve implements Filter.
func (f *claimOnce) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Repeatable {
		r.keyUnresolved = false
		return next(ctx, r)
	}
	if r.RequestKey == "" {
		return resultcode.New(resultcode.RequestKeyNeeded, "this call may not be repeated and needs a request key")
	}
	acquired, err := f.claims.Acquire(ctx, claim.Key{Account: r.Account.Name, RequestKey: r.RequestKey}, requestDigest(r), r.ID)
	if err != nil {
		return f.replayOrError(r, err)
	}
	r.keyUnresolved = false
	r.Claim = acquired
	// The deferred call ends the claim even if a filter panics. The claim is then
	// released if nothing was sent, and recorded as may-have-run otherwise.
	err = errPanicked
	defer func() { f.finishClaim(r, acquired, err) }()
	err = next(ctx, r)
	return err
}

// errPanicked is the result of a request in which a filter panicked.
var errPanicked = errors.New("entry: a filter panicked")

// replayOrError handles a request whose key couldn't be claimed. If a request with
// the same key has finished, it replays that request's answer. Otherwise it returns
// an error.
func (f *claimOnce) replayOrError(r *Request, err error) error {
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	var mayHaveRun *claim.MayHaveRunError
	switch {
	case errors.As(err, &done):
		r.keyUnresolved = false
		return replayResult(r, done.Result)
	case errors.As(err, &inFlight):
		r.state.Raise(runstate.MayHaveRun)
		return resultcode.Wrap(resultcode.DuplicateInFlight, err, "request %s with this key is being run", inFlight.RequestID)
	case errors.As(err, &mayHaveRun):
		r.state.Raise(runstate.MayHaveRun)
		return resultcode.Wrap(resultcode.EarlierOutcomeUnknown, err, "request %s with this key may have run", mayHaveRun.RequestID)
	case errors.Is(err, claim.ErrKeyReused):
		r.keyUnresolved = false
		return resultcode.Wrap(resultcode.KeyReused, err, "the request key was used with another request")
	default:
		// Without a claim, this request isn't sent. But an earlier request with the
		// key may have run, so keyUnresolved stays set.
		return resultcode.Wrap(resultcode.StoreUnavailable, err, "the claim couldn't be recorded")
	}
}

// finishClaim records in the claim how its request ended.
func (f *claimOnce) finishClaim(r *Request, acquired *claim.Claim, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimFinishTimeout)
	defer cancel()
	var recordErr error
	switch {
	case err == nil:
		recordErr = acquired.Finish(ctx, claimResult(r))
	case r.state.State() == runstate.NotRun:
		recordErr = acquired.Release(ctx)
	default:
		recordErr = acquired.MayHaveRun(ctx)
	}
	if recordErr != nil {
		f.log.Warn().Str("event", "claim-settle").Str("request", r.ID).Err(recordErr).Msg("")
	}
}

// requestDigest returns a hash of the request's route, method, path and body, which
// distinguishes different requests with the same key.
func requestDigest(r *Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.Route, r.Service.Method, r.Service.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// claimResult returns the complete answer in the form that the claim stores.
func claimResult(r *Request) claim.Result {
	answer := r.Sink.Answer(r)
	header, _ := json.Marshal(answer.Header)
	return claim.Result{
		Code:      int(resultcode.OK),
		Status:    answer.Status,
		Header:    header,
		Body:      answer.Body,
		Model:     r.Model,
		Version:   r.Version.Name,
		Upstream:  r.Target.ID,
		Epoch:     r.Epoch(),
		RequestID: r.ID,
	}
}

// replayResult passes the stored answer of an earlier request to the sink.
func replayResult(r *Request, result claim.Result) error {
	var header http.Header
	if err := json.Unmarshal(result.Header, &header); err != nil {
		return resultcode.Wrap(resultcode.Internal, err, "the earlier answer can't be read")
	}
	r.state.Raise(runstate.Ran)
	r.Replayed = true
	r.Model = result.Model
	r.Version.Name = result.Version
	r.Target.ID = result.Upstream
	r.Sink.Replay(r, upstream.ServiceResponse{Status: result.Status, Header: header, Body: result.Body})
	return nil
}
