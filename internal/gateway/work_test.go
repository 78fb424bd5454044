package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// workFleet has upstreams a and b in the host's zone and c in another, whose
// requests last long enough for hosts to hear of them.
func workFleet() *Fleet {
	f := NewFleet("z1", time.Second, zerolog.Nop())
	for id, zone := range map[string]string{"a": "z1", "b": "z1", "c": "z2"} {
		f.Set(Upstream{ID: id, Service: "svc", Zone: zone, Version: "v1", Slots: 8}, 1)
	}
	f.shard("svc").meanHeld = time.Second
	return f
}

func anyVersion(string) bool { return true }

func TestWorkInFlight(t *testing.T) {
	is := is.New(t)
	f := workFleet()
	c, ok := f.choose(wants{service: "svc", zone: "z1", cost: 100, admits: anyVersion, exclude: []string{"a", "c"}})
	is.True(ok)
	is.Equal(c.upstream.ID, "b")
	is.Equal(f.work(), map[string]float64{"b": 1}) // the mean request
	f.began(&c)
	is.True(math.Abs(f.work()["b"]-runningWork) < 1e-9) // the prompt is read
	f.began(&c)
	is.True(math.Abs(f.work()["b"]-runningWork) < 1e-9) // once
	f.release(c, attemptResult{})
	is.Equal(len(f.work()), 0)
}

func TestWorkGrowsWithTheCost(t *testing.T) {
	is := is.New(t)
	s := &shard{}
	is.Equal(s.weigh(0), 1.0) // nothing known
	for range 500 {
		s.weigh(100)
		s.weigh(300)
	}
	small, large := s.weigh(100), s.weigh(300)
	is.True(small < 1 && large > 1)
	is.True(math.Abs((large-baseWork)/(small-baseWork)-3) < 0.1)
}

// Other hosts' work counts in the choice as the host's own does.
func TestOthersWorkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := workFleet()
	f.setOthers(map[string]float64{"a": 3}, time.Now())
	for range 4 {
		c, _ := f.choose(wants{service: "svc", zone: "z1", cost: 100, admits: anyVersion})
		if c.load >= 3 {
			break // b has as much now
		}
		is.Equal(c.upstream.ID, "b")
	}
}

func TestKnownWork(t *testing.T) {
	now := time.Now()
	tests := []struct {
		desc  string
		zone  string
		held  time.Duration
		at    time.Time
		known bool
	}{
		{"of this zone, fresh", "z1", time.Second, now, true},
		{"of another zone", "z2", time.Second, now, false},
		{"never heard", "z1", time.Second, time.Time{}, false},
		{"too old", "z1", time.Second, now.Add(-exchange.WorkAge - time.Millisecond), false},
		{"requests shorter than the interval", "z1", 50 * time.Millisecond, now, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := &member{Upstream: Upstream{Zone: test.zone}, shard: &shard{meanHeld: test.held}, work: 1, others: 2, othersAt: test.at}
			m.shard.zone = "z1"
			work, known := m.knownWork(now, "z1")
			is.Equal(known, test.known)
			from, _ := m.loadSource(now)
			is.Equal(from == loadExchanged, test.known)
			if known {
				is.Equal(work, 3.0)
			}
		})
	}
}
