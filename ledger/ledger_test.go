package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// pagingTable lists at most 3 rows at once and calls a function between pages.
type pagingTable struct {
	*memory.Table
	betweenPages func()
}

func (h *pagingTable) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if after != "" {
		h.betweenPages()
	}
	return h.Table.List(ctx, prefix, after, min(limit, 3))
}

// TestCompactUnderRead compacts between the pages of a reader, while late
// segments are written, and checks that the reader doesn't miss a bill.
func TestCompactUnderRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, objects := memory.NewTable(), memory.NewObjects()
		l := New(Options{Table: table, Objects: objects, Host: "~h/0", MaxSegmentBills: 1})
		const bills = 300
		for i := range bills {
			l.add(testBill(fmt.Sprint(i)))
		}
		is.NoErr(l.Flush(t.Context()))
		late := testBill("late")
		time.Sleep(time.Minute)
		const maxMoves = 20
		seen, moves := 0, 0
		reader := &pagingTable{Table: table, betweenPages: func() {
			if moves == maxMoves {
				// Without a limit, new rows would keep the reader from finishing.
				return
			}
			moves++
			for range 2 {
				l.add(late)
			}
			is.NoErr(l.Flush(t.Context()))
			is.NoErr(Compact(t.Context(), table, objects, time.Now()))
		}}
		for range 5 {
			seen, moves = 0, 0
			for b, err := range Read(t.Context(), reader, objects, Query{}) {
				is.NoErr(err)
				if b.ID != late.ID {
					seen++
				}
			}
			is.Equal(seen, bills)
			// Write the bills as separate rows again for the next reader.
			for i := range bills {
				l.add(testBill(fmt.Sprint(i)))
			}
			is.NoErr(l.Flush(t.Context()))
			time.Sleep(time.Minute)
		}
	})
}

// TestCompactBounds checks that compaction leaves one row per day and that
// refusals are counted once, even if a segment is written again after its merge.
func TestCompactBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, objects := memory.NewTable(), memory.NewObjects()
		l := New(Options{Table: table, Objects: objects, Host: "h0", MaxSegmentBills: 1})
		const bills = 700
		for i := range bills {
			time.Sleep(4 * time.Minute)
			l.add(testBill(fmt.Sprint(i)))
		}
		l.CountRefusal("valley-auction", 41, 3001)
		l.CountRefusal("valley-auction", 41, 3001)
		l.buildSegments()
		segments := l.unwrittenSegments
		is.NoErr(l.Flush(t.Context()))
		time.Sleep(48 * time.Hour)
		for range 3 {
			// A day with more than maxCompactRows rows needs two runs.
			is.NoErr(Compact(t.Context(), table, objects, time.Now()))
			is.NoErr(Compact(t.Context(), table, objects, time.Now()))
			rows, err := table.List(t.Context(), "", "", 1000)
			is.NoErr(err)
			is.Equal(len(rows), 2) // one for each day
			trace, err := ByEpoch(t.Context(), table, objects, 41)
			is.NoErr(err)
			is.Equal(trace.Refusals, map[int]int{3001: 2})
			total, err := Totals(t.Context(), table, objects, Query{Account: "valley-auction"})
			is.NoErr(err)
			is.Equal(total, Total{Bills: bills, Charged: bills, PromptTokens: bills * 812, CompletionTokens: bills * 301, CostMicro: bills * 1415})
			for _, s := range segments[len(segments)-3:] {
				is.NoErr(s.write(t.Context(), table, objects))
			}
		}
	})
}

func TestRunCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(1, Options{})
		defer c.stopAll()
		record(t, c.hosts[0], 0, 50)
		failures := 0
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour)
		defer cancel()
		time.AfterFunc(time.Hour, func() { c.table.SetDown(true) })
		err := RunCompaction(ctx, CompactionOptions{
			Table: c.table, Objects: c.objects, Random: rand.New(rand.NewPCG(1, 1)),
			OnError: func(error) { failures++ },
		})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(failures > 30 && failures < 120) // one a minute on average
		c.table.ClearFaults()
		rows, err := c.table.List(t.Context(), keyPrefix, "", 100)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		is.Equal(len(c.readAll(t)), 50)
	})
}

func TestFlushIntervalFor(t *testing.T) {
	tests := []struct {
		hosts int
		want  time.Duration
	}{{0, time.Second}, {7, time.Second}, {100, 2 * time.Second}, {440, 8800 * time.Millisecond}}
	for _, tc := range tests {
		is.New(t).Equal(FlushIntervalFor(tc.hosts), tc.want)
	}
}

// TestSetFlushInterval checks the number of commits in ten minutes.
func TestSetFlushInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, Options{})
		defer c.stopAll()
		l := c.hosts[0].ledger
		l.SetFlushInterval(10 * time.Second)
		time.Sleep(time.Minute)
		before := c.table.Counts().Commits
		for range 600 {
			l.add(testBill("1"))
			time.Sleep(time.Second)
		}
		commits := c.table.Counts().Commits - before
		// One commit every 10 s, and one more whenever the bills of a flush are
		// from two minutes.
		is.New(t).True(commits >= 59 && commits <= 71)
	})
}

func TestQuery(t *testing.T) {
	table, objects := memory.NewTable(), memory.NewObjects()
	l := New(Options{Table: table, Objects: objects, Host: "h0"})
	start := time.Date(2026, 12, 2, 23, 50, 0, 0, time.UTC)
	add := func(id, requestID string, minutes, code int) {
		b := testBill(id)
		b.RequestID, b.Code = requestID, code
		b.At = start.Add(time.Duration(minutes) * time.Minute)
		l.add(b)
	}
	add("a", "r1", 0, 4002)
	add("a", "r2", 5, 0)
	add("b", "r3", 15, 0)
	add("c", "r4", 30, 0)
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	check := func(t *testing.T) {
		tests := []struct {
			desc  string
			query Query
			want  string
		}{
			{"all, a complete answer over a failure", Query{}, "[r2 r3 r4]"},
			{"other account", Query{Account: "clydegate"}, "[]"},
			{"request whose bill is superseded", Query{RequestID: "r1"}, "[]"},
			{"request", Query{RequestID: "r3"}, "[r3]"},
			{"epoch", Query{Epoch: 40}, "[]"},
			{"the preferred bill is outside", Query{To: start.Add(time.Minute)}, "[]"},
			{"one day", Query{To: start.Add(10 * time.Minute)}, "[r2]"},
			{"over midnight", Query{From: start.Add(5 * time.Minute), To: start.Add(30 * time.Minute)}, "[r2 r3]"},
			{"from", Query{From: start.Add(15 * time.Minute)}, "[r3 r4]"},
		}
		for _, tc := range tests {
			t.Run(tc.desc, func(t *testing.T) {
				got := []string{}
				for b, err := range Read(t.Context(), table, objects, tc.query) {
					if err != nil {
						t.Fatal(err)
					}
					got = append(got, b.RequestID)
				}
				is.New(t).Equal(fmt.Sprint(got), tc.want)
			})
		}
	}
	t.Run("segments", check)
	if err := Compact(t.Context(), table, objects, start.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	t.Run("one day compacted", check)
	if err := Compact(t.Context(), table, objects, start.Add(48*time.Hour)); err != nil {
		t.Fatal(err)
	}
	t.Run("both days compacted", check)
	_, err := ByRequest(t.Context(), table, objects, "r1")
	is.New(t).True(errors.Is(err, storage.ErrNotFound))
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(1, Options{MaxPending: 2})
		defer c.stopAll()
		l := c.hosts[0].ledger
		c.table.SetDown(true)
		is.True(errors.Is(l.Record(t.Context(), Bill{}), ErrInvalid))
		is.NoErr(l.Admit())
		for _, id := range []string{"1", "2", "3"} {
			is.True(errors.Is(l.Record(t.Context(), testBill(id)), ErrAtRisk))
		}
		is.True(errors.Is(l.Admit(), ErrFull))
		is.Equal(l.AtRisk(), 3)
		is.Equal(l.Pending(), 3)
		c.table.ClearFaults()
		time.Sleep(time.Minute)
		is.NoErr(l.Admit())
		is.Equal(l.AtRisk(), 0)
		is.NoErr(l.Record(t.Context(), testBill("4"))) // without peers, an early flush makes it durable
		is.Equal(len(c.readAll(t)), 4)
	})
}

func TestRefusalKeysAreBounded(t *testing.T) {
	l := New(Options{Table: memory.NewTable(), Objects: memory.NewObjects(), Host: "h0"})
	for i := range maxRefusalKeys + 10 {
		l.CountRefusal(fmt.Sprint("account-", i), 1, 1001)
	}
	list := l.refusals.take()
	is := is.New(t)
	is.Equal(len(list), maxRefusalKeys+1)
	is.Equal(list[0], RefusalCount{Account: OtherAccounts, Epoch: 1, Code: 1001, Count: 10})
}
