package exchange

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

func testDigest(n uint64) quarantine.Digest {
	var d quarantine.Digest
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

// Reports and replies decode to what was encoded, and malformed ones are rejected.
func TestQuarantineOnTheWire(t *testing.T) {
	is := is.New(t)
	report := Report{Sightings: Sightings{
		Losses:   Losses{{Digest: testDigest(1), Incarnation: 7, Age: 1500 * time.Millisecond, Ran: 30 * time.Millisecond}, {Digest: testDigest(2), Incarnation: 9}},
		Answered: Digests{testDigest(3)},
	}}
	data, err := json.Marshal(report)
	is.NoErr(err)
	var read Report
	is.NoErr(json.Unmarshal(data, &read))
	is.Equal(read.Sightings, report.Sightings)

	reply := Reply{QuarantineStatus: QuarantineStatus{
		Terminated: Terminations{{Incarnation: 7, Age: 20 * time.Millisecond, Explained: true}, {Incarnation: 8, Age: time.Hour}},
		Suspects:   Suspects{{Digest: testDigest(1), Events: 3, Age: 40 * time.Millisecond, FirstAge: 2 * time.Second}, {Digest: testDigest(2), Events: 1000}},
		Verdicts:   []quarantine.Verdict{{Digest: testDigest(1), MadeBy: "h", Events: 3, Upstreams: 3, MadeAt: time.Second, ExpiresAt: time.Hour}},
	}}
	data, err = json.Marshal(reply)
	is.NoErr(err)
	var back Reply
	is.NoErr(json.Unmarshal(data, &back))
	want := reply.QuarantineStatus
	want.Terminated[1].Age = 65535 * time.Millisecond // the greatest age that a message can hold
	want.Suspects[1].Events = 255
	is.Equal(back.QuarantineStatus, want)

	empty, err := json.Marshal(Report{Zone: "z"})
	is.NoErr(err)
	is.Equal(string(empty), `{"zone":"z"}`) // empty fields are left out
	for _, text := range []string{`{"sightings":{"losses":"AAAA"}}`, `{"sightings":{"losses":5}}`, `{"sightings":{"answered":"?"}}`} {
		is.True(json.Unmarshal([]byte(text), &read) != nil)
	}
	for _, text := range []string{`{"standing":{"ended":"AA"}}`, `{"standing":{"suspects":"AAAA"}}`, `{"standing":{"verdicts":[{}]}}`} {
		is.True(json.Unmarshal([]byte(text), &back) != nil)
	}
}

func FuzzReportAndReply(f *testing.F) {
	f.Add([]byte(`{"sightings":{"losses":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAA","answered":""},"standing":{"ended":"AAAAAAAAAA"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report Report
		var reply Reply
		_ = json.Unmarshal(data, &report)
		_ = json.Unmarshal(data, &reply)
	})
}

// A hub's log is bounded, and a reader receives the oldest of the sightings that it doesn't
// have first.
func TestSightingLog(t *testing.T) {
	is := is.New(t)
	var l sightingLog
	now := time.Now()
	for i := range uint64(maxSightingLog + 100) {
		l.add("host", Sightings{Losses: Losses{{Digest: testDigest(i), Age: time.Second}}}, now)
	}
	is.Equal(len(l.entries), maxSightingLog)
	var got int
	seq := uint64(0)
	for {
		s, last := l.since(seq, "other", now.Add(time.Second))
		if s.IsZero() {
			break
		}
		is.True(len(s.Losses) <= maxSightings)
		is.Equal(s.Losses[0].Age, 2*time.Second)
		got, seq = got+len(s.Losses), last
	}
	is.Equal(got, maxSightingLog)
	is.Equal(seq, l.lastSeq)
	s, _ := l.since(l.lastSeq+50, "other", now) // a sequence number of another hub
	is.Equal(len(s.Losses), maxSightings)
	s, last := l.since(l.lastSeq-10, "host", now) // the requester sent these sightings itself
	is.True(s.IsZero())
	is.Equal(last, l.lastSeq)
}

// fleetQuarantine is the quarantine of one host. Its verdicts come from the real
// quarantine.Tracker.
type fleetQuarantine struct {
	mu              sync.Mutex
	tracker         *quarantine.Tracker
	verdictsEnabled bool
	unsent          Sightings
	recent          Sightings
	verdicts        map[quarantine.Digest]quarantine.Verdict
}

func newFleetQuarantine() *fleetQuarantine {
	return &fleetQuarantine{tracker: quarantine.NewTracker(), verdictsEnabled: true, verdicts: make(map[quarantine.Digest]quarantine.Verdict)}
}

func (q *fleetQuarantine) recordLoss(d quarantine.Digest, incarnation quarantine.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordLoss(quarantine.Loss{Digest: d, Incarnation: incarnation, At: boottime.Elapsed()})
	q.unsent.Losses = append(q.unsent.Losses, AgedLoss{Digest: d, Incarnation: incarnation})
	q.recent.Losses = append(q.recent.Losses, AgedLoss{Digest: d, Incarnation: incarnation})
}

func (q *fleetQuarantine) hasVerdict(d quarantine.Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.verdicts[d]
	return ok
}

func (q *fleetQuarantine) Sightings() Sightings {
	q.mu.Lock()
	defer q.mu.Unlock()
	unsent := q.unsent
	q.unsent = Sightings{}
	return unsent
}

func (q *fleetQuarantine) RecentSightings() Sightings {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Sightings{Losses: slices.Clone(q.recent.Losses)}
}

func (q *fleetQuarantine) AddSightings(s Sightings) Sightings {
	q.mu.Lock()
	defer q.mu.Unlock()
	var added Sightings
	for _, l := range s.Losses {
		if q.tracker.RecordLoss(quarantine.Loss{Digest: l.Digest, Incarnation: l.Incarnation, At: boottime.Elapsed() - l.Age}) {
			added.Losses = append(added.Losses, l)
		}

	}
	return added
}

func (q *fleetQuarantine) Status() QuarantineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.verdictsEnabled {
		for _, f := range q.tracker.FindPoisonRequests(boottime.Elapsed()) {
			q.verdicts[f.Digest] = quarantine.NewVerdict(f, "h", time.Hour)
		}
	}
	var s QuarantineStatus
	for _, v := range q.verdicts {
		s.Verdicts = append(s.Verdicts, v)
	}
	return s
}

func (q *fleetQuarantine) ApplyStatus(s QuarantineStatus) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range s.Verdicts {
		q.verdicts[v.Digest] = v
		q.tracker.SetVerdict(v.Digest)
	}
}

func (q *fleetQuarantine) SetMakesVerdicts(enabled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.verdictsEnabled = enabled
}

// verdictDeadline is the time from the third termination that a request causes until every host
// must have the verdict on the request.
const verdictDeadline = 3 * time.Second

// terminateUpstreams records that the request terminated one upstream at each of the hosts, and
// that ten other requests were lost with each of these upstreams.
func (f *fleet) terminateUpstreams(d quarantine.Digest, first quarantine.Incarnation, hosts ...*fleetHost) {
	for i, h := range hosts {
		incarnation := first + quarantine.Incarnation(i)
		h.quarantine.recordLoss(d, incarnation)
		for j, other := range f.hosts[:min(10, len(f.hosts))] {
			other.quarantine.recordLoss(testDigest(1000*uint64(incarnation)+uint64(j)), incarnation)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// The verdict on a poison request that terminated upstreams at three hosts of different zones
// reaches all hosts in time, even if the hub of a zone fails meanwhile. No other request gets a
// verdict.
func TestVerdictReachesTheWholeFleet(t *testing.T) {
	for _, size := range append(fleetSizes(), fleetSize{7, 3}) {
		for _, loseHub := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, hub lost %v", size.hosts, loseHub), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, size.hosts, size.zones, 50)
					time.Sleep(10 * time.Second)
					d, n := testDigest(1), len(f.hosts)
					f.terminateUpstreams(d, 1, f.hosts[n-1], f.hosts[n-2], f.hosts[n-3])
					if loseHub {
						for _, h := range f.hosts {
							if h.address == f.hosts[n-1].member.Hub() {
								h.stop()
								f.hosts = slices.DeleteFunc(f.hosts, func(o *fleetHost) bool { return o == h })
								break
							}
						}
					}
					took, ok := f.waitForAllHosts(verdictDeadline, func(h *fleetHost) bool { return h.quarantine.hasVerdict(d) })
					t.Logf("%d hosts have the verdict after %v", size.hosts, took)
					is.True(ok)
					is.True(f.allHostsMatch(func(h *fleetHost) bool {
						h.quarantine.mu.Lock()
						defer h.quarantine.mu.Unlock()
						return len(h.quarantine.verdicts) == 1
					}))
				})
			})
		}
	}
}

// A host that starts later receives the verdict from its hub.
func TestStartingHostReceivesVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 30, 3, 50)
		time.Sleep(5 * time.Second)
		d, last := testDigest(1), f.hosts[29]
		f.terminateUpstreams(d, 1, f.hosts[5], f.hosts[10], f.hosts[15])
		last.stop()
		time.Sleep(2 * time.Second)
		f.start(last, false)
		took, ok := f.waitForAllHosts(2*time.Second, func(h *fleetHost) bool { return h.quarantine.hasVerdict(d) })
		t.Logf("the host that started has the verdict after %v", took)
		is.True(ok)
	})
}

// A host that was suspended ignores the reports that it received before its suspension.
func TestReportsAgeDuringASuspension(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		h := newHub(Options{Host: "self"}, zerolog.Nop())
		h.record("other", Report{Work: Work{HashID("u"): 5}})
		is.Equal(h.otherWork("self", toHost)[HashID("u")], 5.0)
		undo := boottime.SimulateSuspension(d)
		is.Equal(len(h.otherWork("self", toHost)), 0)
		undo()
	}
}

// If a third of all upstreams is lost at once, with ten requests each, the hosts' traffic stays
// bounded and no request gets a verdict.
func TestMassLossIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 60
		f := newFleet(t, hosts, 5, 50) // a seed appointed the hubs of two zones
		time.Sleep(5 * time.Second)
		before := 0
		for _, h := range f.hosts {
			before += h.traffic()
		}
		for incarnation := range quarantine.Incarnation(8 * hosts) {
			for i := range uint64(10) {
				f.hosts[(uint64(incarnation)+i)%hosts].quarantine.recordLoss(testDigest(uint64(incarnation)*10+i), 100+incarnation)
			}
		}
		time.Sleep(10 * time.Second)
		after := 0
		for _, h := range f.hosts {
			after += h.traffic()
			is.Equal(len(h.quarantine.verdicts), 0)
		}
		for incarnation := range quarantine.Incarnation(8 * hosts) { // the first seed already has every loss
			for i := range uint64(10) {
				is.True(!f.hosts[0].quarantine.tracker.RecordLoss(quarantine.Loss{
					Digest: testDigest(uint64(incarnation)*10 + i), Incarnation: 100 + incarnation, At: boottime.Elapsed() - 10*time.Second,
				}))
			}
		}
		perHost := (after - before) / 2 / hosts / 10
		t.Logf("%d bytes a second and host over 10 s", perHost)
		is.True(perHost < 7_000)
	})
}

// A host that switches to another hub sends it the recent sightings again, since the previous
// hub may not have passed them on.
func TestNewHubReceivesRecentSightings(t *testing.T) {
	is := is.New(t)
	q := newFleetQuarantine()
	m := New(Options{Quarantine: q, Work: func() Work { return nil }}, zerolog.Nop())
	q.recordLoss(testDigest(1), 1)
	is.Equal(len(m.nextReport().Sightings.Losses), 1)
	m.unsentSightings = Sightings{} // the hub answered
	m.forwardedSightingSeq = 5
	is.Equal(len(m.nextReport().Sightings.Losses), 0)
	m.switchHub("another")
	is.Equal(len(m.nextReport().Sightings.Losses), 1)
	is.Equal(m.forwardedSightingSeq, uint64(0))
}
