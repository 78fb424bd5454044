package notice_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/evenhash"
	"github.com/quetzalweir/quetzalweir/notice"
)

// A value without a meaning states that the upstream is brittle, but not how much it bears.
func TestBrittleHeader(t *testing.T) {
	is := is.New(t)
	names := notice.Headers{Leaving: "L", RetryAfter: "R", Brittle: "B"}
	read := func(value string) notice.Notice {
		return notice.Read(http.StatusOK, http.Header{"B": {value}}, names)
	}
	is.Equal(read("12"), notice.Notice{Brittle: 12})
	is.Equal(read("0"), notice.Notice{Brittle: 1})
	for _, value := range []string{"", "-3", "soon", "1e9"} {
		is.Equal(read(value), notice.Notice{Brittle: 1, Unreadable: []string{"B"}})
	}
	is.True(notice.Read(http.StatusOK, http.Header{}, names).IsZero())
}

// Upstreams state it in all answers, so that a service without such answers isn't brittle any more.
func TestBrittleEndsWithItsStatements(t *testing.T) {
	is := is.New(t)
	var b notice.Brittle
	now := time.Now()
	is.True(!b.Active(now))
	b.Record(5, now)
	b.Record(0, now.Add(time.Second))
	is.True(b.Active(now.Add(2 * time.Second)))
	is.True(!b.Active(now.Add(4 * time.Second)))
}

// brittleCase is a service whose hosts offer it load times what its upstreams can process, each of which
// processes slots requests at once in the time work and bears limit rejections in a second.
type brittleCase struct {
	hosts, upstreams, slots, limit int
	work                           time.Duration
	load                           float64
}

// Load data is up to 300 ms old. An upstream that has to reject more than it bears in a second terminates
// and is back 3 s later. That may happen twice, and once more for ten upstreams, and the hosts together must
// use most of the slots.
func TestBrittleUpstreamsReplay(t *testing.T) {
	for _, c := range []brittleCase{
		{7, 3, 6, 5, 60 * time.Millisecond, 3}, {7, 18, 64, 5, 2 * time.Second, 3}, {77, 60, 64, 5, 2 * time.Second, 3}, {440, 600, 64, 5, 2 * time.Second, 3},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d upstreams of %d slots", c.hosts, c.upstreams, c.slots), func(t *testing.T) { c.replay(t) })
	}
}

// The same with many more hosts than slots and short requests, of which many arrive before load data does.
func TestBrittleUpstreamsWithFewSlotsReplay(t *testing.T) {
	for _, load := range []float64{2, 3} {
		brittleCase{77, 3, 6, 20, 60 * time.Millisecond, load}.replay(t)
	}
}

func (c brittleCase) replay(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 7))
	const step = 5 * time.Millisecond
	type upstream struct {
		ends     []time.Duration // of the requests in it, in order
		reported int
		rejected []time.Duration
		backAt   time.Duration
	}
	type use struct {
		own     []time.Duration
		backoff notice.Backoff
		share   notice.BrittleShare
	}
	upstreams, uses := make([]upstream, c.upstreams), make([][]use, c.hosts)
	for h := range uses {
		uses[h] = make([]use, c.upstreams)
	}
	var b notice.Brittle
	start := time.Now()
	busy, samples, terminated := 0.0, 0, 0
	perStep := c.load * float64(c.upstreams*c.slots) / c.work.Seconds() * step.Seconds()
	drop := func(list []time.Duration, at time.Duration) []time.Duration {
		for len(list) > 0 && list[0] <= at {
			list = list[1:]
		}
		return list
	}
	for at := time.Duration(0); at < 10*time.Second; at += step {
		now := start.Add(at)
		b.Record(c.limit, now)
		for i := range upstreams {
			u := &upstreams[i]
			u.ends, u.rejected = drop(u.ends, at), drop(u.rejected, at-time.Second)
			if at%(300*time.Millisecond) == 0 {
				u.reported = len(u.ends)
			}
			busy, samples = busy+float64(min(len(u.ends), c.slots))/float64(c.slots), samples+1
		}
		for n := perStep * min(1, at.Seconds()) * 2 * r.Float64(); r.Float64() < n; n-- { // the load rises over a second
			h, i := r.IntN(c.hosts), r.IntN(c.upstreams)
			u, own := &upstreams[i], &uses[h][i]
			own.own = drop(own.own, at)
			allowed := own.share.Allows(notice.BrittleUse{Load: float64(u.reported), Slots: c.slots, Own: len(own.own), Hosts: c.hosts,
				Point: float64(evenhash.Mix(uint64(h*1000+i))>>11) / (1 << 53)}, at)
			if !allowed || !own.backoff.Allows(now) || at < u.backAt {
				continue
			}
			own.backoff.RecordSent(now)
			if len(u.ends) >= c.slots+c.slots/3 {
				u.rejected = append(u.rejected, at)
				if len(u.rejected) > c.limit {
					terminated++
					*u = upstream{backAt: at + 3*time.Second}
				}
				own.backoff.Extend(b.RejectionBackoff(c.hosts), now)
				continue
			}
			own.backoff.Accepted(now)
			end := at + c.work
			if len(u.ends) >= c.slots {
				end = u.ends[len(u.ends)-c.slots] + c.work
			}
			u.ends, own.own = append(u.ends, end), append(own.own, end)
		}
	}
	t.Logf("%d of %d upstreams terminated; slots in use: %.2f", terminated, c.upstreams, busy/float64(samples))
	is.True(terminated <= 2+c.upstreams/10)
	is.True(busy/float64(samples) > 0.5)
}
