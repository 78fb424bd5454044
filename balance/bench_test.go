package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// benchPool returns a pool of n engines, each with a part of one prompt's blocks in
// the prefix index, and a request with this prompt.
func benchPool(n int) (*Pool, *Request) {
	pool := NewPool(Options{Host: "entry-1", Zone: "a", Subset: Subset{Min: n, Max: n}})
	var list []storage.Host
	for i := range n {
		list = append(list, newHost(fmt.Sprintf("h%05d", i)))
	}
	pool.Update(list)
	hashes := make([]uint64, 80)
	for i := range hashes {
		hashes[i] = uint64(i)
	}
	for i, h := range list {
		pool.Report(h.ID, newLoad(i%10), time.Now())
		pool.Index().RecordSent(h.ID, hashes[:i%80])
	}
	return pool, &Request{Model: "m", Version: "1", SessionID: "s", PrefixHashes: hashes}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 18, 64, 512, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool, req := benchPool(n)
			b.ReportAllocs()
			for b.Loop() {
				pool.Choose(req)
			}
		})
	}
}

// BenchmarkChooseOfManyPools selects among as many upstreams as one host sends to
// at the design size: 24 in each of 20 model pools, one of which has the requested
// version loaded.
func BenchmarkChooseOfManyPools(b *testing.B) {
	const pools = 20
	pool, req := benchPool(pools * DefaultSubsetMin)
	for i, u := range pool.View() {
		report := newLoad(0)
		report.Versions = []string{fmt.Sprintf("m%d", i%pools)}
		pool.Report(u.ID, report, time.Now())
	}
	req.Model = "m1"
	for b.Loop() {
		pool.Choose(req)
	}
}

func BenchmarkChooseParallel18(b *testing.B) {
	pool, req := benchPool(18)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			choice, _ := pool.Choose(req)
			pool.Begin(choice.Upstream.ID)
			pool.End(choice.Upstream.ID, Outcome{TimeToFirstToken: time.Millisecond})
		}
	})
}

func BenchmarkUpdate12000(b *testing.B) {
	pool := NewPool(Options{Host: "entry-1", Zone: "zone-1"})
	list := largeList(12_000, 32, 20)
	b.ReportAllocs()
	for b.Loop() {
		pool.Update(list)
	}
}

func BenchmarkPrefixHashes16KB(b *testing.B) {
	text := string(make([]byte, 16<<10))
	for b.Loop() {
		PrefixHashes(text)
	}
}
