package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"

	policy "github.com/quetzalweir/quetzalweir/cascade"
	"github.com/quetzalweir/quetzalweir/manifest"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	s := settings[0].setting
	is.Equal(run(s, learnStart(policy.Policy{}), 2), run(s, learnStart(policy.Policy{}), 2))
}

func TestServe(t *testing.T) {
	tests := []struct {
		desc    string
		setting setting
		cheap   float64
		quality float64
		cost    float64
	}{
		{"a good cheap answer is taken", setting{rater: usualRater, onFailure: manifest.Escalate}, 1, 1, 1.25},
		{"a poor one escalates", setting{rater: usualRater, onFailure: manifest.Escalate}, 0.1, 0.9, 13.75},
		{"no rating escalates", setting{rater: rater{down: true}, onFailure: manifest.Escalate}, 1, 0.9, 13.75},
		{"no rating accepts", setting{rater: rater{down: true}, onFailure: manifest.Accept}, 0.1, 0.1, 1.25},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			req := request{promptTokens: 1000, quality: []float64{tt.cheap, 0.9}, latency: []time.Duration{1, 2}}
			got := serve(simulate.NewRand(1), tt.setting, fixedStart{0, true}, req)
			is.Equal(got.quality, tt.quality)
			is.Equal(got.cost, tt.cost)
			is.Equal(got.ratings, 1)
		})
	}
}
