package session

import (
	"fmt"
	"math"
	"sort"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// chooseByInterval is the rejected alternative to rendezvous hashing: versions
// own adjacent intervals of [0,1), ordered by name.
func chooseByInterval(versions []manifest.Version, sessionHash float64) (manifest.Version, bool) {
	sorted := append([]manifest.Version(nil), versions...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	end := 0.0
	for _, v := range sorted {
		if !acceptsNewSessions(v) {
			continue
		}
		end += float64(v.Share) / 100
		if sessionHash < end {
			return v, true
		}
	}
	return manifest.Version{}, false
}

const sampledSessions = 40000

type chooser func([]manifest.Version, float64) (manifest.Version, bool)

// movedFraction returns the fraction of sessions whose version changes when the
// shares change from before to after.
func movedFraction(choose chooser, before, after []manifest.Version) float64 {
	moved := 0
	for i := range sampledSessions {
		hash := SessionHash("acme", fmt.Sprint(i), "small")
		a, _ := choose(before, hash)
		b, _ := choose(after, hash)
		if a.Name != b.Name {
			moved++
		}
	}
	return float64(moved) / sampledSessions
}

// minMovedFraction returns the fraction of sessions that must change their version
// so that each version gets its new share.
func minMovedFraction(before, after []manifest.Version) float64 {
	sum := 0
	for i := range before {
		sum += max(0, after[i].Share-before[i].Share)
	}
	return float64(sum) / 100
}

func TestShareChangeMovesFewSessions(t *testing.T) {
	cases := []struct {
		desc          string
		before, after []int
		// maxRatio is the maximum fraction of sessions that rendezvous hashing may
		// move, as a multiple of the minimum fraction.
		maxRatio float64
	}{
		{desc: "two versions, one roll-out step", before: []int{90, 10}, after: []int{80, 20}, maxRatio: 1.05},
		{desc: "two versions, roll-back", before: []int{50, 50}, after: []int{100, 0}, maxRatio: 1.05},
		{desc: "three versions, share moves from first to last", before: []int{50, 40, 10}, after: []int{40, 40, 20}, maxRatio: 1.5},
		{desc: "three versions, first one is new", before: []int{0, 60, 40}, after: []int{10, 54, 36}, maxRatio: 1.05},
		{desc: "five versions, share moves from first to last", before: []int{30, 20, 20, 20, 10}, after: []int{20, 20, 20, 20, 20}, maxRatio: 2},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			before, after := versionsWithShares(tc.before...), versionsWithShares(tc.after...)
			minimum := minMovedFraction(before, after)
			rendezvous := movedFraction(ChooseVersion, before, after)
			intervals := movedFraction(chooseByInterval, before, after)
			t.Logf("moved fraction: minimum %.3f, rendezvous %.3f, intervals %.3f", minimum, rendezvous, intervals)
			is.New(t).True(rendezvous <= tc.maxRatio*minimum)
		})
	}
}

func TestChooseFollowsShares(t *testing.T) {
	is := is.New(t)
	vs := versionsWithShares(60, 30, 9, 1)
	count := map[string]int{}
	for i := range sampledSessions {
		v, _ := ChooseVersion(vs, SessionHash("acme", fmt.Sprint(i), "small"))
		count[v.Name]++
	}
	for _, v := range vs {
		got := float64(count[v.Name]) / sampledSessions
		want := float64(v.Share) / 100
		t.Logf("%s: share %.3f got %.4f", v.Name, want, got)
		// The tolerance is four standard deviations of the binomial distribution.
		// The inputs are fixed, so the result is deterministic.
		is.True(math.Abs(got-want) < 4*math.Sqrt(want*(1-want)/sampledSessions))
	}
}

func TestSessionHashSeparatesFields(t *testing.T) {
	is := is.New(t)
	is.True(SessionHash("a", "bc", "m") != SessionHash("ab", "c", "m"))
	is.True(SessionHash("a", "b", "m") != SessionHash("a", "b", "n"))
}
