// Package evenhash hashes strings to uniformly distributed numbers that are the same on all
// hosts. Hosts thus agree, without communication, on which host owns an object and on which
// requests belong to a given percentage.
package evenhash

import "hash/fnv"

// Sum returns a 64-bit hash of the strings in their order.
func Sum(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// FNV's high bits depend little on the last bytes; Mix spreads these over all bits.
	return Mix(h.Sum64())
}

// Mix spreads the bits of a number; it maps different numbers to different ones.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Point returns a hash of the strings in their order as a number in [0, 1).
func Point(parts ...string) float64 {
	return float64(Sum(parts...)>>11) / (1 << 53)
}
