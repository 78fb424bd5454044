package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// objects counts the bytes read from an object store in memory.
type objects struct {
	*memory.Objects
	read atomic.Int64
}

func newObjects() *objects { return &objects{Objects: memory.NewObjects()} }

// Read implements storage.Objects.
func (o *objects) Read(ctx context.Context, name string) ([]byte, error) {
	data, err := o.Objects.Read(ctx, name)
	o.read.Add(int64(len(data)))
	return data, err
}

// document has accounts with 8 permissions each, and 22 models of 4 versions.
func document(accounts int) *manifest.Document {
	const models, versions, permissions = 22, 4, 8
	doc := &manifest.Document{
		Format:   manifest.Format,
		Build:    "measure",
		Sessions: manifest.Sessions{TTLSeconds: 3600, OnWithdrawn: manifest.Rebind},
		Classes:  []manifest.Class{{Name: "questions", DeadlineMs: 30_000}},
	}
	for i := range models {
		m := manifest.Model{Name: fmt.Sprintf("model-%02d", i)}
		for j := range versions {
			m.Versions = append(m.Versions, manifest.Version{Name: fmt.Sprintf("v%d", j), State: manifest.RollingOut})
		}
		m.Versions[0].State, m.Versions[0].Share = manifest.Serving, 100
		doc.Models = append(doc.Models, m)
	}
	for i := range accounts {
		key := sha256.Sum256(fmt.Append(nil, "key-", i))
		a := manifest.Account{
			Name:              fmt.Sprintf("account-%05d", i),
			KeySHA256:         []string{hex.EncodeToString(key[:])},
			Classes:           []string{"questions"},
			RequestsPerSecond: 100,
			Burst:             100,
			Weight:            1,
		}
		for j := range permissions {
			p := manifest.Permission{Model: doc.Models[(i+j)%models].Name}
			if i%3 == 0 {
				p.Versions = []string{"v0"}
			}
			a.Models = append(a.Models, p)
		}
		doc.Accounts = append(doc.Accounts, a)
	}
	return doc
}

func (r *run) manifest() error {
	var cpu, kept, delta []capacity.Point
	for _, accounts := range []int{10, 100, 1000, 4000} {
		x := float64(accounts)
		store := newObjects()
		c := config.NewStore(memory.New(), store)
		doc := document(accounts)
		first, err := c.Submit(r.ctx, manifest.Encode(doc), "first")
		if err != nil {
			return err
		}
		doc.Parent = first.Head.Digest
		doc.Accounts[accounts/2].Weight = 2
		second, err := c.Submit(r.ctx, manifest.Encode(doc), "second")
		if err != nil {
			return err
		}
		current, err := c.Load(r.ctx, first.Head)
		if err != nil {
			return err
		}
		load := func() error {
			_, err := c.LoadFrom(r.ctx, second.Head, current)
			return err
		}
		before := store.read.Load()
		if err := load(); err != nil {
			return err
		}
		delta = append(delta, capacity.Point{X: x, Y: float64(store.read.Load() - before)})
		micros, err := r.cpuPer(max(5, 2000/accounts), load)
		if err != nil {
			return err
		}
		cpu = append(cpu, capacity.Point{X: x, Y: micros})
		kept = append(kept, capacity.Point{X: x, Y: heapOf(func() any {
			policy, _ := c.Load(r.ctx, first.Head)
			return policy
		})})
	}
	const note = "22 models of 4 versions, 8 permissions an account"
	r.line(capacity.LoadCPU, unitCPU, "accounts", "delta applied, digest, parse and compile; "+note, cpu...)
	r.line(capacity.LoadMemory, unitBytes, "accounts", "document and compiled policy; "+note, kept...)
	r.line(capacity.DeltaBytes, unitBytes, "accounts", "the delta of one changed account, without the call", delta...)
	return nil
}
