package simulate

import "sync"

// maxParallelRuns is the number of runs that execute concurrently.
const maxParallelRuns = 4

// RunSeeds calls f for each seed from 0 to n-1, several concurrently, and
// returns the results in the order of the seeds.
func RunSeeds[T any](n int, f func(seed int) T) []T {
	results := make([]T, n)
	slots := make(chan struct{}, maxParallelRuns)
	var wg sync.WaitGroup
	for seed := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[seed] = f(seed)
		})
	}
	wg.Wait()
	return results
}
