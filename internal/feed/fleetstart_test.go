package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/storage"
)

// These tests start a whole fleet at once, in virtual time. The store answers a limited number
// of calls a second and rejects the others.

var errRateLimited = errors.New("too many calls")

// rateLimitedStore is a store that answers a limited number of calls a second and rejects the
// others.
type rateLimitedStore struct {
	table []Row
	// pageRows is the maximum number of rows in a page. callsPerSecond is the number of calls
	// that the store answers per second, of which a tenth may come at once.
	pageRows       int
	callsPerSecond float64
	// rowBytes is the size of a row in an answer, in bytes.
	rowBytes int

	mu       sync.Mutex
	calls    int
	rejected int
	bytes    int
	// tokens is the number of calls that the store may answer now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// storeLatency is the time that the store takes to answer a call.
const storeLatency = 4 * time.Millisecond

func newRateLimitedStore(rows, pageRows int, perSecond float64) *rateLimitedStore {
	s := &rateLimitedStore{pageRows: pageRows, callsPerSecond: perSecond, rowBytes: 320, tokens: perSecond / 10, refilledAt: time.Now()}
	for i := range rows {
		s.table = append(s.table, Row{Key: fmt.Sprintf("u%06d", i), Revision: storage.Revision(i + 1)})
	}
	return s
}

// allow reports whether the store answers a call now.
func (s *rateLimitedStore) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.callsPerSecond/10, s.tokens+s.callsPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	s.calls++
	if s.tokens < 1 {
		s.rejected++
		return false
	}
	s.tokens--
	return true
}

// hostLink is one host's access to the store, over a network link of limited bandwidth.
type hostLink struct {
	store *rateLimitedStore
	// bytesPerSecond is the bandwidth of the link.
	bytesPerSecond float64
}

func (l *hostLink) List(ctx context.Context, _, from string, received OnReceived) (Page, error) {
	time.Sleep(storeLatency)
	if !l.store.allow() {
		return Page{}, errRateLimited
	}
	page := Page{Revision: storage.Revision(len(l.store.table))}
	for _, row := range l.store.table {
		if row.Key < from {
			continue
		}
		if len(page.Rows) == l.store.pageRows {
			page.Truncated = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page, l.receive(ctx, len(page.Rows)*l.store.rowBytes, received)
}

// receive waits for as long as the link needs for an answer, and reports its parts.
func (l *hostLink) receive(ctx context.Context, bytes int, received OnReceived) error {
	const part = 16 << 10
	l.store.mu.Lock()
	l.store.bytes += bytes
	l.store.mu.Unlock()
	for ; bytes > 0; bytes -= part {
		n := min(bytes, part)
		select {
		case <-time.After(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))):
		case <-ctx.Done():
			return ctx.Err()
		}
		received(n)
	}
	return nil
}

func (l *hostLink) Changes(ctx context.Context, _ string, since storage.Revision, wait time.Duration, received OnReceived) (Page, error) {
	time.Sleep(storeLatency)
	if !l.store.allow() {
		return Page{}, errRateLimited
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	received(1)
	return Page{Revision: since}, nil
}

// loadTimer is a handler that records how long it took until a host had the whole table.
type loadTimer struct {
	ignoreChanges
	wantRows int
	started  time.Time
	took     time.Duration
}

type ignoreChanges struct{}

func (ignoreChanges) Change(Row) {}

func (l *loadTimer) Replace(rows []Row, _ storage.Revision) {
	if len(rows) == l.wantRows && l.took == 0 {
		l.took = time.Since(l.started)
	}
}

// startFleet starts the hosts at once and runs them until the timeout. It returns how long the
// slowest host took to have the whole table, and whether all hosts had it.
func startFleet(store *rateLimitedStore, hosts int, timeout time.Duration) (slowest time.Duration, allLoaded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	tables := make([]*loadTimer, hosts)
	var group sync.WaitGroup
	for i := range tables {
		table := &loadTimer{wantRows: len(store.table), started: began}
		tables[i] = table
		rate := 10e6 / 8.0 // bytes a second: links of 10 and 20 Mbit/s
		if i%2 == 0 {
			rate *= 2
		}
		group.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond)) // the processes start within 300 ms
			w := NewWatcher("upstreams", &hostLink{store, rate}, table, Options{}, zerolog.Nop())
			w.Run(ctx)
		})
	}
	group.Wait()
	allLoaded = true
	for _, table := range tables {
		allLoaded = allLoaded && table.took > 0
		slowest = max(slowest, table.took)
	}
	return slowest, allLoaded
}

// If a fleet starts at once, every host soon has a table of many pages, although the store
// rejects some calls: a host requests only the failed page again, not the previous ones.
func TestFleetReadsATableOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRateLimitedStore(3000, 50, 16000)
		slowest, allLoaded := startFleet(store, 302, 10*time.Second)
		t.Log("slowest", slowest, "calls", store.calls, "calls rejected", store.rejected, "bytes", store.bytes)
		is.True(allLoaded)
		is.True(slowest < 4*time.Second) // 18,120 pages take 1.1 s at the store's rate and about 1 s on the slow links
	})
}
