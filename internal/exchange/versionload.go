package exchange

// LoadBuckets is the number of buckets of LoadCounts.
const LoadBuckets = 16

// LoadCounts holds the answers of one version by the load of their upstream: bucket i counts those to requests
// that were sent while i to i+1 sixteenths of the upstream's slots were in use, the last one those beyond.
type LoadCounts struct {
	Answers [LoadBuckets]int `json:"answers"`
	Failed  [LoadBuckets]int `json:"failed"`
	// FailedUpstreamBits holds the upstreams that failed requests.
	FailedUpstreamBits upstreamBits `json:"from,omitempty"`
}

// LoadBucket returns the bucket of LoadCounts for a number of requests at an upstream with the given slots.
func LoadBucket(requests float64, slots int) int {
	return min(LoadBuckets-1, max(0, int(requests*LoadBuckets/float64(max(1, slots)))))
}

// CountAnswer counts an answer that began.
func (c *LoadCounts) CountAnswer(bucket int) { c.Answers[bucket]++ }

// CountFailure counts an answer of the upstream, which was counted as begun, as failed.
func (c *LoadCounts) CountFailure(bucket int, upstream string) {
	c.Failed[bucket]++
	c.FailedUpstreamBits.add(upstream)
}

// TotalFailed returns the number of failed answers.
func (c *LoadCounts) TotalFailed() int {
	sum := 0
	for _, n := range c.Failed {
		sum += n
	}
	return sum
}

// Add adds another host's counts.
func (c *LoadCounts) Add(o LoadCounts) {
	for i := range LoadBuckets {
		c.Answers[i] += o.Answers[i]
		c.Failed[i] += o.Failed[i]
	}
	c.FailedUpstreamBits |= o.FailedUpstreamBits
}

// Halve halves the counts, so that later answers count for more than earlier ones.
func (c *LoadCounts) Halve() {
	for i := range LoadBuckets {
		c.Answers[i] /= 2
		c.Failed[i] /= 2
	}
}

// MinFailedUpstreams returns a lower bound of the number of upstreams that failed requests.
func (c *LoadCounts) MinFailedUpstreams() int { return c.FailedUpstreamBits.minCount() }
