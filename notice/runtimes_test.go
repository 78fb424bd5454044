package notice_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/notice"
)

// The first requests to end are the short ones. Their mean must not be taken for that of all, since the load of a brittle
// upstream would count as gone by then.
func TestFirstRequestsToEndAreShort(t *testing.T) {
	is := is.New(t)
	var r notice.RunTimes
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for range 10 {
		r.Start(0)
	}
	is.Equal(r.Mean(at(1)), time.Duration(0)) // unknown
	r.End(0, at(0.1), true)
	is.True(r.Mean(at(0.1)) >= at(0.99))
	for range 4 {
		r.End(0, at(1), false) // cut off: shows no end
	}
	is.Equal(r.InFlight(), 5)
	is.True(r.Mean(at(1)) > at(9))
	for range 5 {
		r.End(0, at(1), true)
	}
	for range 500 {
		r.Start(at(1))
		r.End(at(1), at(3), true)
	}
	is.True((r.Mean(at(3)) - at(2)).Abs() < at(0.01))
}
