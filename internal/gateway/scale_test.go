package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// A host before 10,000 engines went through all of them about 40 times a second, though it
// had requests at one or two.
func TestPeriodicWorkLooksAtUpstreamsInUseOnly(t *testing.T) {
	is := is.New(t)
	f := largeFleet(12_000, 5)
	s := f.shard("svc")
	is.Equal(len(s.active)+len(s.leased), 0)

	c, ok := f.choose(sharedWants("p"))
	is.True(ok)
	is.Equal(len(s.active), 1)
	is.Equal(len(f.work()), 1)
	f.release(c, attemptResult{outcome: outcomeDone})
	is.Equal(len(s.active), 0)

	m := f.memberOf("svc", c.upstream.ID)
	s.bound = ratelease.Bound{Rate: 10, Overrun: 1.5}
	m.noteCold(time.Minute, coldEntry, f.log)
	is.Equal(len(s.leased), 1)
	f.noteOpen()
	is.Equal(len(s.leased), 1)
	is.Equal(len(f.Leased(1)), 1)
	m.coldUntil = boottime.Now()
	f.noteOpen()
	is.Equal(len(s.leased), 0)

	f.observeLimit(&c, limitHeader{values: []string{"5"}})
	is.Equal(len(s.leased), 1)
	is.Equal(len(f.knownLimits()), 1)
	f.Remove(c.upstream.ID, 2, false)
	f.Sweep(boottime.Now().Add(2 * forgetAfter))
	is.Equal(len(s.leased), 0)
	is.Equal(s.starts, starts{all: 11_999})
}
