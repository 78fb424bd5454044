package ratelease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/ratelease"
)

func TestLimitLog(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := ratelease.NewLimitLog(7)
	updatesSince := func(cursor ratelease.LogCursor, toHub bool) ([]ratelease.LimitUpdate, ratelease.LogCursor) {
		batch := l.Since(cursor, 100, toHub, now)
		return batch.Updates, batch.Cursor
	}
	l.Add(false, []ratelease.LimitUpdate{{Upstream: 1, Limit: 2, Age: time.Second}, {Upstream: 9, Ended: true}}, now)
	updates, cursor := updatesSince(ratelease.LogCursor{}, false)
	is.Equal(updates, []ratelease.LimitUpdate{{Upstream: 1, Limit: 2, Age: time.Second}}) // the end of a limit that the log doesn't have is left out
	l.Add(false, []ratelease.LimitUpdate{{Upstream: 1, Limit: 2}}, now)
	updates, cursor = updatesSince(cursor, false)
	is.Equal(len(updates), 0) // an unchanged limit isn't sent again
	l.Add(true, []ratelease.LimitUpdate{{Upstream: 1, Ended: true}}, now.Add(time.Second))
	updates, cursor = updatesSince(cursor, false)
	is.True(len(updates) == 1 && updates[0].Ended)
	updates, _ = updatesSince(ratelease.LogCursor{}, true)
	is.Equal(len(updates), 0) // hubs don't forward updates from hubs to other hubs
	l.Add(false, []ratelease.LimitUpdate{{Upstream: 1, Limit: 2, Age: 10 * time.Second}}, now)
	updates, cursor = updatesSince(cursor, false)
	is.True(len(updates) == 1 && updates[0].Ended) // an outdated update has the current entry sent again
	// A host whose cursor is from another run of the hub receives the whole log.
	updates, _ = updatesSince(ratelease.LogCursor{Epoch: cursor.Epoch + 1, LastSeq: cursor.LastSeq}, false)
	is.Equal(len(updates), 1)
}

// A log with more updates than fit in one batch is read in several batches. The last one returns
// all updates and reports that they are complete.
func TestManyLimits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := ratelease.NewLimitLog(7)
	const (
		perBatch = 100
		limits   = 3*perBatch + 5
	)
	for u := range ratelease.UpstreamID(limits) {
		l.Add(false, []ratelease.LimitUpdate{{Upstream: u, Limit: 1}}, now)
	}
	var reader ratelease.LogReader
	received, batches := 0, 0
	for complete := false; !complete; batches++ {
		var updates []ratelease.LimitUpdate
		updates, _, complete = reader.Apply(l.Since(reader.Cursor(), perBatch, false, now))
		received = len(updates)
	}
	is.Equal(received, limits)
	is.Equal(batches, 4)
	updates, hubChanged, complete := reader.Apply(l.Since(reader.Cursor(), perBatch, false, now))
	is.True(len(updates) == 0 && !hubChanged && !complete)
	// The log keeps at most maxLimits limits.
	const maxLimits = 16_384
	for u := range ratelease.UpstreamID(maxLimits + 100) {
		l.Add(false, []ratelease.LimitUpdate{{Upstream: u, Limit: 2}}, now)
	}
	is.Equal(len(l.Since(ratelease.LogCursor{}, 2*maxLimits, false, now).Updates), maxLimits)
}
