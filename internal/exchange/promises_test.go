package exchange

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/returnschedule"
)

// fleetPromises holds the reservations that a host of the simulated installation made and that it
// has yet to report, and counts those that it received.
type fleetPromises struct {
	mu       sync.Mutex
	made     []returnschedule.Promise
	received map[returnschedule.Key]int
	late     int
}

func (p *fleetPromises) make(key returnschedule.Key, in time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made = append(p.made, returnschedule.Promise{Key: key, Due: boottime.Now().Add(in)})
}

func (p *fleetPromises) take() []returnschedule.Promise {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.made
	p.made = nil
	return list
}

func (p *fleetPromises) add(list []returnschedule.Promise) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.received == nil {
		p.received = make(map[returnschedule.Key]int)
	}
	for _, l := range list {
		p.received[l.Key]++
		if l.Due.Before(boottime.Now()) {
			p.late++
		}
	}
}

func (p *fleetPromises) count() (keys, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received), p.late
}

// A caller returns to any host, so that a reservation must reach all of them before it is due, and
// when far more are made than messages hold, those that arrive must still be useful.
func TestReservationsReachTheOtherHosts(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, size.hosts, size.zones, 0)
				time.Sleep(10 * time.Second)
				maker := f.hosts[size.hosts-1]
				for key := range returnschedule.Key(10) {
					maker.promises.make(key, 2*time.Second)
				}
				took, ok := f.waitForAllHosts(2*time.Second, func(h *fleetHost) bool {
					n, _ := h.promises.count()
					return h == maker || n == 10
				})
				t.Logf("10 reservations: all hosts after %v", took)
				is.True(ok)
				n, _ := maker.promises.count()
				is.Equal(n, 0) // not sent what it reported itself

				traffic := func() (sum float64) {
					for _, h := range f.hosts {
						sum += float64(h.traffic()) / float64(size.hosts)
					}
					return sum
				}
				start := traffic()
				time.Sleep(4 * time.Second)
				idle := traffic()
				sum := 0
				const many = 1000
				for key := range returnschedule.Key(many) {
					f.hosts[int(key)%size.hosts].promises.make(100+key, time.Second+time.Duration(key)*2*time.Millisecond)
				}
				time.Sleep(4 * time.Second)
				for _, h := range f.hosts {
					n, late := h.promises.count()
					is.Equal(late, 0)
					sum += n
				}
				t.Logf("%d at once, due within 3 s: %d reach a host in the mean; %.0f bytes a host in 4 s, %.0f without them", many, sum/size.hosts, traffic()-idle, idle-start)
				is.True(sum/size.hosts > 150)
			})
		})
	}
}

// The hub dies, twice, before a host reports its reservations. The other hosts must receive them
// through the next hub, with whose log the positions in the former one have nothing in common.
func TestReservationsWhenTheHubDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 30, 3, 0)
		time.Sleep(10 * time.Second)
		maker := f.hosts[29]
		for round := range 2 {
			time.Sleep(time.Duration(round) * Interval / 2)
			for key := range returnschedule.Key(10) {
				maker.promises.make(returnschedule.Key(100*round)+key, 6*time.Second)
			}
			f.hosts = slices.DeleteFunc(f.hosts, func(h *fleetHost) bool {
				dies := h.address == maker.member.Hub() && h != maker
				if dies {
					h.stop()
				}
				return dies
			})
			took, ok := f.waitForAllHosts(6*time.Second, func(h *fleetHost) bool {
				n, _ := h.promises.count()
				return h == maker || n == 10*(round+1)
			})
			t.Logf("%d hosts left: all after %v", len(f.hosts), took)
			is.True(ok)
		}
	})
}

// A hub keeps a bounded number of reservations, drops those that are due, and continues where its
// last message ended; a hub that restarted sends what it has.
func TestReservationLogOfAHub(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var l, restarted promiseLog
	for i := range 2 * maxLoggedPromises {
		l.add("a", i%2 == 0, Promises{{Key: returnschedule.Key(i), In: time.Second}}, now)
	}
	l.add("wrong", false, make(Promises, 1000), now.Add(-time.Minute)) // more than a message holds
	is.True(len(l.entries) < 2*maxLoggedPromises)
	seen, seq := make(map[returnschedule.Key]bool), uint64(0)
	for {
		var list Promises
		if list, seq = l.since(seq, "b", toHost, now); len(list) == 0 {
			break
		}
		is.True(len(list) <= maxPromises)
		for _, p := range list {
			is.True(!seen[p.Key])
			seen[p.Key] = true
		}
	}
	is.True(len(seen) >= maxLoggedPromises-maxPromises)
	for _, own := range []string{"a", "b"} {
		list, _ := l.since(0, own, toHub, now)
		is.Equal(len(list) > 0, own == "b")
	}
	list, _ := l.since(0, "b", toHost, now.Add(time.Second))
	is.Equal(len(list), 0)
	restarted.add("a", false, Promises{{Key: 9, In: time.Second, Second: true}}, now)
	list, _ = restarted.since(seq, "b", toHost, now.Add(100*time.Millisecond))
	is.Equal(list, Promises{{Key: 9, In: 900 * time.Millisecond, Second: true}})
}

// The positions in the log of a former hub would skip entries of the next one's.
func TestReservationsAreReadFromTheStartAtAnotherHub(t *testing.T) {
	is := is.New(t)
	m := New(Options{Host: "h", Listen: "10.0.0.1"}, zerolog.Nop())
	m.hubPromiseSeq, m.forwardedPromiseSeq = 5, 6
	m.switchHub("10.0.0.2")
	is.Equal(m.hubPromiseSeq+m.forwardedPromiseSeq, uint64(0))
}

// Reservations take eight bytes each and nothing while there are none. A host without the feature
// sends and reads no such fields.
func TestReservationsOnTheWire(t *testing.T) {
	is := is.New(t)
	const maxKey = 1<<returnschedule.KeyBits - 1
	sent := Promises{{Key: maxKey, In: 8 * time.Second, Second: true}, {Key: 1, In: -time.Second}, {In: time.Hour}}
	data, err := json.Marshal(Report{Promises: sent, PromisesSince: 7})
	is.NoErr(err)
	var got Report
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got.PromisesSince, uint64(7))
	is.Equal(got.Promises, Promises{sent[0], {Key: 1}, {In: 32767 * time.Millisecond}})
	is.True(json.Unmarshal([]byte(`{"promises":"AAAA"}`), &got) != nil)
	for _, empty := range []any{Report{}, Reply{}, Report{Promises: Promises{}}} {
		data, err = json.Marshal(empty)
		is.NoErr(err)
		is.True(!strings.Contains(string(data), "promises"))
	}
}
