package manifest_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/quetzalweir/quetzalweir/manifest"
)

func accountKey(i int) string { return fmt.Sprintf("key-%d", i) }

func accountDigest(i int) string {
	sum := sha256.Sum256([]byte(accountKey(i)))
	return hex.EncodeToString(sum[:])
}

// BenchmarkLoad measures the cost of parsing and compiling a new manifest on a
// host. Its memory metrics show the growth by accounts and versions: kept-B is the
// memory of the document and the policy, policy-B is the memory of the policy alone.
func BenchmarkLoad(b *testing.B) {
	for _, size := range []struct{ accounts, models, versions int }{
		{10, 4, 4}, {100, 16, 4}, {1000, 16, 4}, {10000, 16, 4}, {1000, 16, 16}, {1000, 64, 16},
	} {
		b.Run(fmt.Sprintf("accounts=%d/models=%d/versions=%d", size.accounts, size.models, size.versions), func(b *testing.B) {
			data := manifest.Encode(sizedDocument(size.accounts, size.models, size.versions))
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				parseAndCompile(b, data)
			}
			before := heapBytes()
			doc, _ := manifest.Parse(data)
			parsed := heapBytes()
			policy := manifest.Compile(doc, 1, "")
			compiled := heapBytes()
			b.ReportMetric(float64(compiled-before), "kept-B")
			b.ReportMetric(float64(compiled-parsed), "policy-B")
			b.ReportMetric(float64(len(data)), "text-B")
			runtime.KeepAlive(policy)
		})
	}
}

func parseAndCompile(b *testing.B, data []byte) *manifest.Policy {
	doc, err := manifest.Parse(data)
	if err != nil {
		b.Fatal(err)
	}
	return manifest.Compile(doc, 1, "")
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkAccountByKey(b *testing.B) {
	for _, accounts := range []int{10, 10000} {
		p := manifest.Compile(sizedDocument(accounts, 16, 4), 1, "")
		for _, desc := range []string{"known", "unknown"} {
			key := accountKey(accounts / 2)
			if desc == "unknown" {
				key += "x"
			}
			b.Run(fmt.Sprintf("accounts=%d/%s", accounts, desc), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := p.AccountByKey(key); ok != (desc == "known") {
						b.Fatal("wrong account")
					}
				}
			})
		}
	}
}

func BenchmarkPermitted(b *testing.B) {
	for _, accounts := range []int{10, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			p := manifest.Compile(sizedDocument(accounts, 16, 4), 1, "")
			account := p.Document.Accounts[accounts/2]
			b.ReportAllocs()
			for b.Loop() {
				if len(p.PermittedVersions(account.Name, account.Models[0].Model)) == 0 {
					b.Fatal("no version")
				}
			}
		})
	}
}
