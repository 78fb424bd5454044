package quarantine

import "testing"

// BenchmarkDigest measures the computation of the digest of a request with a body of 40 kB,
// which every request waits for before it is sent.
func BenchmarkDigest(b *testing.B) {
	c := Content{Host: "api.example", Method: "POST", Target: "/reports/2f", Account: "acme", Body: make([]byte, 40<<10)}
	for b.Loop() {
		c.Digest()
	}
}

// BenchmarkRecordSurvival measures the work for an answered request without losses.
func BenchmarkRecordSurvival(b *testing.B) {
	t := NewTracker()
	n := uint64(0)
	for b.Loop() {
		n++
		t.RecordSurvival(digest(n), 0)
	}
}
