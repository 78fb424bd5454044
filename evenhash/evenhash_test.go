package evenhash_test

import (
	"math"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/evenhash"
)

// Hosts of different releases agree only if the hashes never change.
func TestValuesAreStable(t *testing.T) {
	is := is.New(t)
	is.Equal(evenhash.Sum("canary", "v2", "r-1"), uint64(11701761124922990364))
	is.Equal(evenhash.Sum("aa"), uint64(11969697449738629932))
	is.Equal(evenhash.Sum(), uint64(17280346270528514342))
	is.True(evenhash.Sum("ab", "c") != evenhash.Sum("a", "bc"))
	is.Equal(evenhash.Point("canary", "v2", "r-1"), float64(evenhash.Sum("canary", "v2", "r-1")>>11)/(1<<53))
}

// Strings that differ only in their last characters are spread evenly, too.
func TestPointsAreEven(t *testing.T) {
	const texts, bins = 100_000, 20
	counts := make([]int, bins)
	for i := range texts {
		counts[int(bins*evenhash.Point("part", strconv.Itoa(i)))]++
	}
	const mean = float64(texts) / bins
	for _, n := range counts {
		// A count within six standard deviations of the mean is even.
		is.New(t).True(math.Abs(float64(n)-mean) < 6*math.Sqrt(mean))
	}
}
