package config_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage"
)

// countedObjects counts the bytes that are read. If replaceDelta isn't nil, it gets each
// delta that is read and returns what Read returns instead.
type countedObjects struct {
	storage.Objects
	bytesRead    atomic.Int64
	replaceDelta func(data []byte) ([]byte, error)
}

func (c *countedObjects) Read(ctx context.Context, name string) ([]byte, error) {
	data, err := c.Objects.Read(ctx, name)
	if c.replaceDelta != nil && err == nil && strings.HasPrefix(name, "manifest-delta/") {
		data, err = c.replaceDelta(data)
	}
	c.bytesRead.Add(int64(len(data)))
	return data, err
}

// A host that has the parent in force must read only the delta. If the delta can't be
// used, it must read the body.
func TestHostReadsDeltas(t *testing.T) {
	const accounts = 500
	for _, tc := range []struct {
		desc         string
		replaceDelta func([]byte) ([]byte, error)
		wantFullBody bool
	}{
		{"delta", nil, false},
		{"no delta", func([]byte) ([]byte, error) { return nil, storage.ErrNotFound }, true},
		{"corrupt delta", func(data []byte) ([]byte, error) { return data[:len(data)-2], nil }, true},
		{"delta to another document", func([]byte) ([]byte, error) { return []byte(`{"steps":[{"to":1}]}`), nil }, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, is *is.I, f *fixture) {
				doc, err := manifest.Parse(document("", "1"))
				is.NoErr(err)
				for i := range accounts {
					doc.Accounts = append(doc.Accounts, manifest.Account{
						Name: fmt.Sprintf("account-%d", i), KeySHA256: []string{fmt.Sprintf("%064x", i)},
						Classes: []string{"normal"}, Weight: 1,
					})
				}
				objects := &countedObjects{Objects: f.objects, replaceDelta: tc.replaceDelta}
				w := run(t, config.WatcherOptions{Store: config.NewStore(f.table, objects)})
				first, err := f.store.Submit(t.Context(), manifest.Encode(doc), "1")
				is.NoErr(err)
				settle()
				whole := objects.bytesRead.Swap(0)

				doc.Parent, doc.Accounts[accounts/2].Weight = first.Head.Digest, 2
				second, err := f.store.Submit(t.Context(), manifest.Encode(doc), "2")
				is.NoErr(err)
				settle()
				is.Equal(w.Current().Digest, second.Head.Digest)
				change := objects.bytesRead.Load()
				is.Equal(change >= whole, tc.wantFullBody)
				t.Logf("whole manifest: %d bytes, one delta: %d bytes", whole, change)
			})
		})
	}
}
