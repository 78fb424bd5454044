package deployment

import (
	"context"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// costResult holds the cost and the quality of the answers of a route.
type costResult struct {
	// meanCost is the mean bill of a complete answer, in millionths of the
	// currency unit.
	meanCost float64
	// meanRating is the mean rating of the answers, atTarget the percentage
	// whose rating reaches the cascade's target.
	meanRating, atTarget float64
	// firstTokenP95 is the 95th percentile of the time to the first token, in
	// milliseconds.
	firstTokenP95 float64
}

// routeCost rates the kept answers of a cell and averages their bills.
func routeCost(ctx context.Context, stats *cellStats, bills []ledger.Bill) (costResult, error) {
	byRequest := map[string]int64{}
	for _, b := range bills {
		byRequest[b.RequestID] = b.CostMicro
	}
	rater := markedRater{memory.NewRater(raterOptions())}
	var r costResult
	for _, kept := range stats.answers {
		rating, err := rater.Rate(ctx, kept.answer.model, kept.answer.version, kept.request.prompt, kept.answer.text)
		if err != nil {
			return r, err
		}
		r.meanRating += rating.Score
		r.meanCost += float64(byRequest[kept.answer.requestID])
		if rating.Score >= target {
			r.atTarget += 100
		}
	}
	n := float64(max(1, len(stats.answers)))
	r.meanCost /= n
	r.meanRating /= n
	r.atTarget /= n
	r.firstTokenP95 = stats.firstTokenMs(95)
	return r, nil
}
