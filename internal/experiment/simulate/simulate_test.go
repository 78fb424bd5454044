package simulate

import (
	"io"
	"strings"
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

func TestTables(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	tables := NewTables(&text)
	tables.Title("Load", "A note.")
	tables.Head(1, "policy", "mean", "spread")
	runs := []float64{1, 3}
	values := Values(runs, func(x float64) float64 { return 10 * x })
	tables.Row("chain", Deviation(values), Spread(values))
	is.NoErr(tables.Err())
	is.Equal(text.String(), `
### Load

A note.

| policy | mean | spread |
|---|---:|---:|
| chain | 20.0 ± 10.0 | 20 (10 to 30) |
`)
}

func TestTablesKeepTheFirstError(t *testing.T) {
	is := is.New(t)
	read, write := io.Pipe()
	is.NoErr(read.Close())
	tables := NewTables(write)
	tables.Row("a")
	tables.Row("b")
	is.Equal(tables.Err(), io.ErrClosedPipe)
}
