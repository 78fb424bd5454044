package quota

import (
	"context"

	"github.com/quetzalweir/quetzalweir/storage"
)

func (l *Limiter) get(ctx context.Context, key string) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.Timeout)
	defer cancel()
	return l.opts.Table.Get(ctx, key)
}

func (l *Limiter) list(ctx context.Context, prefix string) ([]storage.Row, error) {
	var all []storage.Row
	after := ""
	for {
		page, err := l.listPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < listPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func (l *Limiter) listPage(ctx context.Context, prefix, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.Timeout)
	defer cancel()
	return l.opts.Table.List(ctx, prefix, after, listPageSize)
}

func (l *Limiter) commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.Timeout)
	defer cancel()
	return l.opts.Table.Commit(ctx, txn)
}
