package simulate

import "sync"

// parallel is how many runs go on at once.
const parallel = 4

// Seeds runs f for each seed from 0 to n-1, several at once, and returns the
// results in the order of the seeds.
func Seeds[T any](n int, f func(seed int) T) []T {
	results := make([]T, n)
	slots := make(chan struct{}, parallel)
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
