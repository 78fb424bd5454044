package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/rollout"
)

// rolling is a version that rolls in.
var rolling = rollout.VersionRule{
	Model: "model-07", Version: "2026-12-01", Epoch: 1, Budget: 1 << 30,
	MaxErrorRate: 0.05, MinRating: 0.6, MaxLatencyMs: 4000,
}

// trackers are hosts that watch a version, with a clock of their own.
type trackers struct {
	now  time.Time
	list []*rollout.Tracker
	// marks is what each told each other one.
	marks [][]uint64
}

func newTrackers(n int) *trackers {
	t := &trackers{now: time.Unix(1_700_000_000, 0)}
	for i := range n {
		tracker := rollout.New(rollout.Options{Host: fmt.Sprintf("entry-%03d/0123456789abcdef", i), Clock: func() time.Time { return t.now }, Pacing: rollout.Pacing{Off: true}})
		tracker.SetHosts(n)
		tracker.SetVersions([]rollout.VersionRule{rolling})
		t.list = append(t.list, tracker)
		t.marks = append(t.marks, make([]uint64, n))
	}
	return t
}

// observe has each host take and observe an answer.
func (t *trackers) observe(i int) {
	for _, tracker := range t.list {
		if tracker.Take(rolling.Model, rolling.Version) {
			outcome := rollout.Outcome{FirstToken: time.Second, Rated: i%4 == 0, Rating: 0.7 + float64(i%20)/100}
			tracker.Observe(rolling.Model, rolling.Version, outcome)
		}
	}
}

// exchange has each host tell each other one what is new, as the entry host
// does, and returns the messages, the records in them and their bytes.
func (t *trackers) exchange() (messages, records, bytes int, err error) {
	for i, from := range t.list {
		for j, to := range t.list {
			if i == j {
				continue
			}
			evidence, next := from.ExportSince(t.marks[i][j])
			if len(evidence) == 0 {
				continue
			}
			t.marks[i][j] = next
			data, err := json.Marshal(evidence)
			if err != nil {
				return 0, 0, 0, err
			}
			var received []rollout.Evidence
			if err := json.Unmarshal(data, &received); err != nil {
				return 0, 0, 0, err
			}
			to.Merge(received)
			messages++
			records += len(evidence)
			bytes += len(data)
		}
	}
	return messages, records, bytes, nil
}

// evidence plays two minutes of a roll-out, so that all periods are filled,
// with an exchange each quarter of a second in its last second.
func (r *run) evidence() error {
	const seconds, perSecond = 130, 4
	var perMessage, kept []capacity.Point
	var perRecord, cpu float64
	sizes := []int{4, 8, 16}
	if r.quick {
		sizes = sizes[:1]
	}
	for _, hosts := range sizes {
		before := heap()
		t := newTrackers(hosts)
		for s := range seconds {
			t.now = t.now.Add(time.Second)
			t.observe(s)
		}
		if _, _, _, err := t.exchange(); err != nil {
			return err
		}
		var messages, records, bytes int
		used := processorTime()
		const rounds = 8
		for i := range rounds {
			t.now = t.now.Add(time.Second / perSecond)
			t.observe(i)
			m, n, b, err := t.exchange()
			if err != nil {
				return err
			}
			messages, records, bytes = messages+m, records+n, bytes+b
		}
		spent := (processorTime() - used).Seconds() * 1e6
		x := float64(hosts)
		perMessage = append(perMessage, capacity.Point{X: x, Y: float64(records) / float64(messages)})
		perRecord, cpu = float64(bytes)/float64(records), spent/float64(records)
		kept = append(kept, capacity.Point{X: x, Y: (heap() - before) / x})
		runtime.KeepAlive(t)
	}
	r.line(capacity.EvidenceRecords, "records", "hosts", "records in a message for a version, where each host observed an answer since the last one", perMessage...)
	r.constant(capacity.EvidenceBytes, unitBytes, "a record with 8 periods, an answer a second, a quarter rated; 16 hosts", perRecord)
	r.constant(capacity.EvidenceCPU, unitCPU, "a record exported, encoded, decoded, merged and judged; 16 hosts", cpu)
	r.line(capacity.EvidenceHeap, unitBytes, "hosts", "a host's counters of a version with those of all others", kept...)
	return nil
}
