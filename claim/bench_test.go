package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/claim"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/groupcommit"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// BenchmarkClaims measures claims that are acquired and finished with a result of
// 500 bytes, through one group committer that makes 20 commits per second to a
// table with a latency of 4 ms. It reports claims per second, commits and table reads per
// claim, and the mean latency of Acquire.
func BenchmarkClaims(b *testing.B) {
	for _, repeatEvery := range []int{0, 100, 10} {
		for _, concurrency := range []int{1, 10, 100, 1000} {
			name := fmt.Sprintf("concurrency=%d/repeatEvery=%d", concurrency, repeatEvery)
			b.Run(name, func(b *testing.B) { benchmarkClaims(b, concurrency, repeatEvery) })
		}
	}
}

func benchmarkClaims(b *testing.B, concurrency, repeatEvery int) {
	table := faulty.NewTable(memory.NewTable())
	table.SetDelay(4 * time.Millisecond)
	committer := groupcommit.New(table, groupcommit.Options{})
	defer func() { _ = committer.Close() }()
	store := claim.NewStore(claim.Options{Table: committer, Objects: memory.NewObjects(), Host: "host-a"})
	var next, acquireNanos atomic.Int64
	var workers sync.WaitGroup
	b.ResetTimer()
	for range concurrency {
		workers.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				acquireNanos.Add(int64(benchmarkClaim(b, store, keyNumber(n, repeatEvery))))
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	count := float64(b.N)
	b.ReportMetric(count/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(table.Counts().Commits)/count, "commits/claim")
	b.ReportMetric(float64(table.Counts().Gets)/count, "reads/claim")
	b.ReportMetric(float64(acquireNanos.Load())/count/1e6, "acquire-ms")
}

// keyNumber returns the request key of request n, as a number. It makes every
// repeatEvery-th request a duplicate of request 1; 0 makes none a duplicate.
func keyNumber(n int64, repeatEvery int) int64 {
	if repeatEvery > 0 && n%int64(repeatEvery) == 0 {
		return 1
	}
	return n
}

func benchmarkClaim(b *testing.B, store *claim.Store, number int64) time.Duration {
	ctx := context.Background()
	start := time.Now()
	c, err := store.Acquire(ctx, claim.Key{RequestKey: fmt.Sprint(number)}, testDigest, "req")
	latency := time.Since(start)
	var done *claim.DoneError
	var inFlight *claim.InFlightError
	if errors.As(err, &done) || errors.As(err, &inFlight) {
		return latency
	}
	if err == nil {
		err = c.Finish(ctx, resultOfSize(500))
	}
	if err != nil {
		b.Error(err)
	}
	return latency
}
