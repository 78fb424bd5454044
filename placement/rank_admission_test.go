package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/placement"
)

// Twenty requests per second of three ranks compete for a supply of eight per second: the most
// urgent rank is admitted in full, the next one in part.
func TestRankAdmissionAdmitsUrgentFirst(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var admission placement.RankAdmission
	var arrived, admitted [3]int
	for i := range 20 * 60 {
		now = now.Add(50 * time.Millisecond)
		rank := []int{0, 1, 2, 2, 1}[i%5] // 4, 8 and 8 per second
		admission.RecordArrival(rank, now)
		if i < 200 {
			continue // warm up the arrival rates
		}
		arrived[rank]++
		if admission.Admits(rank, 8, rnd.Float64(), now) {
			admitted[rank]++
		}
	}
	is.Equal(admitted[0], arrived[0])
	share := float64(admitted[1]) / float64(arrived[1])
	is.True(share > 0.4 && share < 0.6) // 4 of 8 per second remain
	is.Equal(admitted[2], 0)
}

func TestRankAdmissionWithoutShortage(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var admission placement.RankAdmission
	is.True(admission.Admits(3, 1, 0.99, now))
	admission.RecordArrival(-1, now)
	admission.RecordArrival(99, now)
	is.True(admission.Admits(99, 5, 0.99, now))
	is.True(!admission.Admits(99, 0, 0, now)) // no supply
}
