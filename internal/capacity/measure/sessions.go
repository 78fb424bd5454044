package measure

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/session"
)

func binding(i int) session.Binding {
	return session.Binding{
		Account: "account-0001", SessionID: fmt.Sprintf("0123456789abcdef-%08d", i),
		Model: "model-07", Version: "2026-12-01", Epoch: 16_000, IssuedAt: time.Now().UTC().Truncate(time.Millisecond),
	}
}

func (r *run) sessions() error {
	key := session.Key{ID: "2026-12", Secret: []byte("a secret of thirty-two bytes or so")}
	codec := session.NewCodec([]session.Key{key}, time.Hour, nil)
	b := binding(1)
	micros, err := r.cpuPer(10_000, func() error {
		_, err := codec.Open(codec.Mint(b), b.Account)
		return err
	})
	if err != nil {
		return err
	}
	r.constant(capacity.TokenCPU, unitCPU, "a token minted and opened", micros)
	r.constant(capacity.TokenBytes, unitBytes, "a token", float64(len(codec.Mint(b))))

	t := newTable()
	first := session.NewRegistry(session.Options{Table: t})
	const n = 5000
	if err := r.bindAll(first, n); err != nil {
		return err
	}
	r.constant(capacity.BindReads, "reads", "the first request of a session without a token", float64(t.gets.Load())/n)
	r.constant(capacity.BindCommits, "commits", "the same, alone", float64(t.commits.Load())/n)
	second := session.NewRegistry(session.Options{Table: t})
	kept := heapOf(func() any {
		err = r.bindAll(second, n)
		return second
	})
	r.constant(capacity.BindMemory, unitBytes, "a cached binding", kept/n)
	return err
}

func (r *run) bindAll(registry *session.Registry, n int) error {
	for i := range n {
		if _, _, err := registry.Bind(r.ctx, binding(i)); err != nil {
			return err
		}
	}
	return nil
}
