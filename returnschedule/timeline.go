package returnschedule

import "time"

const (
	// Interval is the length of an interval. It is a third of the interval of the exchange, and a
	// few times the variation of callers' timers.
	Interval = 50 * time.Millisecond
	// Horizon is the length of the schedule. The longest deadline is 25 s, and callers wait for at
	// most a third of it.
	Horizon            = 8 * time.Second
	intervalCount      = int(Horizon / Interval)
	intervalsPerSecond = time.Second / Interval
	// minSpacing is the time in which one request may always return, however small the capacity is: a
	// host that just started has sent nothing yet.
	minSpacing = int(250 * time.Millisecond / Interval)
	// rankStep is the part of an interval that each rank leaves free for the more urgent ones and
	// for new requests, and maxRankFree the largest such part.
	rankStep    = 0.25
	maxRankFree = 0.5
	// behindFree is the part of what its rank may use that a request leaves free whose account is
	// over its share, or whose caller didn't wait for its first time.
	behindFree = 0.5
)

// timeline holds the booked engine time of a service in the next intervals.
type timeline struct {
	// start is the beginning of the first interval.
	start time.Time
	// capacity is the engine time of one interval.
	capacity time.Duration
	// booked holds the engine time that is taken in each interval, and returns the number of
	// reservations in it.
	booked  [intervalCount]time.Duration
	returns [intervalCount]int
	// usedAt is when the timeline was last used.
	usedAt time.Time
}

// advance drops the intervals that are over.
func (t *timeline) advance(now time.Time) {
	t.usedAt = now
	over := int(now.Sub(t.start) / Interval)
	if over <= 0 {
		return
	}
	t.start = t.start.Add(time.Duration(over) * Interval)
	over = min(over, intervalCount)
	copy(t.booked[:], t.booked[over:])
	clear(t.booked[intervalCount-over:])
	copy(t.returns[:], t.returns[over:])
	clear(t.returns[intervalCount-over:])
}

// placing describes a reservation to be made.
type placing struct {
	work time.Duration
	rank int
	// behind is set if the request is to get a later interval. second is set if it is rejected for
	// the second time, and returned if it had returned in its window; it may use the whole interval
	// then.
	behind, second, returned bool
	// from and until bound the time until the return.
	from, until time.Duration
}

// usable returns the engine time of an interval that the request may use.
func (p *placing) usable(capacity time.Duration) time.Duration {
	part := 1 - min(maxRankFree, rankStep*float64(max(0, p.rank)))
	if p.returned {
		part = 1
	}
	if p.behind {
		part *= 1 - behindFree
	}
	return time.Duration(part * float64(capacity))
}

// place books the work from the first interval with room and returns the time of the reservation,
// which is at the given fraction of the interval. Work that is longer than what an interval has free
// takes the next ones too.
func (t *timeline) place(p placing, now time.Time, fraction float64) (time.Time, bool) {
	if p.behind {
		p.from += max(0, p.until-p.from) / 2
	}
	usable := p.usable(t.capacity)
	earliest, latest := now.Add(p.from), now.Add(p.until)
	if earliest.After(latest) {
		return time.Time{}, false
	}
	free := t.totalFree(usable)
	for i := range intervalCount {
		begin := t.start.Add(time.Duration(i) * Interval)
		if begin.After(latest) {
			break
		}
		freeHere := max(0, usable-t.booked[i])
		end := begin.Add(Interval)
		if end.After(earliest) && (t.fits(p.work, freeHere, free, usable) || t.isEmptyAround(i)) {
			work := p.work
			if free < work {
				// It doesn't fit. It has the interval by the rule of minSpacing, and takes as much as that.
				work = min(work, time.Duration(minSpacing)*usable)
			}
			t.book(i, work, usable)
			begin, end = later(begin, earliest), earlier(end, latest)
			return begin.Add(time.Duration(fraction * float64(end.Sub(begin)))), true
		}
		free -= freeHere
	}
	return time.Time{}, false
}

// fits reports whether work can begin in an interval with the free engine time, and end before the
// schedule does, given the sum of the free time from this interval on. An interval whose remainder
// is much shorter than the work counts as full.
func (t *timeline) fits(work, freeHere, freeSum, usable time.Duration) bool {
	return freeHere > 0 && 2*freeHere >= min(work, usable) && freeSum >= work
}

// isEmptyAround reports whether no reservation is within minSpacing of the interval.
func (t *timeline) isEmptyAround(i int) bool {
	for _, n := range t.returns[max(0, i-minSpacing+1):min(intervalCount, i+minSpacing)] {
		if n > 0 {
			return false
		}
	}
	return true
}

// totalFree returns the free engine time of all intervals.
func (t *timeline) totalFree(usable time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, booked := range t.booked {
		sum += max(0, usable-booked)
	}
	return sum
}

// book takes engine time from the interval on, at most what each has free.
func (t *timeline) book(from int, work, usable time.Duration) {
	t.returns[from]++
	for i := from; i < intervalCount && work > 0; i++ {
		taken := min(work, max(0, usable-t.booked[i]))
		t.booked[i] += taken
		work -= taken
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
