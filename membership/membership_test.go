package membership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// today's size.
	hostCount, zoneCount = 7, 3
	// suspectWithin and downWithin are the targets for a host that is killed.
	suspectWithin, downWithin = 3 * time.Second, 6 * time.Second
	// spreadWithin is the target for news at today's size.
	spreadWithin = time.Second
	// waveTime is a round and a probe, direct and through others.
	waveTime = 2500 * time.Millisecond
)

func TestKilledHostIsFoundWithTableDown(t *testing.T) {
	tests := []struct {
		desc  string
		count int
		kill  []int
		// waves is how often a survivor's neighbours fail before it comes to
		// the last of the killed hosts; each adds the time of a probe.
		waves time.Duration
	}{
		{"one of two", 2, []int{1}, 0},
		{"one of seven", hostCount, []int{3}, 0},
		{"two of seven", hostCount, []int{0, 3}, 0},
		{"five of seven", hostCount, []int{0, 1, 2, 3, 4}, 2},
		{"one of 56", 56, []int{17}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inBubble(t, tt.count, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				n.table.setFail(storage.ErrUnavailable)
				for _, i := range tt.kill {
					hosts[i].kill()
				}
				killed := time.Now().Add(tt.waves * waveTime)
				for _, i := range tt.kill {
					waitFor(t, suspectWithin-time.Since(killed), "suspect", func() bool { return allSee(hosts, hostID(i), Suspect, Down) })
				}
				for _, i := range tt.kill {
					waitFor(t, downWithin-time.Since(killed), "down", func() bool { return allSee(hosts, hostID(i), Down) })
				}
			})
		})
	}
}

func TestLossGivesNoFalseAlarm(t *testing.T) {
	inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		n.setLoss(0.1)
		time.Sleep(10 * time.Minute)
		var suspected, declared uint64
		for _, h := range hosts {
			suspected += h.Stats().Suspected
			declared += h.Stats().Declared
		}
		t.Logf("10 min at 10%% loss, 7 hosts: suspect %d, down %d (sums over hosts)", suspected, declared)
		is.Equal(declared, uint64(0))
		n.setLoss(0)
		waitFor(t, 10*time.Second, "all up again", func() bool { return whole(hosts) })
	})
}

func TestFrozenHostComesBackWithHigherIncarnation(t *testing.T) {
	for _, length := range []time.Duration{4 * time.Second, 20 * time.Second, 5 * time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				is := is.New(t)
				frozen := hosts[2]
				before := frozen.Self()
				frozen.freeze()
				time.Sleep(length)
				others := allSee(hosts, before.ID, Suspect, Down)
				is.True(others)
				frozen.thaw()
				waitFor(t, 3*time.Second, "up again", func() bool { return whole(hosts) })
				is.True(frozen.Self().Incarnation > before.Incarnation)
				is.Equal(frozen.Stats().Thawed, uint64(1))
				is.Equal(frozen.Stats().Declared, uint64(0)) // it accused nobody of its own sleep
			})
		})
	}
}

func TestIsolatedHostAccusesNobody(t *testing.T) {
	tests := []struct {
		desc  string
		table func(*memoryTable)
	}{
		{"table down", func(m *memoryTable) { m.setFail(storage.ErrUnavailable) }},
		{"table read-only, so that all leases lapse", func(m *memoryTable) { m.setReadOnly(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				is := is.New(t)
				lone := hosts[1]
				id := lone.Self().ID
				n.setCut(func(a, b string) bool { return a == id || b == id })
				tt.table(n.table)
				time.Sleep(5 * time.Minute)
				is.True(lone.Isolated())
				is.Equal(lone.Stats().Declared, uint64(0))
				is.True(allSee(hosts, id, Down))
				n.setCut(nil)
				waitFor(t, 10*time.Second, "healed", func() bool { return whole(hosts) })
			})
		})
	}
}

// TestProbeOutcome fixes when a failed probe makes a member Suspect.
func TestProbeOutcome(t *testing.T) {
	start := time.Now()
	tests := []struct {
		desc   string
		change func(m *Membership, target *Member)
		took   time.Duration
		want   State
	}{
		{"no sign of it", func(*Membership, *Member) {}, time.Second, Suspect},
		{"it had announced its leaving", func(m *Membership, target *Member) {
			target.State = Leaving
			m.mergeMember(*target, own, start)
		}, time.Second, Down},
		{"this host slept", func(*Membership, *Member) {}, 10 * time.Second, Up},
		{"this host thawed since", func(m *Membership, _ *Member) { m.epoch++ }, time.Second, Up},
		{"it was heard meanwhile", func(m *Membership, target *Member) { m.store.member(target.ID).heard = start }, time.Second, Up},
		{"nobody was heard meanwhile", func(m *Membership, _ *Member) { m.lastHeard = start.Add(-1) }, time.Second, Up},
		{"it has a new incarnation", func(m *Membership, target *Member) {
			m.mergeMember(Member{ID: target.ID, State: Up, Incarnation: 2}, own, start)
		}, time.Second, Up},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			m := lone(t)
			for _, id := range []string{"a", "b", "c"} {
				m.mergeMember(Member{ID: id, State: Up, Incarnation: 1}, own, start)
			}
			m.publish()
			m.lastHeard = start
			target, _ := m.Lookup("a")
			epoch := m.epoch
			tt.change(m, &target)
			m.suspect(target, epoch, start, start.Add(tt.took))
			if got, _ := m.Lookup("a"); got.State != tt.want {
				t.Fatalf("got %v, want %v", got.State, tt.want)
			}
		})
	}
}

func TestLastHostLearnsFromLapsedLeases(t *testing.T) {
	inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		for _, h := range hosts[1:] {
			h.kill()
		}
		waitFor(t, 3*time.Minute, "the others down", func() bool {
			for _, h := range hosts[1:] {
				if !allSee(hosts[:1], h.options.Self.ID, Down) {
					return false
				}
			}
			return true
		})
	})
}

func TestCutBetweenZonesHeals(t *testing.T) {
	inBubble(t, 14, 2, func(t *testing.T, n *network, hosts []*host) {
		zone := func(id string) byte { return (id[len(id)-1] - '0') % 2 }
		n.setCut(func(a, b string) bool { return zone(a) != zone(b) })
		time.Sleep(time.Minute)
		if err := hosts[0].Put(Fact{Key: "head", Version: 9}); err != nil {
			t.Fatal(err)
		}
		n.setCut(nil)
		took := waitFor(t, 15*time.Second, "healed", func() bool { return whole(hosts) && allHave(hosts, "head", 9) })
		t.Logf("healed %v after the end of the cut", took)
	})
}

func TestOldNewsIsIgnored(t *testing.T) {
	tests := []struct {
		desc string
		news Member
		want State
	}{
		{"up of an earlier incarnation", Member{State: Up, Incarnation: 9}, Down},
		{"up of the same incarnation", Member{State: Up, Incarnation: 10}, Down},
		{"suspect of the same incarnation", Member{State: Suspect, Incarnation: 10}, Down},
		{"up of the next incarnation", Member{State: Up, Incarnation: 11}, Up},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			m := lone(t)
			tell := func(member Member) {
				member.ID = "x"
				_, err := m.HandleExchange(t.Context(), Message{Kind: KindPush, From: "y", Members: []Member{member}})
				is.NoErr(err)
			}
			tell(Member{State: Up, Incarnation: 10})
			tell(Member{State: Down, Incarnation: 10})
			tell(tt.news)
			got, _ := m.Lookup("x")
			is.Equal(got.State, tt.want)
		})
	}
}

// silent is a transport to nobody.
type silent struct{}

func (silent) Exchange(context.Context, Member, Message) (Message, error) {
	return Message{}, errCut
}

// lone returns a membership that isn't run.
func lone(t testing.TB) *Membership {
	t.Helper()
	m, err := New(Options{Self: Member{ID: "self", Zone: "z"}, Transport: silent{}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestRefutesWhatOthersSay(t *testing.T) {
	is := is.New(t)
	m := lone(t)
	said := m.Self()
	said.State = Down
	_, err := m.HandleExchange(t.Context(), Message{Kind: KindPush, From: "y", Members: []Member{said}})
	is.NoErr(err)
	is.Equal(m.Self().State, Up)
	is.Equal(m.Self().Incarnation, said.Incarnation+1)
}

func TestMessageForAnotherMemberIsRefused(t *testing.T) {
	_, err := lone(t).HandleExchange(t.Context(), Message{Kind: KindPing, From: "y", To: "earlier"})
	if !errors.Is(err, ErrWrongMember) {
		t.Fatal(err)
	}
}

func TestLeavingReachesAllAndThenGoesDown(t *testing.T) {
	inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		var events []State
		hosts[0].Subscribe(func(e Event) {
			if e.Member.ID == hostID(5) {
				events = append(events, e.Member.State)
			}
		})
		is.NoErr(hosts[5].Leave(t.Context()))
		took := waitFor(t, spreadWithin, "leaving known", func() bool { return allSee(hosts, hostID(5), Leaving) })
		t.Logf("leaving known to all after %v", took)
		hosts[5].kill()
		waitFor(t, downWithin, "down", func() bool { return allSee(hosts, hostID(5), Down) })
		synctest.Wait()
		is.Equal(events, []State{Leaving, Down}) // never Suspect
		_, err := n.table.Get(t.Context(), PresencePrefix+hostID(5))
		is.True(errors.Is(err, storage.ErrNotFound))
	})
}

func TestRestartedHostIsTakenBack(t *testing.T) {
	inBubble(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		before := hosts[4].Self().Incarnation
		hosts[4].kill()
		waitFor(t, downWithin, "down", func() bool { return allSee(hosts, hostID(4), Down) })
		<-hosts[4].done
		hosts[4] = n.startHost(t, 4, zoneCount, func(*Options) {})
		waitFor(t, 10*time.Second, "up again", func() bool { return whole(hosts) })
		is.True(hosts[4].Self().Incarnation > before)
	})
}

func TestSeedsServeWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.table.setFail(storage.ErrUnavailable)
		defer n.stop(t)
		var hosts []*host
		for i := range hostCount {
			hosts = append(hosts, n.startHost(t, i, zoneCount, func(o *Options) { o.Seeds = []string{"127.1.0.0:7946"} }))
		}
		waitFor(t, 15*time.Second, "all up", func() bool { return whole(hosts) })
	})
}
