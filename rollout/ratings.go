package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Ratings holds the number of ratings in each bucket; it is nil or has
// RatingBuckets elements. In JSON it is a list of alternating bucket numbers and
// counts, without the empty buckets.
type Ratings []uint64

var errOddRatings = errors.New("rollout: ratings: last bucket has no count")

// MarshalJSON implements json.Marshaler.
func (r Ratings) MarshalJSON() ([]byte, error) {
	pairs := []uint64{}
	for b, n := range r {
		if n != 0 {
			pairs = append(pairs, uint64(b), n)
		}
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Ratings) UnmarshalJSON(data []byte) error {
	var pairs []uint64
	if err := json.Unmarshal(data, &pairs); err != nil {
		return fmt.Errorf("rollout: ratings: %w", err)
	}
	if len(pairs)%2 != 0 {
		return errOddRatings
	}
	*r = nil
	if len(pairs) == 0 {
		return nil
	}
	*r = make(Ratings, RatingBuckets)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i] < RatingBuckets {
			(*r)[pairs[i]] = pairs[i+1]
		}
	}
	return nil
}
