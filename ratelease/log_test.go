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
	l := ratelease.NewLog(7)
	updatesSince := func(known ratelease.Mark, toHub bool) ([]ratelease.Word, ratelease.Mark) {
		news := l.Since(known, 100, toHub, now)
		return news.Words, news.Mark
	}
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2, Age: time.Second}, {Upstream: 9, Ended: true}}, now)
	updates, cursor := updatesSince(ratelease.Mark{}, false)
	is.Equal(updates, []ratelease.Word{{Upstream: 1, Limit: 2, Age: time.Second}}) // the end of an unknown limit is no update
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2}}, now)
	updates, cursor = updatesSince(cursor, false)
	is.Equal(len(updates), 0) // an unchanged limit isn't sent again
	l.Add(true, []ratelease.Word{{Upstream: 1, Ended: true}}, now.Add(time.Second))
	updates, cursor = updatesSince(cursor, false)
	is.True(len(updates) == 1 && updates[0].Ended)
	updates, _ = updatesSince(ratelease.Mark{}, true)
	is.Equal(len(updates), 0) // hubs don't forward updates of other hubs to hubs
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2, Age: 10 * time.Second}}, now)
	updates, cursor = updatesSince(cursor, false)
	is.True(len(updates) == 1 && updates[0].Ended) // an outdated update has the current entry sent again
	// A host that follows another run of the hub receives the whole log.
	updates, _ = updatesSince(ratelease.Mark{Epoch: cursor.Epoch + 1, Last: cursor.Last}, false)
	is.Equal(len(updates), 1)
}

// A batch has a limited number of updates; a follower receives all of them and learns when it is
// complete.
func TestManyLimits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := ratelease.NewLog(7)
	const (
		perMessage = 100
		limits     = 3*perMessage + 5
	)
	for u := range ratelease.Upstream(limits) {
		l.Add(false, []ratelease.Word{{Upstream: u, Limit: 1}}, now)
	}
	var f ratelease.Follower
	received, messages := 0, 0
	for complete := false; !complete; messages++ {
		var updates []ratelease.Word
		updates, _, complete = f.Take(l.Since(f.Mark(), perMessage, false, now))
		received = len(updates)
	}
	is.Equal(received, limits)
	is.Equal(messages, 4)
	updates, restarted, complete := f.Take(l.Since(f.Mark(), perMessage, false, now))
	is.True(len(updates) == 0 && !restarted && !complete)
	// The log is bounded.
	const maxLimits = 16_384
	for u := range ratelease.Upstream(maxLimits + 100) {
		l.Add(false, []ratelease.Word{{Upstream: u, Limit: 2}}, now)
	}
	is.Equal(len(l.Since(ratelease.Mark{}, 2*maxLimits, false, now).Words), maxLimits)
}
