package rollout

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// smallRule has a budget small enough for random actions to use up.
var smallRule = VersionRule{
	Model:        "m",
	Version:      "2",
	Round:        5,
	Budget:       40,
	MaxErrorRate: 0.05,
	MinRating:    0.6,
}

// cluster simulates hosts that exchange evidence in any order, with loss and
// repetition, and that restart with a new ID.
type cluster struct {
	clock       *fakeClock
	grantedOnly bool
	size        int
	hosts       []*Tracker
	granters    []*Granter
	table       *faulty.Table
	// exports are exported evidence, which may be delivered at any time and
	// repeatedly.
	exports    [][]Evidence
	taken      int
	nextHostID int
}

func newCluster(n int, grantedOnly bool) *cluster {
	c := &cluster{clock: newClock(), grantedOnly: grantedOnly, size: n, table: faulty.NewTable(memory.NewTable())}
	for range n {
		c.hosts = append(c.hosts, nil)
		c.granters = append(c.granters, nil)
		c.replaceHost(len(c.hosts) - 1)
	}
	return c
}

// replaceHost replaces a host by one with a new ID and without any evidence.
func (c *cluster) replaceHost(i int) {
	name := fmt.Sprint("host-", c.nextHostID)
	c.nextHostID++
	c.hosts[i] = New(Options{Host: name, Clock: c.clock.Now, GrantedOnly: c.grantedOnly, Pacing: Pacing{Off: true}})
	c.hosts[i].SetHosts(c.size)
	c.hosts[i].SetVersions([]VersionRule{smallRule})
	c.granters[i] = NewGranter(c.table, name)
}

func (c *cluster) actions(n int) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "host") }
	actions := map[string]func(*rapid.T){
		"take": func(t *rapid.T) {
			host := c.hosts[pick(t)]
			for range rapid.IntRange(1, 50).Draw(t, "answers") {
				if host.Take("m", "2") {
					c.taken++
					host.Observe("m", "2", Outcome{}) // unrated, so never cleared
				}
			}
		},
		"return": func(t *rapid.T) {
			host := c.hosts[pick(t)]
			if host.Take("m", "2") {
				host.Refund("m", "2")
			}
		},
		"send":    func(t *rapid.T) { c.exports = append(c.exports, c.hosts[pick(t)].Export()) },
		"deliver": func(t *rapid.T) { c.deliver(t, pick(t)) },
		"remove and restore the rule": func(t *rapid.T) {
			host := c.hosts[pick(t)]
			host.SetVersions(nil)
			host.SetVersions([]VersionRule{smallRule})
		},
	}
	if c.grantedOnly {
		actions["replace"] = func(t *rapid.T) { c.replaceHost(pick(t)) }
		actions["refill"] = func(t *rapid.T) { c.claimGrants(t, pick(t)) }
	}
	return actions
}

func (c *cluster) deliver(t *rapid.T, to int) {
	if len(c.exports) > 0 {
		c.hosts[to].Merge(c.exports[rapid.IntRange(0, len(c.exports)-1).Draw(t, "message")])
	}
}

func (c *cluster) claimGrants(t *rapid.T, i int) {
	c.table.ClearFaults()
	switch rapid.SampledFrom([]string{"", "", "down", "lost", "dropped"}).Draw(t, "fault") {
	case "down":
		c.table.SetDown(true)
	case "lost":
		c.table.LoseNextResponses(1)
	case "dropped":
		c.table.DropNextCommits(1)
	}
	_ = c.hosts[i].ClaimGrants(context.Background(), c.granters[i])
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	for _, grantedOnly := range []bool{false, true} {
		t.Run(fmt.Sprint("granted=", grantedOnly), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := rapid.IntRange(1, 7).Draw(t, "hosts")
				c := newCluster(n, grantedOnly)
				actions := c.actions(n)
				actions[""] = func(t *rapid.T) {
					if c.taken > smallRule.Budget {
						t.Fatalf("%d answers of a budget of %d", c.taken, smallRule.Budget)
					}
				}
				t.Repeat(actions)
			})
		})
	}
}

func TestTransferReachesThePeerThatNeedsIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, false)
	busy, idle := c.hosts[0], c.hosts[1]
	is.Equal(c.takeUntilRefused(busy), 20)
	idle.Take("m", "2") // sets its part of the budget
	idle.Merge(busy.Export())
	busy.Merge(idle.Export())
	is.Equal(c.takeUntilRefused(busy), 19/transferDivisor)
	idle.Merge(busy.Export())
	busy.Merge(idle.Export())
	is.True(c.takeUntilRefused(busy) > 0) // the second refusal caused a second transfer
}

func (c *cluster) takeUntilRefused(t *Tracker) (n int) {
	for t.Take("m", "2") {
		n++
	}
	return n
}

func TestGrantSurvivesALostResponse(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, true)
	is.True(!c.hosts[0].Take("m", "2")) // nothing granted yet
	c.table.LoseNextResponses(1)
	is.True(c.hosts[0].ClaimGrants(t.Context(), c.granters[0]) != nil)
	is.NoErr(c.hosts[0].ClaimGrants(t.Context(), c.granters[0]))
	row, _, err := c.granters[0].read(t.Context(), grantKey(Claim{Key: smallRule.Key(), Round: smallRule.Round}))
	is.NoErr(err)
	is.Equal(uint64(c.takeUntilRefused(c.hosts[0])), row.sum()) // includes the grant whose response was lost
}

func TestGrantsAreBoundedByGoodAnswers(t *testing.T) {
	is := is.New(t)
	claim := Claim{Budget: 1000, Hosts: 4}
	is.Equal(claim.nextGrant(0), uint64(4))
	is.Equal(claim.nextGrant(GrantInitial-1), uint64(1))
	is.Equal(claim.nextGrant(GrantInitial), uint64(0))
	claim.Good = 1000
	is.Equal(claim.nextGrant(999), uint64(1))
	is.Equal(claim.nextGrant(1000), uint64(0))
}

func TestNoClaimsWithoutNewEvidence(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, true)
	host := c.hosts[0]
	takeAllAndClaim := func() {
		c.takeUntilRefused(host)
		is.NoErr(host.ClaimGrants(t.Context(), c.granters[0]))
	}
	for range 3 * GrantInitial { // uses up all that is granted without good answers
		takeAllAndClaim()
	}
	before := c.table.Counts().Gets
	for range 10 {
		takeAllAndClaim()
	}
	is.Equal(c.table.Counts().Gets, before)
	host.Observe("m", "2", Outcome{})
	takeAllAndClaim()
	is.True(host.TakeUnpaced("m", "2"))
}

// Guards against refused sessions: if a request that finds the host's part of the budget used up
// or not yet granted didn't signal GrantNeeded, the host would make no claim until the next
// periodic one. Until then it would refuse requests of sessions that another host bound to the
// version, although budget is left.
func TestLowPartSignalsGrantNeeded(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, true)
	host, ctx := c.hosts[0], context.Background()
	signalled := func() bool {
		select {
		case <-host.GrantNeeded():
			return true
		default:
			return false
		}
	}
	is.True(!host.TakeUnpaced("m", "2"))
	is.True(signalled())
	is.NoErr(host.ClaimGrants(ctx, c.granters[0]))
	taken := 0
	for !signalled() {
		is.True(host.TakeUnpaced("m", "2")) // the signal comes while half of the grant is left
		taken++
	}
	is.True(taken > 1)
	is.True(host.TakeUnpaced("m", "2"))
}
