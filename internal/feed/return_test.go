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

// These tests start a whole fleet at once, in virtual time, against a store that answers
// a number of calls a second and turns the others away.

var errTurnedAway = errors.New("too many calls")

// busyStore is a store with a rate of calls.
type busyStore struct {
	table []Row
	// pageRows is the most rows of a page, perSecond the calls that are answered in each
	// second; a tenth of them at once.
	pageRows  int
	perSecond float64
	// rowBytes is the size of a row in an answer.
	rowBytes int

	mu    sync.Mutex
	calls int
	away  int
	bytes int
	// tokens are calls that may be answered now.
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

// take says whether the store answers a call now.
func (s *busyStore) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.perSecond/10, s.tokens+s.perSecond*now.Sub(s.at).Seconds())
	s.at = now
	s.calls++
	if s.tokens < 1 {
		s.away++
		return false
	}
	s.tokens--
	return true
}

// hostLink is a host's way to the store.
type hostLink struct {
	store *busyStore
	// bytesPerSecond is the link's rate.
	bytesPerSecond float64
}

func (l *hostLink) List(ctx context.Context, _, from string, received Received) (Page, error) {
	time.Sleep(storeAnswer)
	if !l.store.take() {
		return Page{}, errTurnedAway
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
	if !l.store.take() {
		return Page{}, errTurnedAway
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	received(1)
	return Page{Revision: since}, nil
}

// fullTable notes when a host has the whole table.
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

// returned is how long the hosts took to have the whole table, the slowest of them, and
// whether all had it within the span.
func returned(store *busyStore, hosts int, span time.Duration) (slowest time.Duration, all bool) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
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
	all = true
	for _, table := range tables {
		all = all && table.took > 0
		slowest = max(slowest, table.took)
	}
	return slowest, all
}

// Every host of a fleet that starts at once has a table of many pages soon, although the
// store turns some of their calls away: a page that fails is asked for again, the ones
// before it aren't.
func TestFleetReadsATableOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newBusyStore(3000, 50, 16000)
		slowest, all := returned(store, 302, 10*time.Second)
		t.Log("slowest", slowest, "calls", store.calls, "turned away", store.away, "bytes", store.bytes)
		is.True(all)
		is.True(slowest < 4*time.Second) // 18,120 pages take 1.1 s at the store's rate, some 1 s on the slow links
	})
}
