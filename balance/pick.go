package balance

import "math/rand/v2"

// PowerOfTwo samples two distinct candidates at random, or the only one.
// Sampling keeps hosts that store the same outdated loads from all selecting the
// same upstream.
type PowerOfTwo struct{}

// Sample implements Picker.
func (PowerOfTwo) Sample(n int, rnd *rand.Rand) []int {
	first := rnd.IntN(n)
	if n == 1 {
		return []int{first}
	}
	second := rnd.IntN(n - 1)
	if second >= first {
		second++
	}
	return []int{first, second}
}
