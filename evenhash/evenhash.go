// Package evenhash maps texts to numbers that are spread evenly, the same on all hosts: what
// belongs to whom, and who is in a share, is decided alike without a word between them.
package evenhash

import "hash/fnv"

// Sum is a number of 64 bits for the texts in their order.
func Sum(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// FNV's high bits depend little on the last bytes.
	return Mix(h.Sum64())
}

// Mix spreads the bits of a number evenly; different numbers stay different.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Point is a number from 0 up to 1 for the texts in their order.
func Point(parts ...string) float64 {
	return float64(Sum(parts...)>>11) / (1 << 53)
}
