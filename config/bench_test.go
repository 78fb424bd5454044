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

// BenchmarkCheck measures the cost of the freshness check, which each request pays.
func BenchmarkCheck(b *testing.B) {
	f := newFixture()
	f.submit(b, config.Head{}, "1")
	w := config.NewWatcher(config.WatcherOptions{Store: f.store, FreshnessBound: time.Hour})
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

// BenchmarkSubmit reports the table reads and commits per accepted manifest.
func BenchmarkSubmit(b *testing.B) {
	f := newFixture()
	head := config.Head{}
	n := 0
	for b.Loop() {
		n++
		head = f.submit(b, head, fmt.Sprint(n))
	}
	counts := f.table.Counts()
	b.ReportMetric(float64(counts.Gets)/float64(n), "reads/op")
	b.ReportMetric(float64(counts.Commits)/float64(n), "commits/op")
}

// BenchmarkReportConfirmations measures ReportConfirmations for different numbers of hosts.
func BenchmarkReportConfirmations(b *testing.B) {
	for _, hosts := range []int{7, 440} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := newFixture()
			head := f.submit(b, config.Head{}, "1")
			var names []string
			for i := range hosts {
				names = append(names, fmt.Sprintf("host-%03d", i))
				if err := f.store.Confirm(context.Background(), names[i], head); err != nil {
					b.Fatal(err)
				}
			}
			before := f.table.Counts().Lists
			for b.Loop() {
				report, err := f.store.ReportConfirmations(context.Background(), head, names)
				if err != nil || len(report.Confirmed) != hosts {
					b.Fatal(report, err)
				}
			}
			b.ReportMetric(float64(f.table.Counts().Lists-before)/float64(b.N), "lists/op")
		})
	}
}
