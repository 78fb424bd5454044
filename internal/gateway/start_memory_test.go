package gateway

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// pagedStore is a store whose table begins empty and grows by a page with each change.
type pagedStore struct {
	pages chan []feed.Row
}

func (s *pagedStore) List(context.Context, string, string, feed.OnReceived) (feed.Page, error) {
	return feed.Page{}, nil
}

func (s *pagedStore) Changes(ctx context.Context, _ string, since storage.Revision, _ time.Duration, _ feed.OnReceived) (feed.Page, error) {
	select {
	case rows := <-s.pages:
		return feed.Page{Rows: rows, Revision: rows[len(rows)-1].Revision}, nil
	case <-ctx.Done():
		return feed.Page{Revision: since}, ctx.Err()
	}
}

// emptyStore is a store whose table is empty and never changes.
type emptyStore struct{}

func (emptyStore) List(context.Context, string, string, feed.OnReceived) (feed.Page, error) {
	return feed.Page{}, nil
}

func (emptyStore) Changes(ctx context.Context, _ string, _ storage.Revision, _ time.Duration, _ feed.OnReceived) (feed.Page, error) {
	<-ctx.Done()
	return feed.Page{}, ctx.Err()
}

type discardRows struct{}

func (discardRows) Replace([]feed.Row, storage.Revision) {}
func (discardRows) Change(feed.Row)                      {}

// maxControlMemory is the memory that a host may use for the control plane, in bytes; a quarter of
// it is for memory outside the heap.
const maxControlMemory = 32 << 20

// A host must stay within its memory limit while it receives the entries of all upstreams page by
// page. With 10,000 upstreams, hosts once used 42 MB for copies of rows, for tables that were
// compressed again with each page, and for decompressed bytes.
func TestMemoryOfAHostThatReceivesAllUpstreams(t *testing.T) {
	if testing.CoverMode() != "" || raceEnabled {
		t.Skip("the instrumentation distorts the heap size")
	}
	is := is.New(t)
	const upstreams, page = 12_000, 400
	tg := newTestGateway(t, testDocument())
	store := &pagedStore{pages: make(chan []feed.Row)}
	options := feed.Options{Relays: func() bool { return true }, BatchDelay: time.Millisecond}
	hub := feed.NewWatcher("upstreams", store, discardRows{}, options, zerolog.Nop())
	host := feed.NewWatcher("upstreams", emptyStore{}, newUpstreamTableHandler(tg.gateway), feed.Options{FirstUpdateWait: 5 * time.Second}, zerolog.Nop())
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	running.Go(func() { hub.Run(ctx) })
	running.Go(func() { host.Run(ctx) })

	table := entryRows(upstreams)
	heapInUse()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := 0; i < upstreams; i += page {
		store.pages <- table[i : i+page]
		last := table[i+page-1].Revision
		eventually(t, "the hub has the page", func() bool { return hub.Revision() >= last })
		update, ok := hub.UpdateSince(host.Revision(), false, 1<<20)
		is.True(ok && update.Complete)
		host.Offer(update, time.Now())
		eventually(t, "the host has the page", func() bool { return host.Revision() >= last })
	}
	runtime.ReadMemStats(&after)
	grown := int(after.HeapSys-after.HeapReleased) - int(before.HeapSys-before.HeapReleased)
	t.Logf("the heap of hub and host grew by %d kB", grown>>10)
	is.True(grown <= maxControlMemory*3/4)
	is.Equal(len(tg.gateway.fleet.shard("svc").members), upstreams)
	runtime.KeepAlive(table)
	stop()
	running.Wait()
}
