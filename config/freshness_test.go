package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// simulation holds when each epoch was accepted, and hosts that learn of it with delays.
type simulation struct {
	now      time.Time
	accepted []time.Time // accepted[i] is the time at which epoch i+1 was accepted
	hosts    []view
	// maxEpochs holds the highest epoch that each host has had in force.
	maxEpochs []uint64
	reads     []*read
	messages  []*viewMessage
}

// read is a table read in progress. The table serves it at some time between its start
// and its end, which may be far apart.
type read struct {
	host   int
	start  time.Time
	served bool
	head   Head
}

// viewMessage is one host's view in transit to another host.
type viewMessage struct {
	to           int
	start        time.Time
	head         Head
	hasTableRead bool
	age          time.Duration
}

func (w *simulation) head() Head { return Head{Epoch: uint64(len(w.accepted))} }

// acceptedBefore returns the newest epoch that was accepted before a time.
func (w *simulation) acceptedBefore(at time.Time) uint64 {
	epoch := uint64(0)
	for _, t := range w.accepted {
		if t.Before(at) {
			epoch++
		}
	}
	return epoch
}

func (w *simulation) startRead(t *rapid.T) {
	w.reads = append(w.reads, &read{host: w.drawHost(t), start: w.now})
}

func (w *simulation) serveRead(t *rapid.T) {
	if r := draw(t, w.reads); r != nil && !r.served {
		r.served, r.head = true, w.head()
	}
}

func (w *simulation) finishRead(t *rapid.T) {
	r := draw(t, w.reads)
	if r == nil || !r.served {
		return
	}
	w.hosts[r.host], _ = w.hosts[r.host].withOwnTableRead(r.head, r.start)
}

func (w *simulation) sendView(t *rapid.T) {
	from := w.hosts[w.drawHost(t)]
	delay := time.Duration(rapid.IntRange(0, 2000).Draw(t, "query delay")) * time.Millisecond
	w.messages = append(w.messages, &viewMessage{
		to: w.drawHost(t), start: w.now.Add(-delay), head: Head{Epoch: from.epoch()},
		hasTableRead: !from.tableRead.IsZero(), age: w.now.Sub(from.tableRead),
	})
}

func (w *simulation) receiveView(t *rapid.T) {
	message := draw(t, w.messages)
	if message == nil {
		return
	}
	if message.hasTableRead {
		w.hosts[message.to], _ = w.hosts[message.to].withTableRead(message.head, message.start.Add(-message.age))
	} else {
		w.hosts[message.to], _ = w.hosts[message.to].withHead(message.head)
	}
}

// finishLoad finishes the load of any manifest that the host has learned of, including
// old ones.
func (w *simulation) finishLoad(t *rapid.T) {
	host := w.drawHost(t)
	if newest := w.hosts[host].newest.Epoch; newest > 0 {
		epoch := rapid.Uint64Range(1, newest).Draw(t, "epoch")
		w.hosts[host] = w.hosts[host].withPolicy(&manifest.Policy{Epoch: epoch}, w.now)
	}
}

func (w *simulation) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
}

func draw[T any](t *rapid.T, list []*T) *T {
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "index")]
}

// checkInvariants checks that no host's epoch decreases, and that a host that accepts
// requests has every manifest that was accepted longer ago than the bound.
func (w *simulation) checkInvariants(t *rapid.T) {
	for i := range w.hosts {
		epoch := w.hosts[i].epoch()
		if epoch < w.maxEpochs[i] {
			t.Fatalf("host %d went from epoch %d to %d", i, w.maxEpochs[i], epoch)
		}
		w.maxEpochs[i] = epoch
		required := w.acceptedBefore(w.now.Add(-DefaultBound))
		if w.hosts[i].check(w.now, DefaultBound) == nil && epoch < required {
			t.Fatalf("host %d accepts requests with epoch %d, but epoch %d is required", i, epoch, required)
		}
	}
}

func TestFreshnessInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: time.Now(), hosts: make([]view, 3), maxEpochs: make([]uint64, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"":       w.checkInvariants,
			"accept": func(*rapid.T) { w.accepted = append(w.accepted, w.now) },
			"read":   w.startRead,
			"serve":  w.serveRead,
			"answer": w.finishRead,
			"tell":   w.sendView,
			"hear":   w.receiveView,
			"load":   w.finishLoad,
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
		{"no response from others", 3, nil, 0, false},
		{"both of two", 2, views(0), 0, true},
		{"two of three", 3, views(0), 0, true},
		{"two of four", 4, views(0), 0, false},
		{"three of four, with the age of the last one needed", 4, views(1, 9, 2), 2, true},
		{"two reports of one host", 5, append(views(1), views(0)...), 0, false},
		{"another digest", 3, []PeerView{{Host: "a", Epoch: 3, Digest: "x"}}, 0, false},
		{"older epoch", 3, []PeerView{{Host: "a", Epoch: 2, Digest: "d"}}, 0, false},
		{"one host with a newer epoch", 5, append(views(0, 0, 0), PeerView{Host: "z", Epoch: 4}), 0, false},
		{"one host that knows of a newer epoch", 5, append(views(0, 0, 0), PeerView{Host: "z", Epoch: 3, Digest: "d", Newest: 4}), 0, false},
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
		{"too many hosts for the budget", 2000, 200, 2500 * time.Millisecond},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			got := sharedInterval(tc.known, tc.perSecond, DefaultPoll, DefaultBound/readsPerBound)
			is.New(t).Equal(got, tc.want)
		})
	}
}
