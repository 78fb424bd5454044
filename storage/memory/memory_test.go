package memory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

func TestConformance(t *testing.T) {
	storagetest.TestTable(t, func(*testing.T) storage.Table { return memory.NewTable() })
	storagetest.TestObjects(t, memory.NewObjects())
}

func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lag = 10 * time.Second
		hosts := memory.NewHosts(lag)
		states := func() (states []storage.HostState) {
			list, err := hosts.Hosts(t.Context())
			is.NoErr(err)
			for _, host := range list {
				states = append(states, host.State)
			}
			return states
		}
		hosts.Set(storage.Host{ID: "b", State: storage.HostLive})
		time.Sleep(lag / 2)
		hosts.Set(storage.Host{ID: "a", State: storage.HostLive})
		hosts.Set(storage.Host{ID: "b", State: storage.HostLeaving})
		is.Equal(states(), nil)
		time.Sleep(lag / 2)
		is.Equal(states(), []storage.HostState{storage.HostLive})
		time.Sleep(lag / 2)
		is.Equal(states(), []storage.HostState{storage.HostLive, storage.HostLeaving})
		hosts.Remove("b")
		hosts.SetLag(2 * lag)
		time.Sleep(lag)
		is.Equal(len(states()), 2) // with the longer lag the removal isn't visible yet
		hosts.SetLag(lag)
		is.Equal(len(states()), 1)
	})
}

func TestRater(t *testing.T) {
	is := is.New(t)
	rater := memory.NewRater(memory.RaterOptions{
		Quality: map[string]float64{"m@1": 0.9, "m@2": 0.2},
		Noise:   0.1,
		Seed:    1,
	})
	const answers = 1000
	mean := func(version string) float64 {
		sum := 0.0
		for i := range answers {
			rating, err := rater.Rate(t.Context(), "m", version, "prompt", string(rune('a'+i)))
			is.NoErr(err)
			is.True(rating.Score >= 0 && rating.Score <= 1)
			sum += rating.Score
		}
		return sum / answers
	}
	is.Equal(mean("1"), mean("1")) // deterministic
	is.True(mean("1") > 0.85)
	is.True(mean("2") < 0.25)
	is.True(mean("3") > 0.45) // DefaultQuality
}

func TestHostChanges(t *testing.T) {
	hosts := memory.NewHosts(0)
	hosts.Set(storage.Host{ID: "a", State: storage.HostLive})
	hosts.Set(storage.Host{ID: "b", State: storage.HostLive})
	hosts.Set(storage.Host{ID: "b", State: storage.HostLeaving})
	hosts.Remove("a")
	hosts.Set(storage.Host{ID: "c", State: storage.HostLive})
	hosts.Remove("c")
	b := storage.Host{ID: "b", State: storage.HostLeaving}
	tests := []struct {
		desc  string
		since uint64
		want  memory.HostChanges
	}{
		{"from revision zero", 0, memory.HostChanges{Full: true, Hosts: []storage.Host{b}}},
		{"unknown revision", 7, memory.HostChanges{Full: true, Hosts: []storage.Host{b}}},
		{"from the first", 1, memory.HostChanges{Hosts: []storage.Host{b}, Removed: []string{"a", "c"}}},
		{"added and removed", 4, memory.HostChanges{Removed: []string{"c"}}},
		{"up to date", 6, memory.HostChanges{}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			got, err := hosts.Changes(t.Context(), test.since)
			is.NoErr(err)
			test.want.Revision = 6
			is.Equal(got, test.want)
		})
	}
	for range memory.MaxHostChanges {
		hosts.Remove("d")
	}
	for since, full := range map[uint64]bool{5: true, 6: false} {
		got, err := hosts.Changes(t.Context(), since)
		if err != nil || got.Full != full {
			t.Errorf("since %d: full %v, %v", since, got.Full, err)
		}
	}
}
