package session

import (
	"fmt"
	"math"
	"sort"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// chooseByInterval is the way that was ruled out: versions own adjoining
// intervals of [0,1) in the order of their names.
func chooseByInterval(versions []manifest.Version, point float64) (manifest.Version, bool) {
	sorted := append([]manifest.Version(nil), versions...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	end := 0.0
	for _, v := range sorted {
		if !takesSessions(v) {
			continue
		}
		end += float64(v.Share) / 100
		if point < end {
			return v, true
		}
	}
	return manifest.Version{}, false
}

const sampledSessions = 40000

type chooser func([]manifest.Version, float64) (manifest.Version, bool)

// movedBy returns the part of sessions whose version differs after a change of
// the shares.
func movedBy(choose chooser, before, after []manifest.Version) float64 {
	moved := 0
	for i := range sampledSessions {
		point := Point("acme", fmt.Sprint(i), "small")
		a, _ := choose(before, point)
		b, _ := choose(after, point)
		if a.Name != b.Name {
			moved++
		}
	}
	return float64(moved) / sampledSessions
}

// leastMoved is the part that any choice true to the shares has to move.
func leastMoved(before, after []manifest.Version) float64 {
	sum := 0
	for i := range before {
		sum += max(0, after[i].Share-before[i].Share)
	}
	return float64(sum) / 100
}

func TestMovedByShareChange(t *testing.T) {
	cases := []struct {
		desc          string
		before, after []int
		// atMost is the bound on rendezvous, in times of the least possible.
		atMost float64
	}{
		{desc: "two versions, a step of a roll-out", before: []int{90, 10}, after: []int{80, 20}, atMost: 1.05},
		{desc: "two versions, a roll-back", before: []int{50, 50}, after: []int{100, 0}, atMost: 1.05},
		{desc: "three, the first gives to the last", before: []int{50, 40, 10}, after: []int{40, 40, 20}, atMost: 1.5},
		{desc: "three, a new first one", before: []int{0, 60, 40}, after: []int{10, 54, 36}, atMost: 1.05},
		{desc: "five, the first gives to the last", before: []int{30, 20, 20, 20, 10}, after: []int{20, 20, 20, 20, 20}, atMost: 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			before, after := versions(tc.before...), versions(tc.after...)
			least := leastMoved(before, after)
			rendezvous := movedBy(Choose, before, after)
			intervals := movedBy(chooseByInterval, before, after)
			t.Logf("least %.3f rendezvous %.3f intervals %.3f", least, rendezvous, intervals)
			is.New(t).True(rendezvous <= tc.atMost*least)
		})
	}
}

func TestChooseFollowsShares(t *testing.T) {
	is := is.New(t)
	vs := versions(60, 30, 9, 1)
	count := map[string]int{}
	for i := range sampledSessions {
		v, _ := Choose(vs, Point("acme", fmt.Sprint(i), "small"))
		count[v.Name]++
	}
	for _, v := range vs {
		got := float64(count[v.Name]) / sampledSessions
		want := float64(v.Share) / 100
		t.Logf("%s: share %.3f got %.4f", v.Name, want, got)
		// Four standard deviations of a binomial; the inputs are fixed.
		is.True(math.Abs(got-want) < 4*math.Sqrt(want*(1-want)/sampledSessions))
	}
}

func TestPointKeepsFieldsApart(t *testing.T) {
	is := is.New(t)
	is.True(Point("a", "bc", "m") != Point("ab", "c", "m"))
	is.True(Point("a", "b", "m") != Point("a", "b", "n"))
}
