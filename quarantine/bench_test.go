package quarantine

import "testing"

// BenchmarkDigest is what a request of 40 kB costs before it is sent.
func BenchmarkDigest(b *testing.B) {
	c := Content{Host: "api.example", Method: "POST", Target: "/reports/2f", Account: "acme", Body: make([]byte, 40<<10)}
	for b.Loop() {
		c.Digest()
	}
}

// BenchmarkSurvive is what the answer of a request costs that nothing is held against.
func BenchmarkSurvive(b *testing.B) {
	t := NewTracker()
	n := uint64(0)
	for b.Loop() {
		n++
		t.Survive(digest(n), 0)
	}
}
