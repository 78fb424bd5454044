package rollout

import (
	"cmp"
	"slices"
)

// RatingBuckets is the number of equal buckets into which ratings are counted.
const RatingBuckets = 50

// Counters count the observed outcomes of answers. They never decrease.
type Counters struct {
	Answers uint64 `json:"answers"`
	Errors  uint64 `json:"errors,omitempty"`
	// Timed counts the answers whose time to first token was measured. Slow
	// counts those of them that exceeded the latency limit.
	Timed   uint64  `json:"timed,omitempty"`
	Slow    uint64  `json:"slow,omitempty"`
	Ratings Ratings `json:"ratings,omitempty"`
}

// Segment holds the counters of one segment of time, of SegmentLength.
type Segment struct {
	// Number is the segment's start in units of SegmentLength since the Unix
	// epoch (1970).
	Number   int64    `json:"number"`
	Counters Counters `json:"counters"`
}

// Transfer holds how many answers of its part of the budget a host has
// transferred in total to the host with the ID To.
type Transfer struct {
	To      string `json:"to"`
	Answers uint64 `json:"answers"`
}

// Evidence holds the counts of one host for one version in one round. Only that
// host increases them; two copies are merged by taking the maximum of each field.
type Evidence struct {
	Host    string `json:"host"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Round   uint64 `json:"epoch"`
	// Granted is the number of answers of the budget that were granted to the
	// host. Transfers holds how many of these it transferred to other hosts.
	Granted   uint64     `json:"granted"`
	Transfers []Transfer `json:"given,omitempty"`
	// Taken counts the answers charged to the budget. Returned counts those of
	// them that were refunded because the request was never sent to an
	// upstream.
	Taken    uint64 `json:"taken"`
	Returned uint64 `json:"returned,omitempty"`
	// Abandoned counts the answers that ended without an observation.
	Abandoned uint64 `json:"abandoned,omitempty"`
	// Denied counts the calls of Take and TakeUnpaced that were refused because
	// the host's part of the budget was used up.
	Denied uint64 `json:"denied,omitempty"`
	// Total holds the counters of the whole round. Segments holds those of the
	// last segments that have observations, at most maxSegments of them.
	Total    Counters  `json:"total"`
	Segments []Segment `json:"segments,omitempty"`
}

// Key returns the version that the evidence belongs to.
func (e *Evidence) Key() Key { return Key{Model: e.Model, Version: e.Version} }

// Rated returns the number of ratings.
func (c *Counters) Rated() uint64 {
	sum := uint64(0)
	for _, n := range c.Ratings {
		sum += n
	}
	return sum
}

// MeanRating returns the mean rating, each rating counted as the middle of its
// bucket. It returns 0 without ratings.
func (c *Counters) MeanRating() float64 {
	sum, n := 0.0, uint64(0)
	for b, count := range c.Ratings {
		sum += float64(count) * (float64(b) + 0.5) / RatingBuckets
		n += count
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// good returns the number of answers that neither failed nor were slow. An
// answer that failed and was slow is subtracted twice, so the result may be too
// low.
func (c *Counters) good() uint64 {
	return c.Answers - min(c.Answers, c.Errors+c.Slow)
}

// add adds d to c.
func (c *Counters) add(d *Counters) {
	c.Answers += d.Answers
	c.Errors += d.Errors
	c.Timed += d.Timed
	c.Slow += d.Slow
	for b, n := range d.Ratings {
		c.addRatings(b, n)
	}
}

// addRatings adds n ratings to a bucket; buckets out of range are ignored.
func (c *Counters) addRatings(bucket int, n uint64) {
	if bucket < 0 || bucket >= RatingBuckets {
		return
	}
	if c.Ratings == nil {
		c.Ratings = make(Ratings, RatingBuckets)
	}
	c.Ratings[bucket] += n
}

// mergeMax sets each counter of c to the maximum of c's and d's.
func (c *Counters) mergeMax(d *Counters) {
	c.Answers = max(c.Answers, d.Answers)
	c.Errors = max(c.Errors, d.Errors)
	c.Timed = max(c.Timed, d.Timed)
	c.Slow = max(c.Slow, d.Slow)
	if len(d.Ratings) != RatingBuckets {
		return
	}
	if len(c.Ratings) != RatingBuckets {
		c.Ratings = make(Ratings, RatingBuckets)
	}
	for b, n := range d.Ratings {
		c.Ratings[b] = max(c.Ratings[b], n)
	}
}

func (c *Counters) clone() Counters {
	d := *c
	d.Ratings = append(Ratings(nil), c.Ratings...)
	return d
}

// merge sets each counter of e to the maximum of e's and other's. Both have the
// same host, version and round.
func (e *Evidence) merge(other *Evidence) {
	e.Granted = max(e.Granted, other.Granted)
	e.Taken = max(e.Taken, other.Taken)
	e.Returned = max(e.Returned, other.Returned)
	e.Abandoned = max(e.Abandoned, other.Abandoned)
	e.Denied = max(e.Denied, other.Denied)
	e.Total.mergeMax(&other.Total)
	for _, t := range other.Transfers {
		e.mergeTransfer(t)
	}
	for i := range other.Segments {
		s := &other.Segments[i]
		if c := e.segment(s.Number); c != nil {
			c.mergeMax(&s.Counters)
		}
	}
}

func (e *Evidence) mergeTransfer(t Transfer) {
	for i := range e.Transfers {
		if e.Transfers[i].To == t.To {
			e.Transfers[i].Answers = max(e.Transfers[i].Answers, t.Answers)
			return
		}
	}
	e.Transfers = append(e.Transfers, t)
}

// inFlight returns the number of answers that were taken and haven't ended.
func (e *Evidence) inFlight() uint64 {
	ended := e.Returned + e.Abandoned + e.Total.Answers
	return e.Taken - min(e.Taken, ended)
}

// counterSum returns the sum of all counters. It increases with every change of
// the evidence, since counters never decrease.
func (e *Evidence) counterSum() uint64 {
	c := &e.Total
	total := c.Answers + c.Errors + c.Timed + c.Slow + c.Rated()
	return e.Granted + e.transferredTotal() + e.Taken + e.Returned + e.Abandoned + e.Denied + total
}

// transferredTo returns how many answers of its part of the budget the host has
// transferred to the given host.
func (e *Evidence) transferredTo(host string) uint64 {
	for _, t := range e.Transfers {
		if t.To == host {
			return t.Answers
		}
	}
	return 0
}

func (e *Evidence) transferredTotal() uint64 {
	sum := uint64(0)
	for _, t := range e.Transfers {
		sum += t.Answers
	}
	return sum
}

// segment returns the counters of the segment with this number. If there are
// none, it adds them, in place of the oldest segment if maxSegments are stored,
// or returns nil if the number is older than all of these.
func (e *Evidence) segment(number int64) *Counters {
	for i := range e.Segments {
		if e.Segments[i].Number == number {
			return &e.Segments[i].Counters
		}
	}
	if len(e.Segments) < maxSegments {
		e.Segments = append(e.Segments, Segment{Number: number})
		return &e.Segments[len(e.Segments)-1].Counters
	}
	oldest := 0
	for i := range e.Segments {
		if e.Segments[i].Number < e.Segments[oldest].Number {
			oldest = i
		}
	}
	if number < e.Segments[oldest].Number {
		return nil
	}
	e.Segments[oldest] = Segment{Number: number}
	return &e.Segments[oldest].Counters
}

// keepLastSegments removes all but the last n segments.
func (e *Evidence) keepLastSegments(n int) {
	slices.SortFunc(e.Segments, func(a, b Segment) int { return cmp.Compare(b.Number, a.Number) })
	e.Segments = e.Segments[:min(n, len(e.Segments))]
}

func (e *Evidence) clone() Evidence {
	c := *e
	c.Transfers = append([]Transfer(nil), e.Transfers...)
	c.Total = e.Total.clone()
	c.Segments = make([]Segment, len(e.Segments))
	for i := range e.Segments {
		c.Segments[i] = Segment{
			Number:   e.Segments[i].Number,
			Counters: e.Segments[i].Counters.clone(),
		}
	}
	return c
}
