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
	told := func(known ratelease.Mark, toHub bool) ([]ratelease.Word, ratelease.Mark) {
		news := l.Since(known, 100, toHub, now)
		return news.Words, news.Mark
	}
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2, Age: time.Second}, {Upstream: 9, Ended: true}}, now)
	words, known := told(ratelease.Mark{}, false)
	is.Equal(words, []ratelease.Word{{Upstream: 1, Limit: 2, Age: time.Second}}) // the end of none is no news
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2}}, now)
	words, known = told(known, false)
	is.Equal(len(words), 0) // nor is the same limit
	l.Add(true, []ratelease.Word{{Upstream: 1, Ended: true}}, now.Add(time.Second))
	words, known = told(known, false)
	is.True(len(words) == 1 && words[0].Ended)
	words, _ = told(ratelease.Mark{}, true)
	is.Equal(len(words), 0) // other hubs were told by the one that this came from
	l.Add(false, []ratelease.Word{{Upstream: 1, Limit: 2, Age: 10 * time.Second}}, now)
	words, known = told(known, false)
	is.True(len(words) == 1 && words[0].Ended) // a late word has what is known told again
	// A host of another run of the hub is told all.
	words, _ = told(ratelease.Mark{Epoch: known.Epoch + 1, Last: known.Last}, false)
	is.Equal(len(words), 1)
}

// A message has some words only; who follows it hears all, and which are all.
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
	heard, messages := 0, 0
	for whole := false; !whole; messages++ {
		var words []ratelease.Word
		words, _, whole = f.Take(l.Since(f.Mark(), perMessage, false, now))
		heard = len(words)
	}
	is.Equal(heard, limits)
	is.Equal(messages, 4)
	words, anew, whole := f.Take(l.Since(f.Mark(), perMessage, false, now))
	is.True(len(words) == 0 && !anew && !whole)
	// A hub bounds what it keeps.
	const most = 16_384
	for u := range ratelease.Upstream(most + 100) {
		l.Add(false, []ratelease.Word{{Upstream: u, Limit: 2}}, now)
	}
	is.Equal(len(l.Since(ratelease.Mark{}, 2*most, false, now).Words), most)
}
