package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// simulation holds the times at which epochs were accepted, and the views of hosts that
// learn of them with delays.
type simulation struct {
	now      time.Time
	accepted []time.Time // accepted[i] is the time at which epoch i+1 was accepted
	hosts    []view
	// maxEpochs holds the highest epoch that each host has had in force.
	maxEpochs []uint64
	reads     []*read
	messages  []*viewMessage
}

// read is a table read in progress. Its result, head, is the table's head at the time at
// which the table serves the read. Start, serving and end may be far apart.
type read struct {
	host   int
	start  time.Time
	served bool
	head   Head
}

// viewMessage is one host's view in transit to another host, which started its query at
// queryStart.
type viewMessage struct {
	to           int
	queryStart   time.Time
	head         Head
	hasTableRead bool
	age          time.Duration
}

func (s *simulation) head() Head { return Head{Epoch: uint64(len(s.accepted))} }

// acceptedBefore returns the newest epoch that was accepted before the time at. It
// returns zero if there was none.
func (s *simulation) acceptedBefore(at time.Time) uint64 {
	epoch := uint64(0)
	for _, t := range s.accepted {
		if t.Before(at) {
			epoch++
		}
	}
	return epoch
}

func (s *simulation) startRead(t *rapid.T) {
	s.reads = append(s.reads, &read{host: s.drawHost(t), start: s.now})
}

func (s *simulation) serveRead(t *rapid.T) {
	if r := draw(t, s.reads); r != nil && !r.served {
		r.served, r.head = true, s.head()
	}
}

func (s *simulation) finishRead(t *rapid.T) {
	r := draw(t, s.reads)
	if r == nil || !r.served {
		return
	}
	s.hosts[r.host], _ = s.hosts[r.host].withOwnTableRead(r.head, r.start)
}

func (s *simulation) sendView(t *rapid.T) {
	from := s.hosts[s.drawHost(t)]
	delay := time.Duration(rapid.IntRange(0, 2000).Draw(t, "query delay")) * time.Millisecond
	s.messages = append(s.messages, &viewMessage{
		to: s.drawHost(t), queryStart: s.now.Add(-delay), head: Head{Epoch: from.epoch()},
		hasTableRead: !from.tableReadAt.IsZero(), age: s.now.Sub(from.tableReadAt),
	})
}

func (s *simulation) receiveView(t *rapid.T) {
	message := draw(t, s.messages)
	if message == nil {
		return
	}
	if message.hasTableRead {
		s.hosts[message.to], _ = s.hosts[message.to].withTableRead(message.head, message.queryStart.Add(-message.age))
	} else {
		s.hosts[message.to], _ = s.hosts[message.to].withHead(message.head)
	}
}

// finishLoad puts a manifest in force on a host as if its load had finished. It may be any
// manifest that the host has learned of, also an old one.
func (s *simulation) finishLoad(t *rapid.T) {
	host := s.drawHost(t)
	if newest := s.hosts[host].newest.Epoch; newest > 0 {
		epoch := rapid.Uint64Range(1, newest).Draw(t, "epoch")
		s.hosts[host] = s.hosts[host].withPolicy(&manifest.Policy{Epoch: epoch}, s.now)
	}
}

func (s *simulation) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
}

func draw[T any](t *rapid.T, list []*T) *T {
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "index")]
}

// checkInvariants checks that no host's epoch decreases, and that a host that accepts
// requests has every manifest that was accepted longer ago than the freshness bound.
func (s *simulation) checkInvariants(t *rapid.T) {
	for i := range s.hosts {
		epoch := s.hosts[i].epoch()
		if epoch < s.maxEpochs[i] {
			t.Fatalf("host %d went from epoch %d to %d", i, s.maxEpochs[i], epoch)
		}
		s.maxEpochs[i] = epoch
		required := s.acceptedBefore(s.now.Add(-DefaultFreshnessBound))
		if s.hosts[i].check(s.now, DefaultFreshnessBound) == nil && epoch < required {
			t.Fatalf("host %d accepts requests with epoch %d, but epoch %d is required", i, epoch, required)
		}
	}
}

func TestFreshnessInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Now(), hosts: make([]view, 3), maxEpochs: make([]uint64, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"":       s.checkInvariants,
			"accept": func(*rapid.T) { s.accepted = append(s.accepted, s.now) },
			"read":   s.startRead,
			"serve":  s.serveRead,
			"answer": s.finishRead,
			"tell":   s.sendView,
			"hear":   s.receiveView,
			"load":   s.finishLoad,
			"advance": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
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
		desc      string
		hostCount int
		peers     []PeerView
		age       time.Duration
		ok        bool
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
		{"one host that has learned of a newer epoch", 5, append(views(0, 0, 0), PeerView{Host: "z", Epoch: 3, Digest: "d", Newest: 4}), 0, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			age, ok := quorumAge(3, "d", tc.hostCount, tc.peers)
			is.Equal(ok, tc.ok)
			is.Equal(age, tc.age)
		})
	}
}

func TestSharedInterval(t *testing.T) {
	for _, tc := range []struct {
		desc                 string
		hostCount, perSecond int
		want                 time.Duration
	}{
		{"few hosts", 7, 200, time.Second},
		{"many hosts share the budget", 440, 200, 2200 * time.Millisecond},
		{"too many hosts for the budget", 2000, 200, 2500 * time.Millisecond},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			got := sharedInterval(tc.hostCount, tc.perSecond, DefaultPollInterval, DefaultFreshnessBound/readsPerFreshnessBound)
			is.New(t).Equal(got, tc.want)
		})
	}
}
