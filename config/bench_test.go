package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/config/configtest"
)

// BenchmarkCheck is what each request pays for the freshness rule.
func BenchmarkCheck(b *testing.B) {
	bench := newBench()
	bench.submit(b, config.Head{}, "1")
	w := config.NewWatcher(config.WatcherOptions{Store: bench.store, Bound: time.Hour})
	configtest.Run(b, w)
	for errors.Is(w.Check(), config.ErrNoManifest) {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := w.Check(); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSubmit reports the table calls of one accepted manifest.
func BenchmarkSubmit(b *testing.B) {
	bench := newBench()
	head := config.Head{}
	n := 0
	for b.Loop() {
		n++
		head = bench.submit(b, head, fmt.Sprint(n))
	}
	counts := bench.table.Counts()
	b.ReportMetric(float64(counts.Gets)/float64(n), "reads/op")
	b.ReportMetric(float64(counts.Commits)/float64(n), "commits/op")
}

// BenchmarkReport reads the confirmations of as many hosts.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{7, 440} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			bench := newBench()
			head := bench.submit(b, config.Head{}, "1")
			var names []string
			for i := range hosts {
				names = append(names, fmt.Sprintf("host-%03d", i))
				if err := bench.store.Confirm(context.Background(), names[i], head); err != nil {
					b.Fatal(err)
				}
			}
			before := bench.table.Counts().Lists
			for b.Loop() {
				report, err := bench.store.Report(context.Background(), head, names)
				if err != nil || len(report.Confirmed) != hosts {
					b.Fatal(report, err)
				}
			}
			b.ReportMetric(float64(bench.table.Counts().Lists-before)/float64(b.N), "lists/op")
		})
	}
}
