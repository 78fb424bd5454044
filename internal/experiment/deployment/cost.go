package deployment

import (
	"context"

	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// costResult is what answers of a route cost and how good they are.
type costResult struct {
	// cost is the mean bill of a whole answer in micro units of currency.
	cost float64
	// rating is the answers' mean, atTarget the part that reaches the
	// cascade's target, in percent.
	rating, atTarget float64
	// p95 is the first token's latency in milliseconds.
	p95 float64
}

// costOf rates the kept answers and sums their bills.
func costOf(ctx context.Context, t *tally, bills []ledger.Bill) (costResult, error) {
	byRequest := map[string]int64{}
	for _, b := range bills {
		byRequest[b.RequestID] = b.CostMicro
	}
	rater := markedRater{memory.NewRater(raterOptions())}
	var r costResult
	for _, k := range t.replies {
		rating, err := rater.Rate(ctx, k.reply.model, k.reply.version, k.request.prompt, k.reply.text)
		if err != nil {
			return r, err
		}
		r.rating += rating.Score
		r.cost += float64(byRequest[k.reply.requestID])
		if rating.Score >= target {
			r.atTarget += 100
		}
	}
	n := float64(max(1, len(t.replies)))
	r.cost /= n
	r.rating /= n
	r.atTarget /= n
	r.p95 = t.quantile(95)
	return r, nil
}
