package returnschedule

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

const ms = time.Millisecond

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

func digestOf(n int) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(n+1)*0x9e3779b97f4a7c15)
	return d
}

// rejected returns a request with the digest that needs 100 ms and has 9 s left.
func rejected(n int) Request {
	return Request{Service: "s", Digest: digestOf(n), Work: 100 * ms, Remaining: 9 * time.Second}
}

func newSchedule(perSecond time.Duration) *Schedule {
	s := new(Schedule)
	s.SetCapacity("s", perSecond, begin)
	return s
}

// A caller that returns in its window has precedence, once; others have none.
func TestReturnEarlyInWindowAndLate(t *testing.T) {
	for _, test := range []struct {
		after time.Duration // the reserved time
		want  Return
	}{{-EarlyWindow - ms, Early}, {-EarlyWindow, InWindow}, {0, InWindow}, {LateWindow, InWindow}, {LateWindow + ms, Late}, {retention + ms, NoReturn}} {
		is := is.New(t)
		s := newSchedule(time.Second)
		r := rejected(1)
		r.Earliest = time.Second
		due := s.Promise(r, begin).After
		is.True(due >= time.Second)
		got := s.Redeem("s", r.Digest, at(due+test.after))
		is.Equal(got.Return, test.want)
		is.Equal(got.HasPrecedence(), test.want == InWindow)
		is.Equal(s.Redeem("other", r.Digest, at(due)).Return, NoReturn) // another service
		if test.want == InWindow {
			is.Equal(s.Redeem("s", r.Digest, at(due+test.after)).Return, NoReturn)
		}
	}
}

// A client that ignores Retry-After must not take the capacity of the others: at one host it gets
// two reservations, the second one in the later half of its time.
func TestClientThatIgnoresRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newSchedule(time.Second)
	var outcomes []Outcome
	for i := range 6 {
		now := at(time.Duration(i) * 2 * ms)
		is.True(!s.Redeem("s", digestOf(1), now).HasPrecedence())
		a := s.Promise(rejected(1), now)
		outcomes = append(outcomes, a.Outcome)
		is.True(a.After <= 3*time.Second)
		is.Equal(a.Outcome == Reserved && i > 0, a.Outcome == Reserved && a.After > 1500*ms)
	}
	is.Equal(outcomes, []Outcome{Reserved, Repeated, Reserved, Repeated, Refused, Refused})
	is.Equal(s.Len(), 2)
}

// A request that returns in its window and is rejected again gets one more reservation, before new
// requests, and no third one. Its waiting times don't grow beyond a third of its remaining time.
func TestRequestThatIsRejectedAgain(t *testing.T) {
	is := is.New(t)
	s := newSchedule(time.Second)
	r := rejected(1)
	r.Rank = 4 // may use half of an interval at first
	now, left := time.Duration(0), 9*time.Second
	for _, want := range []Outcome{Reserved, Reserved, Refused} {
		r.Remaining = left
		a := s.Promise(r, at(now))
		is.Equal(a.Outcome, want)
		is.True(a.After <= left/usableFraction)
		now, left = now+a.After, left-a.After
		is.Equal(s.Redeem("s", r.Digest, at(now)).HasPrecedence(), want == Reserved)
	}
}

// Equal requests that are rejected together have one reservation each, and as many are recognized.
func TestEqualRequestsOfSeveralCallers(t *testing.T) {
	is := is.New(t)
	s := newSchedule(time.Second)
	last := time.Duration(0)
	for range 3 {
		last = max(last, s.Promise(rejected(1), begin).After)
	}
	is.Equal(s.Len(), 3)
	count := 0
	for range 5 {
		if s.Redeem("s", digestOf(1), at(last)).HasPrecedence() {
			count++
		}
	}
	is.Equal(count, 3)
}

// The caller returns to another host. The host that made the reservation may have died since then:
// the reservation counts if it was exchanged, and the request is a new one otherwise.
func TestReturnToAnotherHost(t *testing.T) {
	is := is.New(t)
	died, other := newSchedule(time.Second), newSchedule(time.Second)
	first := died.Promise(rejected(1), begin).After
	for _, p := range died.TakeNew() {
		other.Add(p, at(10*ms))
		other.Add(Promise{Key: p.Key, Due: p.Due.Add(3 * ms)}, at(200*ms)) // sent again by another hub
	}
	is.Equal(len(died.TakeNew()), 0)
	second := died.Promise(rejected(2), begin).After // not exchanged
	arrival := other.Redeem("s", digestOf(1), at(first))
	is.True(arrival.HasPrecedence() && arrival.Remote)
	is.Equal(other.Redeem("s", digestOf(1), at(first)).Return, NoReturn)
	is.Equal(other.Redeem("s", digestOf(2), at(second)).Return, NoReturn)
	is.Equal(other.Promise(rejected(1), at(first)).Second, true) // it is known there to be rejected again
}

// Wrong entries of another host must neither fill the table nor stay in it, and a full table must
// still give callers useful times.
func TestWrongEntriesAndFullTable(t *testing.T) {
	is := is.New(t)
	s := newSchedule(1000 * time.Second)
	for _, p := range []Promise{{Key: 1, Due: at(time.Hour)}, {Key: 2, Due: at(-time.Second)}, {Key: 1 << KeyBits, Due: at(time.Second)}} {
		s.Add(p, begin)
	}
	is.Equal(s.Len(), 0)
	for i := range 2 * MaxReservations {
		s.Add(Promise{Key: Key(i), Due: at(time.Second)}, begin)
	}
	is.Equal(s.Len(), maxRemote)
	for i := range MaxReservations {
		a := s.Promise(rejected(i), begin)
		is.Equal(a.Outcome == Reserved, i < MaxReservations-maxRemote)
		is.True(a.After > 0 && a.After <= 3*time.Second)
	}
	is.Equal(s.Len(), MaxReservations)
	is.Equal(len(s.TakeNew()), maxNew)
	is.Equal(s.Promise(rejected(0), at(20*time.Second)).Outcome, Reserved)
	is.Equal(s.Len(), 1)
	is.Equal(s.Expired(), uint64(MaxReservations-maxRemote))
}

// A clock that jumps back, or ahead as after a suspension, must not move reservations of others or
// block new ones.
func TestClockThatJumps(t *testing.T) {
	is := is.New(t)
	s := newSchedule(time.Second)
	due := s.Promise(rejected(1), begin).After
	back := s.Promise(rejected(2), at(-time.Hour))
	is.True(back.Outcome == Reserved && back.After <= 3*time.Second)
	is.Equal(s.Redeem("s", digestOf(1), at(due)).Return, InWindow)
	is.Equal(s.Redeem("s", digestOf(2), at(time.Hour)).Return, NoReturn)
	is.Equal(s.Promise(rejected(3), at(time.Hour)).Outcome, Reserved)
}

// A host that has sent nothing yet must still let a caller return every 250 ms, however long its
// request takes; accounts over their share and callers without time come after the others.
func TestHostThatJustStarted(t *testing.T) {
	is := is.New(t)
	s := newSchedule(0)
	for i := range 10 {
		is.Equal(s.Promise(rejected(i), begin).Outcome, Reserved)
	}
	r := rejected(20)
	r.OverShare = true
	is.True(s.Promise(r, begin).After > 1500*ms)
	r.Remaining = 20 * ms
	is.Equal(s.Promise(r, begin).Outcome, NoTime)
	r.Remaining = 300 * ms
	a := s.Promise(r, begin)
	is.True(a.Outcome == NoRoom && a.After > 0 && a.After <= 100*ms)
}

// No interval is booked beyond its capacity, except for the request that may return every 250 ms;
// the table is bounded, and no key is redeemed more often than reservations were made for it.
func TestScheduleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := time.Duration(rapid.IntRange(0, 4000).Draw(t, "capacity")) * ms
		s, now := newSchedule(capacity), time.Duration(0)
		made, redeemed := make(map[int]int), make(map[int]int)
		key := rapid.IntRange(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(-50, 700).Draw(t, "ms")) * ms },
			"promise": func(t *rapid.T) {
				n := key.Draw(t, "key")
				r := rejected(n)
				r.Rank, r.OverShare = rapid.IntRange(-1, 9).Draw(t, "rank"), rapid.Bool().Draw(t, "over")
				r.Work = time.Duration(rapid.IntRange(0, 3000).Draw(t, "work")) * ms
				r.Remaining = time.Duration(rapid.IntRange(-10, 30_000).Draw(t, "remaining")) * ms
				r.Earliest = time.Duration(rapid.IntRange(-10, 3000).Draw(t, "earliest")) * ms
				a := s.Promise(r, at(now))
				if a.Outcome == Reserved {
					made[n]++
				}
				if a.After < 0 || a.After > max(0, r.Remaining/usableFraction) || a.After > Horizon {
					t.Fatalf("%v with %v left", a, r.Remaining)
				}
			},
			"redeem": func(t *rapid.T) {
				n := key.Draw(t, "key")
				if s.Redeem("s", digestOf(n), at(now)).HasPrecedence() {
					redeemed[n]++
				}
			},
			"add": func(t *rapid.T) {
				n := key.Draw(t, "key")
				p := Promise{Key: KeyOf("s", digestOf(n)), Due: at(now + time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "due"))*ms)}
				known := s.has(p)
				if s.Add(p, at(now)); !known && s.has(p) {
					made[n]++
				}
			},
			"": func(t *rapid.T) {
				for i, booked := range s.timelines["s"].booked {
					if booked > capacity/intervalsPerSecond {
						t.Fatalf("interval %d has %v", i, booked)
					}
				}
				size := 0
				for _, list := range s.table {
					size += len(list)
				}
				for n := range redeemed {
					if redeemed[n] > made[n] {
						t.Fatalf("%d of %d redeemed", redeemed[n], made[n])
					}
				}
				if size != s.Len() || size > MaxReservations {
					t.Fatalf("size %d, entries %d", s.Len(), size)
				}
			},
		})
	})
}

// A request whose work doesn't fit into the schedule, for example since its caller states too large a size,
// must not take all free time of the later intervals from the others.
func TestWorkThatFitsNowhereLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	s := newSchedule(2 * time.Second)
	long := rejected(0)
	long.Work, long.Remaining = time.Hour, 24*time.Second
	is.Equal(s.Promise(long, begin).Outcome, Reserved)
	reserved := 0
	for n := range 150 { // the schedule has 16 s, of which the first request takes a quarter second's part
		r := rejected(n + 1)
		r.Remaining = 24 * time.Second
		if s.Promise(r, begin).Outcome == Reserved {
			reserved++
		}
	}
	is.Equal(reserved, 150)
}
