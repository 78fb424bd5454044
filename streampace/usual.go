package streampace

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the streams whose pace is stored. The median of this many is within a
	// few percent of that of all streams.
	maxRecords = 32
	// maxRecordAge is the age after which the pace of a stream is ignored. A change of the engines'
	// load is over or has reached all running streams by then.
	maxRecordAge = 30 * time.Second
	// minRecords is the number of other streams that are needed for a comparison.
	minRecords = 3
	// lengthGain is the weight of a new stream in the mean number of events for a token.
	lengthGain = 0.05
)

// Usual holds the paces of the most recent streams of one kind and their mean length. It isn't safe
// for concurrent use. The zero value holds no streams.
type Usual struct {
	records []*Record
	next    int
	// eventsPerToken is the decayed mean of the events of complete streams, divided by the tokens
	// that their callers expected; 0 if it is unknown.
	eventsPerToken float64
}

// Record is the pace of one stream as of the time at.
type Record struct {
	perEvent time.Duration
	at       time.Time
}

// Update records the current time for an event of the stream. record is the result of the previous
// call for the stream, nil for the first one. The oldest record is dropped if there are too many.
func (u *Usual) Update(record *Record, perEvent time.Duration, now time.Time) *Record {
	if record == nil {
		record = &Record{}
		if len(u.records) < maxRecords {
			u.records = append(u.records, record)
		} else {
			u.records[u.next] = record
			u.next = (u.next + 1) % maxRecords
		}
	}
	record.perEvent, record.at = perEvent, now
	return record
}

// TimePerEvent returns the median time for an event of the other streams; 0 if too few are known.
// Running streams are included, so that a slowdown of all engines is visible at once.
func (u *Usual) TimePerEvent(own *Record, now time.Time) time.Duration {
	paces := make([]time.Duration, 0, maxRecords)
	for _, r := range u.records {
		if r != own && now.Sub(r.at) <= maxRecordAge {
			paces = append(paces, r.perEvent)
		}
	}
	if len(paces) < minRecords {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// AddLength records the number of events of a complete stream whose caller expected the number of
// tokens; 0 tokens mean that it is unknown.
func (u *Usual) AddLength(tokens, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	ratio := float64(events) / float64(tokens)
	if u.eventsPerToken == 0 {
		u.eventsPerToken = ratio
	}
	u.eventsPerToken += lengthGain * (ratio - u.eventsPerToken)
}

// RemainingEvents returns the expected number of further events of a stream that has had the given
// number; at least 1, or 0 if it is unknown.
func (u *Usual) RemainingEvents(tokens, events int) int {
	if tokens <= 0 || u.eventsPerToken == 0 {
		return 0
	}
	return max(1, int(u.eventsPerToken*float64(tokens)+0.5)-events)
}
