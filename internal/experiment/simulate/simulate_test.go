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
	var order []string
	record := func(s string) func() { return func() { order = append(order, s) } }
	q.After(2*time.Second, record("c"))
	q.After(time.Second, record("a"))
	q.After(time.Second, record("b"))
	q.After(time.Minute, record("late"))
	ticks := 0
	q.Every(time.Second, func() bool { ticks++; return ticks < 3 })
	q.Run(10 * time.Second)
	is.Equal(order, []string{"a", "b", "c"})
	is.Equal(ticks, 3)
	is.Equal(q.Now(), Epoch.Add(10*time.Second))
}

func TestSummarize(t *testing.T) {
	is.New(t).Equal(Summarize([]float64{3, 1, 8}), Summary{Mean: 4, Min: 1, Median: 3, Max: 8})
}

func TestTables(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	tables := NewTables(&text)
	tables.Section("Load", "A note.")
	tables.Header(1, "policy", "mean", "spread")
	runs := []float64{1, 3}
	values := Values(runs, func(x float64) float64 { return 10 * x })
	tables.Row("chain", FormatDeviation(values), FormatRange(values))
	is.NoErr(tables.Err())
	is.Equal(text.String(), `
### Load

A note.

| policy | mean | spread |
|---|---:|---:|
| chain | 20.0 ± 10.0 | 20 (10 to 30) |
`)
}

func TestTablesReturnTheFirstError(t *testing.T) {
	is := is.New(t)
	read, write := io.Pipe()
	is.NoErr(read.Close())
	tables := NewTables(write)
	tables.Row("a")
	tables.Row("b")
	is.Equal(tables.Err(), io.ErrClosedPipe)
}
