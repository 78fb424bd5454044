package memory

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Rater = (*Rater)(nil)

// DefaultQuality is the mean score of a model version that isn't in
// RaterOptions.Quality.
const DefaultQuality = 0.5

// RaterOptions configures the scores of a Rater.
type RaterOptions struct {
	// Quality is the mean score, from 0 to 1, by "model@version". A version
	// that isn't in it has DefaultQuality.
	Quality map[string]float64
	// Noise is the standard deviation of the score around its mean, on the
	// scale of the score; default 0.
	Noise float64
	// Seed is the seed of the noise; default 0.
	Seed uint64
}

// Rater is a rater whose score is a pure function of its options and of the
// call: the same answer to the same prompt always gets the same score.
type Rater struct {
	options RaterOptions
}

// NewRater returns a rater. It retains options.Quality, which the caller must
// not change afterwards.
func NewRater(options RaterOptions) *Rater {
	return &Rater{options: options}
}

// Rate implements storage.Rater.
func (r *Rater) Rate(ctx context.Context, model, version, prompt, answer string) (storage.Rating, error) {
	if err := checkContext(ctx); err != nil {
		return storage.Rating{}, err
	}
	quality, ok := r.options.Quality[model+"@"+version]
	if !ok {
		quality = DefaultQuality
	}
	source := rand.New(rand.NewPCG(r.options.Seed, hashCall(prompt, answer)))
	score := quality + r.options.Noise*source.NormFloat64()
	return storage.Rating{Score: min(max(score, 0), 1)}, nil
}

// hashCall hashes prompt and answer with a separator between them, so that the
// same text divided at another place gets another hash.
func hashCall(prompt, answer string) uint64 {
	digest := xxhash.New()
	digest.WriteString(prompt)
	digest.Write([]byte{0})
	digest.WriteString(answer)
	return digest.Sum64()
}
