package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// reportTo sends a report of the host with the revision, and the given update, to the hub, and returns
// the hub's requests.
func reportTo(t *testing.T, h *hub, from string, revision storage.Revision, update *feed.Update) map[string]TableRequest {
	t.Helper()
	report := Report{Zone: "z", Revisions: map[string]storage.Revision{"t": revision}}
	if update != nil {
		report.Tables = map[string]TableUpdate{"t": encodeUpdate(*update)}
	}
	reply, err := h.handleReport(context.Background(), from, report)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Requested
}

// Guards against a hub that requests the same changes from all hosts, or again and again from a host that has
// a newer revision without changes of the table: the store's revision rises with changes of other tables.
func TestHubRequestsChangesFromOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, _ := hubWith(t, incompressible(5, 100))
		is.Equal(len(reportTo(t, h, "a", 9, nil)), 0) // its own call may bring them
		time.Sleep(time.Second)
		is.Equal(reportTo(t, h, "a", 9, nil)["t"], TableRequest{Since: 5, Deltas: true, LinkMbps: minLinkMbps})
		is.Equal(len(reportTo(t, h, "b", 9, nil)), 0)
		is.Equal(len(reportTo(t, h, "a", 9, &feed.Update{Since: 5, Revision: 9, Complete: true})), 0)
		time.Sleep(2 * time.Second)
		is.Equal(len(reportTo(t, h, "b", 9, nil)), 0) // there are no changes up to this revision

		is.Equal(len(reportTo(t, h, "b", 12, nil)), 0)
		time.Sleep(time.Second)
		is.Equal(len(reportTo(t, h, "b", 12, nil)), 1)
		row := incompressible(12, 100)
		is.Equal(len(reportTo(t, h, "a", 12, &feed.Update{Since: 5, Revision: 12, Complete: true, Rows: []feed.Row{row}})), 0)
		synctest.Wait()
		is.Equal(h.tables["t"].Revision(), storage.Revision(5)) // it wasn't requested from this host
		time.Sleep(rowRequestExpiry + Interval)
		is.Equal(len(reportTo(t, h, "a", 12, nil)), 1) // the other one doesn't send them
		is.Equal(len(reportTo(t, h, "a", 12, &feed.Update{Since: 5, Revision: 12, Complete: true, Rows: []feed.Row{row}})), 1)
		synctest.Wait()
		is.Equal(h.tables["t"].Revision(), storage.Revision(12))
		is.Equal(len(reportTo(t, h, "a", 12, nil)), 0)
	})
}
