package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// restoredTable is a table of a store that is restored from a backup whenever era increases.
type restoredTable struct{ era atomic.Uint64 }

func (r *restoredTable) page() feed.Page {
	return feed.Page{Revision: storage.NewRevision(r.era.Load(), 5)}
}

func (r *restoredTable) List(context.Context, string, string, feed.OnReceived) (feed.Page, error) {
	return r.page(), nil
}

func (r *restoredTable) Changes(ctx context.Context, _ string, since storage.Revision, _ time.Duration, _ feed.OnReceived) (feed.Page, error) {
	time.Sleep(100 * time.Millisecond)
	if since.Era() < r.era.Load() {
		return feed.Page{}, feed.ErrHistoryLost
	}
	return r.page(), ctx.Err()
}

// If the restored backup lacks the hosts' key, only the seeds write it again, and only once.
func TestKeyIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, keys := &restoredTable{}, memory.NewTable()
		key, err := sharedKey(t.Context(), keys, true)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, seed := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.9"} {
			w := feed.NewWatcher("t", source, discardHandler{}, feed.Options{}, zerolog.Nop())
			m := New(Options{
				Host: seed, Listen: seed, Seeds: []string{"10.0.0.1", "10.0.0.2"}, Keys: keys, Tables: map[string]*feed.Watcher{"t": w},
			}, zerolog.Nop())
			go w.Run(ctx)
			go m.restoreKey(ctx, key)
		}
		time.Sleep(2 * keyRetryInterval)
		_, err = keys.Commit(ctx, storage.Txn{Deletes: []string{keyRow}})
		is.NoErr(err)
		time.Sleep(2 * keyRetryInterval)
		_, err = keys.Get(ctx, keyRow)
		is.True(err != nil) // the seeds write it again only after a change of era
		source.era.Store(1)
		time.Sleep(3 * keyRetryInterval)
		row, err := keys.Get(ctx, keyRow)
		is.NoErr(err)
		is.Equal(row.Value, key.Secret)
		cancel()
		time.Sleep(time.Second)
	})
}
