package ratelease

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxLimits bounds what a hub keeps, in entries of some 100 bytes.
	maxLimits = 16_384
	// endedKept is how long a hub keeps the end of a limit for other hosts.
	endedKept = time.Minute
	// compactSlack is how many replaced words a log keeps at least before it drops them.
	compactSlack = 256
)

// Mark is how far a host knows a hub's words: Epoch is the run of the hub, which numbers its
// words, Last the number of the last one told.
type Mark struct {
	Epoch uint64 `json:"epoch,omitempty"`
	Last  uint64 `json:"last,omitempty"`
}

// News is what a hub tells of limits.
type News struct {
	Words []Word
	Mark  Mark
	// Whole says that the hub has told all, and that it heard what others know: a limit of
	// which it said nothing is over.
	Whole bool
}

// Log is what a hub knows of the limits of upstreams: the newest word of each, numbered in
// the order in which they came. It isn't safe for concurrent use.
type Log struct {
	epoch uint64
	known map[Upstream]*logged
	// order has the words by their numbers, some of them replaced by newer ones.
	order []*logged
	last  uint64
}

// logged is the word of an upstream.
type logged struct {
	word   Word
	at     time.Time
	number uint64
	// fromHub says that another hub told it.
	fromHub bool
}

// NewLog returns an empty log; the epoch is another one for each run of a hub.
func NewLog(epoch uint64) *Log {
	return &Log{epoch: epoch, known: make(map[Upstream]*logged)}
}

// Add takes what a host or another hub told. Where that is older than what is known and says
// otherwise, what is known is told again.
func (l *Log) Add(fromHub bool, words []Word, now time.Time) {
	for _, word := range words {
		at, known := now.Add(-word.Age), l.known[word.Upstream]
		same := known != nil && known.word.Ended == word.Ended && known.word.Limit == word.Limit
		switch {
		case known == nil && word.Ended:
		case same:
			if at.After(known.at) {
				known.at = at
			}
		case known == nil || at.After(known.at):
			l.put(logged{word: word, at: at, fromHub: fromHub})
		default:
			l.put(*known)
		}
	}
	if len(l.order) > 2*len(l.known)+compactSlack {
		l.compact(now)
	}
}

// put makes the word the newest one.
func (l *Log) put(word logged) {
	l.last++
	word.number = l.last
	l.known[word.word.Upstream] = &word
	l.order = append(l.order, &word)
	if len(l.known) > maxLimits {
		delete(l.known, l.oldest().word.Upstream)
	}
}

// oldest is the word that was told first. There is one.
func (l *Log) oldest() *logged {
	i := slices.IndexFunc(l.order, l.current)
	l.order = l.order[i:]
	return l.order[0]
}

// current says whether no newer word replaced this one.
func (l *Log) current(e *logged) bool { return l.known[e.word.Upstream] == e }

// compact drops words that were replaced, and ends that all hosts know.
func (l *Log) compact(now time.Time) {
	maps.DeleteFunc(l.known, func(_ Upstream, e *logged) bool { return e.word.Ended && now.Sub(e.at) > endedKept })
	l.order = slices.DeleteFunc(l.order, func(e *logged) bool { return !l.current(e) })
}

// Since is what is told to one that knows so much: the oldest words first, so many at most.
// What other hubs told is left out for a hub that hears it from them.
func (l *Log) Since(known Mark, most int, toHub bool, now time.Time) News {
	if known.Epoch != l.epoch {
		known.Last = 0
	}
	news := News{Mark: Mark{Epoch: l.epoch, Last: l.last}, Whole: true}
	from, _ := slices.BinarySearchFunc(l.order, known.Last+1, func(e *logged, number uint64) int {
		return int(int64(e.number) - int64(number))
	})
	for _, e := range l.order[from:] {
		if !l.current(e) || toHub && e.fromHub {
			continue
		}
		if len(news.Words) == most {
			news.Whole = false
			return news
		}
		word := e.word
		word.Age = now.Sub(e.at)
		news.Words = append(news.Words, word)
		news.Mark.Last = e.number
	}
	news.Mark.Last = l.last
	return news
}

// Keep ends the limits that other hubs told and that the one which this host reports to
// doesn't know.
func (l *Log) Keep(words []Word, now time.Time) {
	told := make(map[Upstream]bool, len(words))
	for _, word := range words {
		told[word.Upstream] = true
	}
	for u, e := range maps.Clone(l.known) {
		if e.fromHub && !e.word.Ended && !told[u] {
			l.put(logged{word: Word{Upstream: u, Ended: true}, at: now, fromHub: true})
		}
	}
}

// Follower follows a hub's words.
type Follower struct {
	known Mark
	// whole says that all that the hub knew was told once, gathered is what was told until
	// then.
	whole    bool
	gathered []Word
}

// Take takes what the hub told. anew says that the hub is another one than before, or
// started again; whole says that the words are all that it knows.
func (f *Follower) Take(news News) (words []Word, anew, whole bool) {
	if anew = news.Mark.Epoch != f.known.Epoch; anew {
		*f = Follower{} // the hub told from its first word on
	}
	f.known = news.Mark
	if f.whole {
		return news.Words, false, false
	}
	f.gathered = append(f.gathered, news.Words...)
	if !news.Whole {
		return news.Words, anew, false
	}
	words, f.gathered, f.whole = f.gathered, nil, true
	return words, anew, true
}

// Mark is how far the hub's words are known.
func (f *Follower) Mark() Mark { return f.known }

// Whole says whether all that the hub knew was told once.
func (f *Follower) Whole() bool { return f.whole }
