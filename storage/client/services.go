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
// may be retried: writing the same data again succeeds.
func (o objects) Write(ctx context.Context, name string, data []byte) error {
	c := call{
		op:     "write object",
		method: http.MethodPut,
		path:   protocol.PathObject,
		query:  url.Values{protocol.QueryName: {name}},
		// The body must not be nil, also for an empty object.
		body:   append([]byte{}, data...),
		writes: true,
	}
	if !utf8.ValidString(name) {
		return c.unavailableError(errInvalidUTF8)
	}
	response, err := o.platform.do(ctx, c)
	if err != nil {
		return err
	}
	if response.status != http.StatusNoContent {
		return c.statusError(response)
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
		return nil, c.unavailableError(errInvalidUTF8)
	}
	response, err := o.platform.do(ctx, c)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, c.statusError(response)
	}
	return response.body, nil
}

// rater implements storage.Rater.
type rater struct{ platform *Platform }

// ratingResponse distinguishes a missing score from one of zero.
type ratingResponse struct {
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
		return storage.Rating{}, c.unavailableError(err)
	}
	c.body = body
	var result ratingResponse
	if err := r.platform.callJSON(ctx, c, &result); err != nil {
		return storage.Rating{}, err
	}
	if result.Score == nil || !validScore(*result.Score) {
		return storage.Rating{}, c.uncertainError(errInvalidResponse)
	}
	return storage.Rating{Score: *result.Score}, nil
}

func validScore(score float64) bool {
	return !math.IsNaN(score) && score >= 0 && score <= 1
}
