package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"math"
)

const (
	// TimeBuckets is the number of buckets of TimeCounts. Bucket b holds the answers whose time, as a
	// multiple of the expected one, is from 2^((b-unitBucket)/2) up to that of the next bucket. The first
	// bucket holds all shorter times too, and the last one all longer ones.
	TimeBuckets = 16
	unitBucket  = 4
	// bucketsPerDoubling is the number of buckets between a time and twice that time.
	bucketsPerDoubling = 2
)

// TimeBucket returns the bucket of a time that is ratio times the expected one.
func TimeBucket(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	bucket := math.Floor(bucketsPerDoubling*math.Log2(ratio)) + unitBucket
	return int(max(0, min(TimeBuckets-1, bucket)))
}

// TimeCounts holds the numbers of a version's answers by their time to the first byte or event. The counts of
// many hosts can be added.
type TimeCounts struct {
	// Answered holds the numbers of requests that were answered, by the time of the answer.
	Answered [TimeBuckets]int
	// Unanswered holds the numbers of requests without an answer, by the time for which it was waited.
	// It shows only that the answer takes longer than that. Without these requests, the answers of a
	// version would look the faster the more of them come too late.
	Unanswered [TimeBuckets]int
}

// Add adds another host's counts.
func (c *TimeCounts) Add(o TimeCounts) {
	for b := range TimeBuckets {
		c.Answered[b] += o.Answered[b]
		c.Unanswered[b] += o.Unanswered[b]
	}
}

// Subtract removes counts that are among these.
func (c *TimeCounts) Subtract(o TimeCounts) {
	for b := range TimeBuckets {
		c.Answered[b] -= o.Answered[b]
		c.Unanswered[b] -= o.Unanswered[b]
	}
}

// Total returns the number of requests, with and without an answer.
func (c *TimeCounts) Total() int {
	total := 0
	for b := range TimeBuckets {
		total += c.Answered[b] + c.Unanswered[b]
	}
	return total
}

// MarshalText encodes the counts as base64 of variable-length integers, without the empty buckets at the end.
func (c TimeCounts) MarshalText() ([]byte, error) {
	var data []byte
	for _, counts := range [][TimeBuckets]int{c.Answered, c.Unanswered} {
		used := 0
		for b, n := range counts {
			if n != 0 {
				used = b + 1
			}
		}
		data = append(data, byte(used))
		for _, n := range counts[:used] {
			data = binary.AppendUvarint(data, uint64(max(0, n)))
		}
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

// errTimeCounts means that a text doesn't hold encoded TimeCounts.
var errTimeCounts = errors.New("rollout: malformed counts of answer times")

// UnmarshalText decodes what MarshalText returned.
func (c *TimeCounts) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errTimeCounts
	}
	*c = TimeCounts{}
	for _, counts := range []*[TimeBuckets]int{&c.Answered, &c.Unanswered} {
		if len(data) == 0 || data[0] > TimeBuckets {
			return errTimeCounts
		}
		used := int(data[0])
		data = data[1:]
		for b := range used {
			n, size := binary.Uvarint(data)
			if size <= 0 || n > math.MaxInt32 {
				return errTimeCounts
			}
			counts[b], data = int(n), data[size:]
		}
	}
	if len(data) > 0 {
		return errTimeCounts
	}
	return nil
}

// slowdown is an alternative hypothesis on the candidate version: a fraction of its answers takes longer than the
// baseline's, by a number of buckets.
type slowdown struct {
	fraction float64
	buckets  int
}

// slowdowns are the alternatives that IsSlower mixes with equal weights. materialSlowdowns are those that
// IsNotSlower excludes.
var (
	slowdowns         = crossSlowdowns([]float64{0.1, 0.2, 0.4, 0.7, 0.95}, []int{2, 3, 4, 6})
	materialSlowdowns = []slowdown{{0.2, 4}, {0.2, 6}, {0.4, 3}, {0.7, 2}, {0.95, 2}}
)

func crossSlowdowns(fractions []float64, buckets []int) []slowdown {
	var all []slowdown
	for _, f := range fractions {
		for _, b := range buckets {
			all = append(all, slowdown{f, b})
		}
	}
	return all
}

// TimeComparison compares the answer times of a candidate version with those of the baseline version. The
// baseline's distribution is estimated from its answers, so that no model of the times is needed, and a baseline
// whose times vary much needs no other limit than one whose times vary little.
type TimeComparison struct {
	baseline, baselineTails timeDistribution
	answered, unanswered    [TimeBuckets]float64
}

// CompareTimes returns the comparison of the candidate with the baseline.
func CompareTimes(baseline, candidate TimeCounts) TimeComparison {
	d := newTimeDistribution(baseline)
	return TimeComparison{baseline: d, baselineTails: d.tails()}.Add(candidate, 1)
}

// Add returns the comparison with further counts of the candidate. Each counts as the given part of an answer:
// times that depend on each other say less than as many independent ones.
func (t TimeComparison) Add(candidate TimeCounts, weight float64) TimeComparison {
	for b := range TimeBuckets {
		t.answered[b] += weight * float64(candidate.Answered[b])
		t.unanswered[b] += weight * float64(candidate.Unanswered[b])
	}
	return t
}

// IsSlower reports whether the candidate's answers take longer than the baseline's. For a candidate that is as
// fast, it ever returns true with a probability of about alpha, however often it is called: the ratio of the
// likelihoods, mixed over the alternatives, is a martingale. The probability is higher by what the estimate of
// the baseline's distribution lacks.
func (t TimeComparison) IsSlower(alpha float64) bool { return t.LogRatio() >= math.Log(1/alpha) }

// IsNotSlower reports whether the candidate's times exclude that two fifths of its answers take 2.8 times as long as
// the baseline's, a fifth four times or nearly all twice. For a candidate of which one of these holds, it ever
// returns true with a probability of at most alpha.
func (t TimeComparison) IsNotSlower(alpha float64) bool {
	for _, s := range materialSlowdowns {
		if t.logRatio(s) > math.Log(alpha) {
			return false
		}
	}
	return true
}

// LogRatio returns the logarithm of the likelihood ratio of the mixed alternatives against a candidate as fast
// as the baseline: positive if the answers favor a slower candidate.
func (t TimeComparison) LogRatio() float64 {
	ratios := make([]float64, len(slowdowns))
	highest := math.Inf(-1)
	for i, s := range slowdowns {
		ratios[i] = t.logRatio(s)
		highest = max(highest, ratios[i])
	}
	sum := 0.0
	for _, r := range ratios {
		sum += math.Exp(r - highest)
	}
	return highest + math.Log(sum/float64(len(ratios)))
}

func (t TimeComparison) logRatio(s slowdown) float64 {
	shifted := t.baseline.shifted(s.buckets)
	shiftedTails := shifted.tails()
	ratio := 0.0
	for b := range TimeBuckets {
		if n := t.answered[b]; n > 0 {
			ratio += n * math.Log1p(s.fraction*(shifted[b]/t.baseline[b]-1))
		}
		if n := t.unanswered[b]; n > 0 {
			ratio += n * math.Log1p(s.fraction*(shiftedTails[b]/t.baselineTails[b]-1))
		}
	}
	return ratio
}

// timeDistribution holds the probabilities of the buckets.
type timeDistribution [TimeBuckets]float64

// priorAnswers is the number of answers that are added to each bucket of the baseline, so that an answer in a
// bucket without any isn't impossible.
const priorAnswers = 0.5

// newTimeDistribution estimates the distribution of answer times. A request without an answer counts up to the
// time for which it was waited (the estimator of Kaplan and Meier).
func newTimeDistribution(c TimeCounts) timeDistribution {
	var d timeDistribution
	atRisk, survival := float64(c.Total()), 1.0
	for b := range TimeBuckets {
		hazard := (float64(c.Answered[b]) + priorAnswers) / (atRisk + priorAnswers*float64(TimeBuckets-b))
		d[b] = survival * hazard
		survival -= d[b]
		atRisk -= float64(c.Answered[b] + c.Unanswered[b])
	}
	d[TimeBuckets-1] += survival
	return d
}

// shifted returns the distribution of times that are longer by the number of buckets.
func (d timeDistribution) shifted(buckets int) timeDistribution {
	var s timeDistribution
	for b, p := range d {
		s[min(TimeBuckets-1, b+buckets)] += p
	}
	return s
}

// tails returns for each bucket the probability of a time in that bucket or a later one.
func (d timeDistribution) tails() timeDistribution {
	sum := 0.0
	for b := TimeBuckets - 1; b >= 0; b-- {
		sum += d[b]
		d[b] = sum
	}
	return d
}
