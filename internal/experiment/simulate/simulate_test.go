package simulate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	q := New()
	var ran []string
	note := func(s string) func() { return func() { ran = append(ran, s) } }
	q.After(2*time.Second, note("c"))
	q.After(time.Second, note("a"))
	q.After(time.Second, note("b"))
	q.After(time.Minute, note("late"))
	ticks := 0
	q.Every(time.Second, func() bool { ticks++; return ticks < 3 })
	q.Run(10 * time.Second)
	is.Equal(ran, []string{"a", "b", "c"})
	is.Equal(ticks, 3)
	is.Equal(q.Now(), Epoch.Add(10*time.Second))
}

func TestSummarize(t *testing.T) {
	is.New(t).Equal(Summarize([]float64{3, 1, 8}), Summary{Mean: 4, Least: 1, Median: 3, Worst: 8})
}
