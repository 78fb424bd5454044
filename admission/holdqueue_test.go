package admission

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// holdEpoch is the time at which the tests of HoldQueue begin.
var holdEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// busy is an estimate with which items are kept.
var busy = Estimate{FirstEvent: 5 * time.Second, Wait: 4 * time.Second}

func holdItem(priority int, change func(*Item)) *Item {
	it := &Item{Service: "s", Priority: priority, Work: time.Second, Target: 4 * time.Second, Arrived: holdEpoch, Deadline: holdEpoch.Add(20 * time.Second), BodyBytes: 10}
	if change != nil {
		change(it)
	}
	return it
}

// The last item in the order must be rejected if the queue is full: a less urgent one first, then one
// of an account over its share, then the one that can start latest. Less urgent items keep an eighth of
// the places. The same holds if the bodies need too many bytes.
func TestFullHoldQueue(t *testing.T) {
	over := func(it *Item) { it.OverShare = true }
	later := func(it *Item) { it.Deadline = it.Deadline.Add(time.Second) }
	returning := func(it *Item) { it.Returning, it.Deadline = true, it.Deadline.Add(time.Second) }
	large := func(it *Item) { it.BodyBytes = 11 }
	tests := []struct {
		desc          string
		kept          *Item // one item of the full queue; the others have priority 1
		offered       *Item
		offeredIsKept bool
	}{
		{"less urgent than the others", holdItem(1, nil), holdItem(2, nil), true}, // it has a place in their portion
		{"more urgent than the others", holdItem(1, later), holdItem(0, nil), true},
		{"over its share", holdItem(1, nil), holdItem(1, over), false},
		{"another is over its share", holdItem(1, over), holdItem(1, later), true},
		{"others start earlier", holdItem(1, nil), holdItem(1, later), false},
		{"returned when it was told", holdItem(1, later), holdItem(1, returning), true},
		{"urgent but over its share", holdItem(2, nil), holdItem(1, over), false},
		{"body without room, same order", holdItem(1, nil), holdItem(1, large), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			q := NewHoldQueue(MaxHeldItems * 10)
			is.Equal(q.Offer(test.kept, busy, holdEpoch)[0].Verdict, Keep)
			for range MaxHeldItems - 1 {
				is.Equal(q.Offer(holdItem(1, nil), busy, holdEpoch)[0].Verdict, Keep)
			}
			decisions := q.Offer(test.offered, busy, holdEpoch)
			is.Equal(decisions[0].Verdict == Keep, test.offeredIsKept)
			rejected := decisions[len(decisions)-1]
			is.Equal(rejected.Cause, CauseFull)
			is.True(rejected.RetryAfter > 0)
			is.Equal(q.Len(), MaxHeldItems)
		})
	}
}

// Bodies of kept items must stay within the bound: several small ones make room for a more urgent
// large one, and one that is larger than the bound is sent, since it has a place at an upstream.
func TestBytesOfAHoldQueue(t *testing.T) {
	is := is.New(t)
	q := NewHoldQueue(100)
	for range 10 {
		q.Offer(holdItem(1, nil), busy, holdEpoch)
	}
	decisions := q.Offer(holdItem(0, func(it *Item) { it.BodyBytes = 35 }), busy, holdEpoch)
	is.Equal(decisions[0].Verdict, Keep)
	is.Equal(len(decisions), 5) // four were rejected
	is.Equal(q.bytes, 95)
	is.Equal(q.Offer(holdItem(0, func(it *Item) { it.BodyBytes = 101 }), busy, holdEpoch)[0].Verdict, Send)
}

// Less urgent items must get an eighth of the work sent, or they would wait as long as there are more
// urgent ones; an item over its share must not be sent before those within theirs.
func TestOrderOfAHoldQueue(t *testing.T) {
	is := is.New(t)
	q := NewHoldQueue(1000)
	for i := range 20 {
		q.Offer(holdItem(i%2, func(it *Item) { it.OverShare = i < 4 }), busy, holdEpoch)
	}
	soon := Estimate{FirstEvent: 2 * time.Second, Wait: time.Second}
	var order strings.Builder
	for q.Len() > 0 {
		decisions := q.Advance(holdEpoch.Add(estimateInterval), func(*Item) Estimate { return soon })
		is.Equal(len(decisions), 1) // the next one is decided on after Started
		it := decisions[0].Item
		order.WriteByte("ulUL"[it.Priority+2*boolInt(it.OverShare)])
		q.Started(it)
	}
	is.Equal(order.String(), "uuuuuuuulUUlllllllLL")
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A new item of an account over its share must not overtake kept ones of accounts within theirs,
// unless an upstream is idle. Others are sent if an upstream can begin them in time.
func TestNewItemsWhileOthersAreKept(t *testing.T) {
	is := is.New(t)
	q := NewHoldQueue(1000)
	q.Offer(holdItem(1, nil), busy, holdEpoch)
	soon := Estimate{FirstEvent: 2 * time.Second, Wait: time.Second}
	over := func(it *Item) { it.OverShare = true }
	is.Equal(q.Offer(holdItem(1, nil), soon, holdEpoch)[0].Cause, CauseInTime)
	is.Equal(q.Offer(holdItem(1, over), Estimate{FirstEvent: time.Second}, holdEpoch)[0].Cause, CauseIdle)
	is.Equal(q.Offer(holdItem(1, over), soon, holdEpoch)[0].Cause, CauseOverShare)
	is.Equal(q.Offer(holdItem(0, over), soon, holdEpoch)[0].Cause, CauseInTime)
}

// An item that isn't started, for example because its goroutine gets no processor time, must not block
// the others of its service for longer than 50 ms.
func TestItemThatIsNeverStartedBlocksNoOthers(t *testing.T) {
	is := is.New(t)
	q, now := NewHoldQueue(1000), holdEpoch
	for range 2 {
		q.Offer(holdItem(0, nil), busy, now)
	}
	advance := func(after time.Duration) int {
		now = now.Add(after)
		return len(q.Advance(now, func(*Item) Estimate { return Estimate{FirstEvent: 2 * time.Second, Wait: time.Second} }))
	}
	is.Equal(advance(estimateInterval), 1) // Started isn't called
	is.Equal(advance(maxStarting-1), 0)
	is.Equal(advance(1), 1)
}

// New items must not overtake kept ones that are more urgent or returned when they were told, for which no
// upstream was in time a moment ago; otherwise those wait for their whole time while others take each place.
func TestNewItemsDoNotOvertakeKeptOnes(t *testing.T) {
	soon := Estimate{FirstEvent: 2 * time.Second, Wait: time.Second}
	returning := func(it *Item) { it.Returning = true }
	tests := []struct {
		desc          string
		kept, offered *Item
		estimate      Estimate
		after         time.Duration
		want          Cause
	}{
		{"less urgent", holdItem(0, nil), holdItem(1, nil), soon, estimateInterval, CauseBehind},
		{"another returned", holdItem(1, returning), holdItem(1, nil), soon, 0, CauseBehind},
		{"both returned", holdItem(1, returning), holdItem(1, returning), soon, 0, CauseInTime},
		{"more urgent", holdItem(1, returning), holdItem(0, nil), soon, 0, CauseInTime},
		{"the estimate is old", holdItem(0, nil), holdItem(1, nil), soon, 2 * estimateInterval, CauseInTime},
		{"an upstream is idle", holdItem(0, nil), holdItem(1, nil), Estimate{FirstEvent: time.Second}, 0, CauseIdle},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			q := NewHoldQueue(1000)
			is.Equal(q.Offer(test.kept, busy, holdEpoch)[0].Cause, CauseBusy)
			is.Equal(q.Offer(test.offered, test.estimate, holdEpoch.Add(test.after))[0].Cause, test.want)
			decisions := q.Advance(holdEpoch.Add(time.Second), func(*Item) Estimate { return soon })
			is.Equal(decisions[0].Item, test.kept)
		})
	}
}

// An item that would be late at an idle upstream must not be kept, since that makes it later, and neither
// it nor one without a target may count as saturation while upstreams have next to no wait.
func TestItemThatGainsNothingByWaiting(t *testing.T) {
	is := is.New(t)
	q := NewHoldQueue(1000)
	slow := Estimate{FirstEvent: 4500 * time.Millisecond, Wait: 25 * time.Millisecond}
	for range 20 {
		is.Equal(q.Offer(holdItem(0, nil), slow, holdEpoch)[0].Cause, CauseLate)
		is.Equal(q.Offer(holdItem(0, func(it *Item) { it.Target = 0 }), slow, holdEpoch)[0].Cause, CauseLate)
	}
	is.Equal(q.Saturation("s", holdEpoch), 0.0)
	nearly := Estimate{FirstEvent: 4*time.Second + 20*time.Millisecond, Wait: 30 * time.Millisecond}
	is.Equal(q.Offer(holdItem(0, nil), nearly, holdEpoch)[0].Cause, CauseBusy)
	is.Equal(q.Advance(holdEpoch.Add(estimateInterval), func(*Item) Estimate { return nearly })[0].Cause, CauseLate)
	is.True(q.Saturation("s", holdEpoch) > 0)
}

// Whatever is expected, an item must not be rejected by an old estimate or while its first event is
// expected before its deadline, if the queue has room. The Retry-After of a rejected one must be
// within a third of its remaining time, unless that is shorter than callers can be told.
func TestRejectedItemsAreUnmeetable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := NewHoldQueue(1000), holdEpoch
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		estimates := make(map[*Item]Estimate)
		estimate := func(it *Item) Estimate {
			wait := ms("wait", 12_000)
			estimates[it] = Estimate{Wait: wait, FirstEvent: wait + ms("prefill", 2000)}
			return estimates[it]
		}
		check := func(decisions []Decision) {
			for _, d := range decisions {
				left := d.Item.Deadline.Sub(now)
				q.Started(d.Item)
				if d.Verdict != Reject || left <= 0 {
					continue
				}
				if d.Estimate != estimates[d.Item] || d.Estimate.FirstEvent <= left {
					t.Fatalf("%s with %v left by %+v, now %+v", d.Cause, left, d.Estimate, estimates[d.Item])
				}
				if retry := SpreadRetryAfter(d.RetryAfter, left, rapid.Float64Range(0, 1).Draw(t, "draw")); retry <= 0 || retry > max(shortestRetryAfter, left/callerWaitDivisor) {
					t.Fatalf("Retry-After %v with %v left", retry, left)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(*rapid.T) {
				it := holdItem(0, func(it *Item) { it.Arrived, it.Deadline = now, now.Add(ms("deadline", 10_000)) })
				it.OverShare, it.Target, it.BodyBytes = rapid.Bool().Draw(t, "over"), ms("target", 4000), 1
				check(q.Offer(it, estimate(it), now))
			},
			"": func(*rapid.T) {
				now = now.Add(ms("passed", 300))
				clear(estimates)
				for decisions := q.Advance(now, estimate); len(decisions) > 0; decisions = q.Advance(now, estimate) {
					check(decisions)
				}
			},
		})
	})
}

// An item for which brittle upstreams have no free slot is kept, since newer load data can show one, but no longer than
// others. One that no upstream may be sent for another reason isn't kept.
func TestItemWithoutAFreeSlotIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewHoldQueue(MaxHeldItems)
	it := holdItem(1, nil)
	is.Equal(q.Offer(holdItem(1, nil), Estimate{NoUpstream: true}, holdEpoch)[0].Cause, CauseNoUpstream)
	decision := q.Offer(it, Estimate{NoUpstream: true, SlotExpected: true}, holdEpoch)[0]
	is.Equal(decision.Verdict, Keep)
	is.Equal(decision.Cause, CauseNoFreeSlot)
	noSlot := func(*Item) Estimate { return Estimate{NoUpstream: true, SlotExpected: true} }
	is.Equal(len(q.Advance(holdEpoch.Add(estimateInterval), noSlot)), 0)
	decisions := q.Advance(holdEpoch.Add(it.Target/maxHoldDivisor), noSlot)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Verdict, Send) // the attempt finds the reason
	is.Equal(decisions[0].Cause, CauseNoUpstream)
}
