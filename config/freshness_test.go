package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// world is the truth that hosts learn of late: when each epoch was accepted.
type world struct {
	now      time.Time
	accepted []time.Time // of epoch i+1
	hosts    []view
	// epochs is what each host had in force at most.
	epochs  []uint64
	reads   []*read
	answers []*peerAnswer
}

// read is a read of the table under way; it is served between its start and
// its end, however long that takes.
type read struct {
	host   int
	start  time.Time
	served bool
	head   Head
}

// peerAnswer is a view of one host on its way to another.
type peerAnswer struct {
	to    int
	start time.Time
	head  Head
	word  bool
	age   time.Duration
}

func (w *world) head() Head { return Head{Epoch: uint64(len(w.accepted))} }

// epochBefore is the head at a time.
func (w *world) epochBefore(at time.Time) uint64 {
	epoch := uint64(0)
	for _, t := range w.accepted {
		if t.Before(at) {
			epoch++
		}
	}
	return epoch
}

func (w *world) read(t *rapid.T) {
	w.reads = append(w.reads, &read{host: w.drawHost(t), start: w.now})
}

func (w *world) serve(t *rapid.T) {
	if r := draw(t, w.reads); r != nil && !r.served {
		r.served, r.head = true, w.head()
	}
}

func (w *world) answer(t *rapid.T) {
	r := draw(t, w.reads)
	if r == nil || !r.served {
		return
	}
	w.hosts[r.host], _ = w.hosts[r.host].withOwnRead(r.head, r.start)
}

func (w *world) tell(t *rapid.T) {
	from := w.hosts[w.drawHost(t)]
	delay := time.Duration(rapid.IntRange(0, 2000).Draw(t, "asked before")) * time.Millisecond
	w.answers = append(w.answers, &peerAnswer{
		to: w.drawHost(t), start: w.now.Add(-delay), head: Head{Epoch: from.epoch()},
		word: !from.word.IsZero(), age: w.now.Sub(from.word),
	})
}

func (w *world) hear(t *rapid.T) {
	a := draw(t, w.answers)
	if a == nil {
		return
	}
	if a.word {
		w.hosts[a.to], _ = w.hosts[a.to].withWord(a.head, a.start.Add(-a.age))
	} else {
		w.hosts[a.to], _ = w.hosts[a.to].withHead(a.head)
	}
}

// load finishes a load of any manifest that was accepted, also of an old one.
func (w *world) load(t *rapid.T) {
	host := w.drawHost(t)
	if newest := w.hosts[host].newest.Epoch; newest > 0 {
		epoch := rapid.Uint64Range(1, newest).Draw(t, "epoch")
		w.hosts[host] = w.hosts[host].withPolicy(&manifest.Policy{Epoch: epoch}, w.now)
	}
}

func (w *world) drawHost(t *rapid.T) int { return rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host") }

func draw[T any](t *rapid.T, list []*T) *T {
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "index")]
}

// check states the two promises: an epoch never falls, and a host that takes
// work has all that was accepted longer ago than the bound.
func (w *world) check(t *rapid.T) {
	for i := range w.hosts {
		epoch := w.hosts[i].epoch()
		if epoch < w.epochs[i] {
			t.Fatalf("host %d went from epoch %d to %d", i, w.epochs[i], epoch)
		}
		w.epochs[i] = epoch
		due := w.epochBefore(w.now.Add(-DefaultBound))
		if w.hosts[i].check(w.now, DefaultBound) == nil && epoch < due {
			t.Fatalf("host %d takes work with epoch %d, %d is due", i, epoch, due)
		}
	}
}

func TestWordKeepsItsPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Now(), hosts: make([]view, 3), epochs: make([]uint64, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"":       w.check,
			"accept": func(*rapid.T) { w.accepted = append(w.accepted, w.now) },
			"read":   w.read,
			"serve":  w.serve,
			"answer": w.answer,
			"tell":   w.tell,
			"hear":   w.hear,
			"load":   w.load,
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestQuorumAge(t *testing.T) {
	views := func(ages ...time.Duration) []PeerView {
		var list []PeerView
		for i, age := range ages {
			list = append(list, PeerView{Host: string(rune('a' + i)), Epoch: 3, Digest: "d", Age: age})
		}
		return list
	}
	for _, tc := range []struct {
		desc  string
		known int
		peers []PeerView
		age   time.Duration
		ok    bool
	}{
		{"alone", 1, nil, 0, false},
		{"alone among more", 3, nil, 0, false},
		{"both of two", 2, views(0), 0, true},
		{"two of three", 3, views(0), 0, true},
		{"two of four", 4, views(0), 0, false},
		{"three of four, as old as the one needed", 4, views(1, 9, 2), 2, true},
		{"one host twice", 5, append(views(1), views(0)...), 0, false},
		{"another digest", 3, []PeerView{{Host: "a", Epoch: 3, Digest: "x"}}, 0, false},
		{"older epoch", 3, []PeerView{{Host: "a", Epoch: 2, Digest: "d"}}, 0, false},
		{"one newer among many", 5, append(views(0, 0, 0), PeerView{Host: "z", Epoch: 4}), 0, false},
		{"one has heard of a newer one", 5, append(views(0, 0, 0), PeerView{Host: "z", Epoch: 3, Digest: "d", Newest: 4}), 0, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			age, ok := quorumAge(3, "d", tc.known, tc.peers)
			is.Equal(ok, tc.ok)
			is.Equal(age, tc.age)
		})
	}
}

func TestInterval(t *testing.T) {
	for _, tc := range []struct {
		desc             string
		known, perSecond int
		want             time.Duration
	}{
		{"few hosts", 7, 200, time.Second},
		{"many hosts share the budget", 440, 200, 2200 * time.Millisecond},
		{"too many for the budget", 2000, 200, 2500 * time.Millisecond},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			got := interval(tc.known, tc.perSecond, DefaultPoll, DefaultBound/pollsPerBound)
			is.New(t).Equal(got, tc.want)
		})
	}
}
