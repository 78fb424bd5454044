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

// claimSettleTimeout bounds how long an answer waits for its claim to be
// finished; after it the claim is finished in the background.
const claimSettleTimeout = 500 * time.Millisecond

// claimOnce makes a call that may not be repeated run at most once: its claim
// is in the table before the first byte goes to an upstream.
type claimOnce struct {
	claims *claim.Store
	log    zerolog.Logger
}

// Serve implements Filter.
func (f *claimOnce) Serve(ctx context.Context, r *Request, next Next) error {
	if r.Repeatable {
		r.keyOpen = false
		return next(ctx, r)
	}
	if r.RequestKey == "" {
		return resultcode.New(resultcode.RequestKeyNeeded, "this call may not be repeated and needs a request key")
	}
	held, err := f.claims.Acquire(ctx, claim.Key{Account: r.Account.Name, RequestKey: r.RequestKey}, requestDigest(r), r.ID)
	if err != nil {
		return f.refuse(r, err)
	}
	r.keyOpen = false
	r.Claim = held
	// A filter that panics leaves the outcome open, not the claim.
	err = errPanicked
	defer func() { f.settle(r, held, err) }()
	err = next(ctx, r)
	return err
}

// errPanicked stands for the outcome of a request whose filters panicked.
var errPanicked = errors.New("entry: a filter panicked")

// refuse answers a request whose key could not be claimed.
func (f *claimOnce) refuse(r *Request, err error) error {
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	var open *claim.MayHaveRunError
	switch {
	case errors.As(err, &done):
		r.keyOpen = false
		return replay(r, done.Result)
	case errors.As(err, &inFlight):
		r.state.Raise(runstate.MayHaveRun)
		return resultcode.Wrap(resultcode.DuplicateInFlight, err, "request %s with this key is being run", inFlight.RequestID)
	case errors.As(err, &open):
		r.state.Raise(runstate.MayHaveRun)
		return resultcode.Wrap(resultcode.EarlierOutcomeOpen, err, "request %s with this key may have run", open.RequestID)
	case errors.Is(err, claim.ErrReused):
		r.keyOpen = false
		return resultcode.Wrap(resultcode.KeyReused, err, "the request key was used with another request")
	default:
		// The claim can't be made, so nothing is sent. An earlier request
		// with the key may still have run: keyOpen stays set.
		return resultcode.Wrap(resultcode.StoreUnavailable, err, "the claim couldn't be recorded")
	}
}

// settle records how the claimed request ended.
func (f *claimOnce) settle(r *Request, held *claim.Claim, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimSettleTimeout)
	defer cancel()
	var settleErr error
	switch {
	case err == nil:
		settleErr = held.Finish(ctx, result(r))
	case r.state.State() == runstate.NotRun:
		settleErr = held.Release(ctx)
	default:
		settleErr = held.MayHaveRun(ctx)
	}
	if settleErr != nil {
		f.log.Warn().Str("event", "claim-settle").Str("request", r.ID).Err(settleErr).Msg("")
	}
}

// requestDigest tells two requests under one key apart.
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

// result is the finished answer as the claim keeps it.
func result(r *Request) claim.Result {
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

// replay answers with the result of the earlier request.
func replay(r *Request, res claim.Result) error {
	var header http.Header
	if err := json.Unmarshal(res.Header, &header); err != nil {
		return resultcode.Wrap(resultcode.Internal, err, "the earlier answer can't be read")
	}
	r.state.Raise(runstate.Ran)
	r.Replayed = true
	r.Model = res.Model
	r.Version.Name = res.Version
	r.Target.ID = res.Upstream
	r.Sink.Replay(r, upstream.ServiceAnswer{Status: res.Status, Header: header, Body: res.Body})
	return nil
}
