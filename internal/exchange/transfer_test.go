package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// documentSource is a store with one row, whose content a test changes.
type documentSource struct{ rows chan feed.Row }

func (s *documentSource) List(context.Context, string, string, feed.OnReceived) (feed.Page, error) {
	row := <-s.rows
	return feed.Page{Rows: []feed.Row{row}, Revision: row.Revision}, nil
}

func (s *documentSource) Changes(ctx context.Context, _ string, _ storage.Revision, _ time.Duration, _ feed.OnReceived) (feed.Page, error) {
	select {
	case row := <-s.rows:
		return feed.Page{Rows: []feed.Row{row}, Revision: row.Revision}, nil
	case <-ctx.Done():
		return feed.Page{}, ctx.Err()
	}
}

// incompressible returns a row of the size in bytes that can't be compressed.
func incompressible(revision storage.Revision, size int) feed.Row {
	random, data := rand.New(rand.NewPCG(uint64(revision), 1)), make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return feed.Row{Key: "document", Revision: revision, Data: data}
}

// lastRow is a handler that records the last row.
type lastRow struct{ row feed.Row }

func (l *lastRow) Replace(rows []feed.Row, _ storage.Revision) { l.row = rows[len(rows)-1] }
func (l *lastRow) Change(row feed.Row)                         { l.row = row }

// hubWith starts a hub on a slow link whose table has the rows, one after the other.
func hubWith(t *testing.T, rows ...feed.Row) (*hub, *documentSource) {
	t.Helper()
	source := &documentSource{rows: make(chan feed.Row, 10)}
	for _, row := range rows {
		source.rows <- row
	}
	w := feed.NewWatcher("t", source, &lastRow{}, feed.Options{BatchDelay: time.Millisecond}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	awaitRevision(t, w, rows[len(rows)-1].Revision)
	return newHub(Options{Host: "hub", Zone: "z", LinkMbps: minLinkMbps, Tables: map[string]*feed.Watcher{"t": w}}, zerolog.Nop()), source
}

func awaitRevision(t *testing.T, w *feed.Watcher, revision storage.Revision) {
	t.Helper()
	for range 5000 {
		if w.Revision() == revision {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("revision %v in place of %v", w.Revision(), revision)
}

// receiveFrom exchanges with the hub until the update of the table is complete, and returns it and
// the number of replies. between is called after each reply.
func receiveFrom(t *testing.T, h *hub, incoming incomingTransfers, known storage.Revision, between func(replies int)) (feed.Update, int) {
	t.Helper()
	for replies := 1; replies < 1000; replies++ {
		report := Report{Zone: "z", Revisions: map[string]storage.Revision{"t": known}, AcceptsParts: true, Parts: incoming.positions(), LinkMbps: minLinkMbps}
		tables, _ := h.tableUpdates("host", report, true)
		update, err := incoming.receive("t", tables["t"])
		if err != nil {
			t.Fatal(err)
		}
		if update.Complete || update.IsSnapshot {
			return update, replies
		}
		if update.Remaining <= 0 {
			t.Fatal("no rest is announced")
		}
		if between != nil {
			between(replies)
		}
	}
	t.Fatal("the update isn't complete after 1,000 replies")
	return feed.Update{}, 0
}

// applied returns the document that a host has after the update.
func applied(t *testing.T, before feed.Row, update feed.Update) feed.Row {
	t.Helper()
	source, seen := &documentSource{rows: make(chan feed.Row, 1)}, &lastRow{}
	source.rows <- before
	w := feed.NewWatcher("t", source, seen, feed.Options{BatchDelay: time.Millisecond}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	awaitRevision(t, w, before.Revision)
	w.Offer(update, time.Now())
	awaitRevision(t, w, update.Revision)
	cancel()
	<-done
	return seen.row
}

const transferSize = 2 << 20

// A table that the links can't carry in one reply arrives in parts, none of which takes longer
// than the share of the link that parts may take.
func TestLargeTableArrivesInParts(t *testing.T) {
	is := is.New(t)
	old, document := incompressible(1, 100), incompressible(2, transferSize)
	h, _ := hubWith(t, old, document)
	update, replies := receiveFrom(t, h, make(incomingTransfers), 1, nil)
	is.True(replies > 10)
	is.Equal(applied(t, old, update), document)
}

// Guards against a transfer that begins again with each change: a host must get the version whose
// transfer has begun, and then the next one. It runs in virtual time, since a hub drops a transfer of
// which no part is requested for transferRetention, and recording the change can take longer than that
// under the race detector.
func TestTransferContinuesAfterAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old, first, second := incompressible(1, 100), incompressible(2, transferSize), incompressible(3, transferSize)
		h, source := hubWith(t, old, first)
		incoming := make(incomingTransfers)
		update, _ := receiveFrom(t, h, incoming, 1, func(replies int) {
			if replies == 3 {
				source.rows <- second
				awaitRevision(t, h.tables["t"], 3)
			}
		})
		is.Equal(update.Revision, storage.Revision(2))
		is.Equal(applied(t, old, update), first)
		update, _ = receiveFrom(t, h, incoming, 2, nil)
		is.Equal(applied(t, first, update), second)
	})
}

// Guards against a transfer that begins again at another hub which has the same update.
func TestTransferContinuesAtAnotherHub(t *testing.T) {
	is := is.New(t)
	old, document := incompressible(1, 100), incompressible(2, transferSize)
	first, _ := hubWith(t, old, document)
	second, _ := hubWith(t, old, document)
	_, whole := receiveFrom(t, first, make(incomingTransfers), 1, nil)
	incoming := make(incomingTransfers)
	for range whole / 2 {
		report := Report{Zone: "z", Revisions: map[string]storage.Revision{"t": 1}, AcceptsParts: true, Parts: incoming.positions(), LinkMbps: minLinkMbps}
		tables, _ := first.tableUpdates("host", report, true)
		_, err := incoming.receive("t", tables["t"])
		is.NoErr(err)
	}
	update, rest := receiveFrom(t, second, incoming, 1, nil)
	is.True(rest <= whole-whole/2+1)
	is.Equal(applied(t, old, update), document)
}

// Parts that are lost, repeated or late, or of another transfer, change nothing, and damaged ones
// are rejected as a whole.
func TestPartsOutOfOrder(t *testing.T) {
	is := is.New(t)
	content := bytes.Repeat([]byte(`{"revision":5,"complete":true}          `), 10)[:30]
	part := func(id uint64, offset, end int) TableUpdate {
		return TableUpdate{Revision: 5, Part: &TablePart{ID: id, Size: len(content), Offset: offset, Content: content[offset:end]}}
	}
	const id = 0xfeed
	incoming := make(incomingTransfers)
	for _, p := range []TableUpdate{part(id, 10, 20), part(id, 0, 10), part(id, 0, 10), part(id, 20, 30), part(id+1, 10, 20), part(id, 10, 20)} {
		update, err := incoming.receive("t", p)
		is.NoErr(err)
		is.True(!update.Complete)
	}
	is.Equal(incoming.positions(), map[string]PartPosition{"t": {ID: id, Received: 20}})
	update, err := incoming.receive("t", part(id, 20, 30))
	is.True(errors.Is(err, errCorruptTransfer)) // the content has another checksum
	is.True(!update.Complete)
	is.Equal(len(incoming), 0) // the next part begins the transfer again
}

// A reply to a host on a slow link takes no longer than maxTransferDuration, whatever the hub's own
// link carries and however many tables there are.
func TestReplyFitsTheLinkOfTheReceiver(t *testing.T) {
	is := is.New(t)
	h, _ := hubWith(t, incompressible(1, 300_000))
	other, _ := hubWith(t, incompressible(1, 300_000))
	h.linkMbps = 1000
	h.tables["u"] = other.tables["t"]
	tables, _ := h.tableUpdates("host", Report{Zone: "z", AcceptsParts: true, LinkMbps: minLinkMbps}, true)
	size := 0
	for _, update := range tables {
		size += len(update.Packed)
		if update.Part != nil {
			size += len(update.Part.Content)
		}
	}
	is.True(float64(size)*base64Factor <= bytesPerSecond(minLinkMbps)*(maxTransferDuration+Interval).Seconds())
}

// Guards against replies over the limit of a message, which links of any bandwidth carry in time.
func TestReplyFitsAMessage(t *testing.T) {
	is := is.New(t)
	h, _ := hubWith(t, incompressible(1, 3<<20))
	for _, name := range []string{"u", "v"} {
		other, _ := hubWith(t, incompressible(1, 3<<20))
		h.tables[name] = other.tables["t"]
	}
	h.linkMbps = 10_000
	tables, _ := h.tableUpdates("host", Report{Zone: "z", AcceptsParts: true, LinkMbps: 10_000}, true)
	is.Equal(len(tables), 3)
	message, err := json.Marshal(Reply{Tables: tables})
	is.NoErr(err)
	is.True(len(message) < 1<<20)
	is.True(len(message) > 1<<19) // the bandwidth is used
}

// A host that states neither deltas nor parts, as during an upgrade, gets whole rows, or the
// information that it lacks changes if the links can't carry them in one reply.
func TestHostsWithoutDeltasAndParts(t *testing.T) {
	is := is.New(t)
	small, _ := hubWith(t, incompressible(1, 5000), incompressible(2, 5000))
	tables, _ := small.tableUpdates("host", Report{Zone: "z", Revisions: map[string]storage.Revision{"t": 1}}, true)
	update := tables["t"]
	is.True(update.Complete && update.Part == nil && len(update.Deltas) == 0)
	is.Equal(applied(t, incompressible(1, 5000), update.decode()), incompressible(2, 5000))
	large, _ := hubWith(t, incompressible(1, 5000), incompressible(2, transferSize))
	tables, _ = large.tableUpdates("host", Report{Zone: "z", Revisions: map[string]storage.Revision{"t": 1}}, true)
	update = tables["t"]
	is.True(!update.Complete && !update.IsSnapshot && update.Part == nil && update.Packed == nil)
	is.Equal(update.Revision, storage.Revision(2))
}
