package client

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"unicode/utf8"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// objects implements storage.Objects.
type objects struct{ platform *Platform }

// Write implements storage.Objects. After storage.ErrUnknown the same write
// may be tried again: objects are written once.
func (o objects) Write(ctx context.Context, name string, data []byte) error {
	c := call{
		op:     "write object",
		method: http.MethodPut,
		path:   protocol.PathObject,
		query:  url.Values{protocol.QueryName: {name}},
		// An empty object has a body too, if one of no bytes.
		body:   append([]byte{}, data...),
		writes: true,
	}
	if !utf8.ValidString(name) {
		return c.failUnsent(errInvalidText)
	}
	a, err := o.platform.do(ctx, c)
	if err != nil {
		return err
	}
	if a.status != http.StatusNoContent {
		return c.refused(a)
	}
	return nil
}

// Read implements storage.Objects.
func (o objects) Read(ctx context.Context, name string) ([]byte, error) {
	c := call{
		op:     "read object",
		method: http.MethodGet,
		path:   protocol.PathObject,
		query:  url.Values{protocol.QueryName: {name}},
	}
	if !utf8.ValidString(name) {
		return nil, c.failUnsent(errInvalidText)
	}
	a, err := o.platform.do(ctx, c)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, c.refused(a)
	}
	return a.body, nil
}

// rater implements storage.Rater.
type rater struct{ platform *Platform }

// ratingAnswer tells a missing score from one of zero.
type ratingAnswer struct {
	Score *float64 `json:"score"`
}

// Rate implements storage.Rater.
func (r rater) Rate(ctx context.Context, model, version, prompt, answer string) (storage.Rating, error) {
	c := call{op: "rate", method: http.MethodPost, path: protocol.PathRating}
	body, err := json.Marshal(protocol.RatingRequest{
		Model:   model,
		Version: version,
		Prompt:  prompt,
		Answer:  answer,
	})
	if err != nil {
		return storage.Rating{}, c.failUnsent(err)
	}
	c.body = body
	var result ratingAnswer
	if err := r.platform.decode(ctx, c, &result); err != nil {
		return storage.Rating{}, err
	}
	if result.Score == nil || !validScore(*result.Score) {
		return storage.Rating{}, c.failSent(errBadAnswer)
	}
	return storage.Rating{Score: *result.Score}, nil
}

func validScore(score float64) bool {
	return !math.IsNaN(score) && score >= 0 && score <= 1
}
