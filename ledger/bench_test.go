package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// localPeer is a Replicator in the same process, without a network.
type localPeer struct{ copies *CopyStore }

func (p localPeer) Replicate(_ context.Context, owner string, seq uint64, bills []Bill) (string, error) {
	return "peer", p.copies.Store(owner, seq, bills)
}

func (p localPeer) Release(_ context.Context, _, owner string, upTo uint64) error {
	p.copies.Release(owner, upTo)
	return nil
}

func BenchmarkRecord(b *testing.B) {
	table, objects := memory.NewTable(), memory.NewObjects()
	peer := New(Options{Table: table, Objects: objects, Host: "h1"})
	copies := NewCopyStore(peer, CopyStoreOptions{MaxBills: 1 << 30})
	l := New(Options{Table: table, Objects: objects, Host: "h0", Replicator: localPeer{copies}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	bill := testBill("1")
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			// ErrAtRisk, which can occur on a busy machine, is ignored.
			_ = l.Record(ctx, bill)
		}
	})
	b.StopTimer()
	cancel()
	<-done
}

// BenchmarkEncode reports the size of messages and segments, in bytes per bill.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{1, 32, 320, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bills := manyBills(n)
			size := 0
			for b.Loop() {
				data, err := EncodeBills(bills)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/bill")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/bill")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{1, 320} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := EncodeBills(manyBills(n))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := DecodeBills(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/bill")
		})
	}
}

// BenchmarkFlush measures a flush of 320 bills. One of 440 hosts that together
// serve 14,000 requests per second has about that many bills in ten seconds.
func BenchmarkFlush(b *testing.B) {
	table, objects := memory.NewTable(), memory.NewObjects()
	l := New(Options{Table: table, Objects: objects, Host: "h0"})
	bills := manyBills(320)
	for b.Loop() {
		l.addAll(bills)
		if err := l.Flush(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCompact measures the compaction of one minute with 256 segments of
// 320 bills each, on a table in the same process.
func BenchmarkCompact(b *testing.B) {
	const segments, size = 256, 320
	bills := manyBills(size)
	for b.Loop() {
		b.StopTimer()
		table, objects := memory.NewTable(), memory.NewObjects()
		l := New(Options{Table: table, Objects: objects, Host: "h0"})
		for range segments {
			l.addAll(bills)
			if err := l.Flush(context.Background()); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		if err := Compact(context.Background(), table, objects, time.Now().Add(time.Hour)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*segments*size), "ns/bill")
}

// BenchmarkMemory reports the memory that an unwritten bill takes, in bytes.
func BenchmarkMemory(b *testing.B) {
	const n = 20_000
	for b.Loop() {
		l := New(Options{Host: "h0"})
		before := heap()
		for i := range n {
			l.add(distinctBill(i))
		}
		l.mu.Lock()
		l.drainShards()
		l.mu.Unlock()
		b.ReportMetric(float64(heap()-before)/n, "B/bill")
		runtime.KeepAlive(l)
	}
}

// BenchmarkCopyMemory reports the memory that a copy stored for a peer takes, in
// bytes.
func BenchmarkCopyMemory(b *testing.B) {
	const n = 20_000
	for b.Loop() {
		c := NewCopyStore(New(Options{Host: "h1"}), CopyStoreOptions{})
		before := heap()
		for i := range n {
			if err := c.Store("h0/x", uint64(i+1), []Bill{distinctBill(i)}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heap()-before)/n, "B/bill")
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func manyBills(n int) []Bill {
	bills := make([]Bill, n)
	for i := range bills {
		bills[i] = distinctBill(i)
	}
	return bills
}

// distinctBill returns a bill whose ID has the form of a UUID and whose token
// counts and strings depend on i.
func distinctBill(i int) Bill {
	id := fmt.Sprintf("%08x-%04x-4%03x-8%03x-%012x", uint32(i)*2654435761, i*40503&0xffff, i*31&0xfff, i*17&0xfff, uint64(i)*11400714819323198485>>16)
	b := testBill(id)
	b.PromptTokens += i * 37 % 900
	b.Steps[0].PromptTokens = b.PromptTokens
	b.Upstream = fmt.Sprintf("engine-%05d", i*7%12000)
	b.Steps[0].Upstream = b.Upstream
	return b
}
