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
	const step, reportInterval = 5 * time.Millisecond, 300 * time.Millisecond
	type upstream struct {
		ends     []time.Duration // of the requests in it, in order
		reported int
		rejected []time.Duration
		backAt   time.Duration
	}
	type run struct{ sentAt, endsAt time.Duration }
	type use struct {
		own         []run
		ownReported int
		backoff     notice.Backoff
		turn        notice.Turn
	}
	type host struct {
		notice.Brittle
		notice.RunTimes
		uses []use
	}
	upstreams, hosts := make([]upstream, c.upstreams), make([]host, c.hosts)
	for h := range hosts {
		hosts[h].uses = make([]use, c.upstreams)
	}
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
		load, up := 0.0, 0
		for i := range upstreams {
			u := &upstreams[i]
			u.ends, u.rejected = drop(u.ends, at), drop(u.rejected, at-time.Second)
			if at%reportInterval == 0 {
				u.reported = len(u.ends)
			}
			if at >= u.backAt {
				load, up = load+float64(u.reported)/float64(c.slots), up+1
			}
			busy, samples = busy+float64(min(len(u.ends), c.slots))/float64(c.slots), samples+1
		}
		for h := range hosts {
			host := &hosts[h]
			host.Record(c.limit, now)
			for i := range host.uses {
				own := &host.uses[i]
				for len(own.own) > 0 && own.own[0].endsAt <= at {
					host.End(own.own[0].sentAt, own.own[0].endsAt, true)
					own.own = own.own[1:]
				}
				if at%reportInterval == 0 {
					own.ownReported = len(own.own)
				}
			}
			if up > 0 {
				host.AdjustGain(load/float64(up), c.hosts, float64(c.slots), now, at)
			}
		}
		for n := perStep * min(1, at.Seconds()) * 2 * r.Float64(); r.Float64() < n; n-- { // the load rises over a second
			h, i := r.IntN(c.hosts), r.IntN(c.upstreams)
			u, host := &upstreams[i], &hosts[h]
			own, age := &host.uses[i], at%reportInterval
			unseen := 0
			for _, q := range own.own {
				if q.sentAt > at-age {
					unseen++
				}
			}
			allowed := host.Allows(&notice.BrittleUse{
				Others: float64(u.reported - own.ownReported), Age: age, RunTime: host.Mean(at), Slots: c.slots, Own: len(own.own), Unseen: unseen, Hosts: c.hosts,
				Point: float64(evenhash.Mix(uint64(h*1000+i))>>11) / (1 << 53),
			}, &own.turn, now, at)
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
				host.RecordRejection(c.hosts, c.upstreams, now)
				own.backoff.Extend(host.RejectionBackoff(c.hosts), now)
				continue
			}
			own.backoff.Accepted(now)
			end := at + c.work
			if len(u.ends) >= c.slots {
				end = u.ends[len(u.ends)-c.slots] + c.work
			}
			host.Start(at)
			u.ends, own.own = append(u.ends, end), append(own.own, run{at, end})
		}
	}
	t.Logf("%d of %d upstreams terminated; slots in use: %.2f", terminated, c.upstreams, busy/float64(samples))
	is.True(terminated <= 2+c.upstreams/10)
	is.True(busy/float64(samples) > 0.5)
}
