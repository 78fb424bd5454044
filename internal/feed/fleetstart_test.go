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

// busyStore is a store with a limited rate of calls.
type busyStore struct {
	table []Row
	// pageRows is the maximum number of rows in a page. perSecond is the number of calls that
	// are answered in each second; a tenth of them may come at once.
	pageRows  int
	perSecond float64
	// rowBytes is the size of a row in an answer.
	rowBytes int

	mu       sync.Mutex
	calls    int
	rejected int
	bytes    int
	// tokens is the number of calls that may be answered now.
	tokens float64
	at     time.Time
}

// storeAnswer is the time that the store takes for an answer.
const storeAnswer = 4 * time.Millisecond

func newBusyStore(rows, pageRows int, perSecond float64) *busyStore {
	s := &busyStore{pageRows: pageRows, perSecond: perSecond, rowBytes: 320, tokens: perSecond / 10, at: time.Now()}
	for i := range rows {
		s.table = append(s.table, Row{Key: fmt.Sprintf("u%06d", i), Revision: storage.Revision(i + 1)})
	}
	return s
}

// allow reports whether the store answers a call now.
func (s *busyStore) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.perSecond/10, s.tokens+s.perSecond*now.Sub(s.at).Seconds())
	s.at = now
	s.calls++
	if s.tokens < 1 {
		s.rejected++
		return false
	}
	s.tokens--
	return true
}

// hostLink is a host's network link to the store.
type hostLink struct {
	store *busyStore
	// bytesPerSecond is the link's bandwidth.
	bytesPerSecond float64
}

func (l *hostLink) List(ctx context.Context, _, from string, received Received) (Page, error) {
	time.Sleep(storeAnswer)
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

// receive takes the time that the link needs for an answer.
func (l *hostLink) receive(ctx context.Context, bytes int, received Received) error {
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

func (l *hostLink) Changes(ctx context.Context, _ string, since storage.Revision, wait time.Duration, received Received) (Page, error) {
	time.Sleep(storeAnswer)
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

// fullTable records when a host has the whole table.
type fullTable struct {
	ignoreChanges
	rows    int
	started time.Time
	took    time.Duration
}

type ignoreChanges struct{}

func (ignoreChanges) Change(Row) {}

func (f *fullTable) Replace(rows []Row, _ storage.Revision) {
	if len(rows) == f.rows && f.took == 0 {
		f.took = time.Since(f.started)
	}
}

// startFleet starts the hosts, and returns how long the slowest took to have the whole table,
// and whether all had it before the timeout.
func startFleet(store *busyStore, hosts int, timeout time.Duration) (slowest time.Duration, allLoaded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	tables := make([]*fullTable, hosts)
	var group sync.WaitGroup
	for i := range tables {
		table := &fullTable{rows: len(store.table), started: began}
		tables[i] = table
		rate := 10e6 / 8.0 // bytes a second: links of 10 and 20 Mbit/s
		if i%2 == 0 {
			rate *= 2
		}
		group.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond)) // processes start within this
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

// Every host of a fleet that starts at once soon has a table of many pages, although the store
// rejects some calls: only a page that fails is requested again, not the previous ones.
func TestFleetReadsATableOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newBusyStore(3000, 50, 16000)
		slowest, allLoaded := startFleet(store, 302, 10*time.Second)
		t.Log("slowest", slowest, "calls", store.calls, "calls rejected", store.rejected, "bytes", store.bytes)
		is.True(allLoaded)
		is.True(slowest < 4*time.Second) // 18,120 pages take 1.1 s at the store's rate, some 1 s on the slow links
	})
}
