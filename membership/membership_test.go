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
	// hostCount and zoneCount are the size of the present deployment.
	hostCount, zoneCount = 7, 3
	// suspectWithin and downWithin are the targets for the time until all hosts
	// store a killed host as Suspect and as Down.
	suspectWithin, downWithin = 3 * time.Second, 6 * time.Second
	// maxDisseminationTime is the target for the time until an update has reached
	// hostCount hosts.
	maxDisseminationTime = time.Second
	// probeDuration is the maximum time for the interval between rounds, a
	// direct probe and an indirect probe in sequence.
	probeDuration = 2500 * time.Millisecond
)

func TestKilledHostIsDetectedWithTableDown(t *testing.T) {
	tests := []struct {
		desc  string
		count int
		kill  []int
		// rounds is the number of rounds in which a remaining host probes killed
		// neighbours before it probes the last of the killed hosts; each extends
		// the targets by probeDuration.
		rounds time.Duration
	}{
		{"one of two", 2, []int{1}, 0},
		{"one of seven", hostCount, []int{3}, 0},
		{"two of seven", hostCount, []int{0, 3}, 0},
		{"five of seven", hostCount, []int{0, 1, 2, 3, 4}, 2},
		{"one of 56", 56, []int{17}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			runNetwork(t, tt.count, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				n.table.setFail(storage.ErrUnavailable)
				for _, i := range tt.kill {
					hosts[i].kill()
				}
				killed := time.Now().Add(tt.rounds * probeDuration)
				for _, i := range tt.kill {
					waitFor(t, suspectWithin-time.Since(killed), "suspect", func() bool { return allHaveState(hosts, hostID(i), Suspect, Down) })
				}
				for _, i := range tt.kill {
					waitFor(t, downWithin-time.Since(killed), "down", func() bool { return allHaveState(hosts, hostID(i), Down) })
				}
			})
		})
	}
}

func TestPacketLossDeclaresNoHostDown(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		n.setLossRate(0.1)
		time.Sleep(10 * time.Minute)
		var suspected, declared uint64
		for _, h := range hosts {
			suspected += h.Stats().Suspected
			declared += h.Stats().DeclaredDown
		}
		t.Logf("10 min at 10%% loss, 7 hosts: suspect %d, down %d (sums over hosts)", suspected, declared)
		is.Equal(declared, uint64(0))
		n.setLossRate(0)
		waitFor(t, 10*time.Second, "all up again", func() bool { return allUp(hosts) })
	})
}

func TestPausedHostResumesWithHigherIncarnation(t *testing.T) {
	for _, length := range []time.Duration{4 * time.Second, 20 * time.Second, 5 * time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				is := is.New(t)
				paused := hosts[2]
				before := paused.Self()
				paused.pause()
				time.Sleep(length)
				detected := allHaveState(hosts, before.ID, Suspect, Down)
				is.True(detected)
				paused.resume()
				waitFor(t, 3*time.Second, "up again", func() bool { return allUp(hosts) })
				is.True(paused.Self().Incarnation > before.Incarnation)
				is.Equal(paused.Stats().Pauses, uint64(1))
				is.Equal(paused.Stats().DeclaredDown, uint64(0)) // its own pause made it declare no member Down
			})
		})
	}
}

func TestIsolatedHostDeclaresNoMemberDown(t *testing.T) {
	tests := []struct {
		desc  string
		table func(*memoryTable)
	}{
		{"table down", func(m *memoryTable) { m.setFail(storage.ErrUnavailable) }},
		{"table read-only, so that all leases expire", func(m *memoryTable) { m.setReadOnly(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
				is := is.New(t)
				isolated := hosts[1]
				id := isolated.Self().ID
				n.setPartition(func(a, b string) bool { return a == id || b == id })
				tt.table(n.table)
				time.Sleep(5 * time.Minute)
				is.True(isolated.Isolated())
				is.Equal(isolated.Stats().DeclaredDown, uint64(0))
				is.True(allHaveState(hosts, id, Down))
				n.setPartition(nil)
				waitFor(t, 10*time.Second, "healed", func() bool { return allUp(hosts) })
			})
		})
	}
}

// TestProbeOutcome checks in which cases a failed probe makes a member Suspect.
func TestProbeOutcome(t *testing.T) {
	start := time.Now()
	tests := []struct {
		desc   string
		change func(m *Membership, target *Member)
		took   time.Duration
		want   State
	}{
		{"no contact with the target", func(*Membership, *Member) {}, time.Second, Suspect},
		{"the target is leaving", func(m *Membership, target *Member) {
			target.State = Leaving
			m.mergeMember(*target, localOrigin, start)
		}, time.Second, Down},
		{"this process was paused during the probe", func(*Membership, *Member) {}, 10 * time.Second, Up},
		{"this process resumed from a pause since", func(m *Membership, _ *Member) { m.pauseEpoch++ }, time.Second, Up},
		{"contact with the target meanwhile", func(m *Membership, target *Member) { m.store.member(target.ID).lastContact = start }, time.Second, Up},
		{"no contact with any host meanwhile", func(m *Membership, _ *Member) { m.lastContact = start.Add(-1) }, time.Second, Up},
		{"the target has a new incarnation", func(m *Membership, target *Member) {
			m.mergeMember(Member{ID: target.ID, State: Up, Incarnation: 2}, localOrigin, start)
		}, time.Second, Up},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			m := newWithoutPeers(t)
			for _, id := range []string{"a", "b", "c"} {
				m.mergeMember(Member{ID: id, State: Up, Incarnation: 1}, localOrigin, start)
			}
			m.publish()
			m.lastContact = start
			target, _ := m.Lookup("a")
			epoch := m.pauseEpoch
			tt.change(m, &target)
			m.applyFailedProbe(target, epoch, start, start.Add(tt.took))
			if got, _ := m.Lookup("a"); got.State != tt.want {
				t.Fatalf("got %v, want %v", got.State, tt.want)
			}
		})
	}
}

func TestLastHostDetectsFailuresByExpiredLeases(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		for _, h := range hosts[1:] {
			h.kill()
		}
		waitFor(t, 3*time.Minute, "the others down", func() bool {
			for _, h := range hosts[1:] {
				if !allHaveState(hosts[:1], h.options.Self.ID, Down) {
					return false
				}
			}
			return true
		})
	})
}

func TestPartitionBetweenZonesHeals(t *testing.T) {
	runNetwork(t, 14, 2, func(t *testing.T, n *network, hosts []*host) {
		zone := func(id string) byte { return (id[len(id)-1] - '0') % 2 }
		n.setPartition(func(a, b string) bool { return zone(a) != zone(b) })
		time.Sleep(time.Minute)
		if err := hosts[0].Put(Fact{Key: "head", Version: 9}); err != nil {
			t.Fatal(err)
		}
		n.setPartition(nil)
		took := waitFor(t, 15*time.Second, "healed", func() bool { return allUp(hosts) && allHaveFact(hosts, "head", 9) })
		t.Logf("healed %v after the end of the cut", took)
	})
}

func TestStaleUpdateIsIgnored(t *testing.T) {
	tests := []struct {
		desc   string
		update Member
		want   State
	}{
		{"up of an earlier incarnation", Member{State: Up, Incarnation: 9}, Down},
		{"up of the same incarnation", Member{State: Up, Incarnation: 10}, Down},
		{"suspect of the same incarnation", Member{State: Suspect, Incarnation: 10}, Down},
		{"up of the next incarnation", Member{State: Up, Incarnation: 11}, Up},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			is := is.New(t)
			m := newWithoutPeers(t)
			deliver := func(member Member) {
				member.ID = "x"
				_, err := m.HandleExchange(t.Context(), Message{Kind: KindPush, From: "y", Members: []Member{member}})
				is.NoErr(err)
			}
			deliver(Member{State: Up, Incarnation: 10})
			deliver(Member{State: Down, Incarnation: 10})
			deliver(tt.update)
			got, _ := m.Lookup("x")
			is.Equal(got.State, tt.want)
		})
	}
}

// unreachableTransport is a transport whose exchanges all fail.
type unreachableTransport struct{}

func (unreachableTransport) Exchange(context.Context, Member, Message) (Message, error) {
	return Message{}, errUnreachable
}

// newWithoutPeers returns a Membership that can't reach other hosts and whose Run
// isn't called.
func newWithoutPeers(t testing.TB) *Membership {
	t.Helper()
	m, err := New(Options{Self: Member{ID: "self", Zone: "z"}, Transport: unreachableTransport{}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestRefutesFalseSuspicion(t *testing.T) {
	is := is.New(t)
	m := newWithoutPeers(t)
	received := m.Self()
	received.State = Down
	_, err := m.HandleExchange(t.Context(), Message{Kind: KindPush, From: "y", Members: []Member{received}})
	is.NoErr(err)
	is.Equal(m.Self().State, Up)
	is.Equal(m.Self().Incarnation, received.Incarnation+1)
}

func TestMessageForAnotherMemberIsRefused(t *testing.T) {
	_, err := newWithoutPeers(t).HandleExchange(t.Context(), Message{Kind: KindPing, From: "y", To: "earlier"})
	if !errors.Is(err, ErrWrongMember) {
		t.Fatal(err)
	}
}

func TestLeavingReachesAllAndThenGoesDown(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		var events []State
		hosts[0].Subscribe(func(e Event) {
			if e.Member.ID == hostID(5) {
				events = append(events, e.Member.State)
			}
		})
		is.NoErr(hosts[5].Leave(t.Context()))
		took := waitFor(t, maxDisseminationTime, "Leaving on all hosts", func() bool { return allHaveState(hosts, hostID(5), Leaving) })
		t.Logf("Leaving on all hosts after %v", took)
		hosts[5].kill()
		waitFor(t, downWithin, "down", func() bool { return allHaveState(hosts, hostID(5), Down) })
		synctest.Wait()
		is.Equal(events, []State{Leaving, Down}) // never Suspect
		_, err := n.table.Get(t.Context(), PresencePrefix+hostID(5))
		is.True(errors.Is(err, storage.ErrNotFound))
	})
}

func TestRestartedHostRejoins(t *testing.T) {
	runNetwork(t, hostCount, zoneCount, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		before := hosts[4].Self().Incarnation
		hosts[4].kill()
		waitFor(t, downWithin, "down", func() bool { return allHaveState(hosts, hostID(4), Down) })
		<-hosts[4].done
		hosts[4] = n.startHost(t, 4, zoneCount, func(*Options) {})
		waitFor(t, 10*time.Second, "up again", func() bool { return allUp(hosts) })
		is.True(hosts[4].Self().Incarnation > before)
	})
}

func TestSeedsReplaceUnavailableTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.table.setFail(storage.ErrUnavailable)
		defer n.stop(t)
		var hosts []*host
		for i := range hostCount {
			hosts = append(hosts, n.startHost(t, i, zoneCount, func(o *Options) { o.Seeds = []string{"127.1.0.0:7946"} }))
		}
		waitFor(t, 15*time.Second, "all up", func() bool { return allUp(hosts) })
	})
}
