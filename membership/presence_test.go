package membership

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/quetzalweir/quetzalweir/storage"
)

func readPresence(t *testing.T, table storage.Table, id string) (presenceRow, uint64) {
	t.Helper()
	stored, err := table.Get(t.Context(), PresencePrefix+id)
	if err != nil {
		t.Fatal(err)
	}
	var row presenceRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		t.Fatal(err)
	}
	return row, stored.Version
}

func TestPresenceIsRenewedThroughLostAnswersAndOutages(t *testing.T) {
	runNetwork(t, 2, 1, func(t *testing.T, n *network, hosts []*host) {
		is := is.New(t)
		first, _ := readPresence(t, n.table, hostID(0))
		n.table.setLoseResponses(true)
		time.Sleep(time.Minute)
		second, _ := readPresence(t, n.table, hostID(0))
		is.True(second.RenewedAt > first.RenewedAt)
		n.table.setLoseResponses(false)
		n.table.setFail(storage.ErrUnavailable)
		time.Sleep(time.Minute)
		n.table.setFail(nil)
		time.Sleep(2 * DefaultRenewInterval)
		third, _ := readPresence(t, n.table, hostID(0))
		is.True(third.RenewedAt > second.RenewedAt)
		is.True(allUp(hosts)) // faults of the table make no host Suspect or Down
	})
}

func TestAbandonedRowsAreRemoved(t *testing.T) {
	runNetwork(t, 3, 1, func(t *testing.T, n *network, hosts []*host) {
		hosts[2].kill()
		waitFor(t, 15*time.Minute, "row removed", func() bool {
			_, err := n.table.Get(t.Context(), PresencePrefix+hostID(2))
			return errors.Is(err, storage.ErrNotFound)
		})
		readPresence(t, n.table, hostID(0))
	})
}

func TestIncarnationExceedsEarlierRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		defer n.stop(t)
		const later = uint64(1) << 50 // from a clock that was ahead
		value, err := json.Marshal(presenceRow{Member: Member{ID: hostID(0), State: Up, Incarnation: later}, Instance: "earlier"})
		is.NoErr(err)
		_, err = n.table.Commit(t.Context(), storage.Txn{Puts: []storage.Put{{Key: PresencePrefix + hostID(0), Value: value}}})
		is.NoErr(err)
		h := n.startHost(t, 0, 1, func(*Options) {})
		time.Sleep(time.Second)
		is.Equal(h.Self().Incarnation, later+1)
		row, _ := readPresence(t, n.table, hostID(0))
		is.Equal(row.Member.Incarnation, later+1)
	})
}

func TestLaterProcessWithSameIDSupersedes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		defer n.stop(t)
		first := n.startHost(t, 0, 1, func(*Options) {})
		time.Sleep(time.Second)
		second := n.startHost(t, 0, 1, func(*Options) {})
		is.True(errors.Is(<-first.done, ErrSuperseded))
		row, _ := readPresence(t, n.table, hostID(0))
		is.Equal(row.Instance, second.presence.instanceID)
	})
}

// slowListingTable is a table whose listings time out.
type slowListingTable struct{ *memoryTable }

func (slowListingTable) List(ctx context.Context, _, _ string, _ int) ([]storage.Row, error) {
	<-ctx.Done()
	return nil, storage.ErrUnavailable
}

func TestSlowTableDelaysNoDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		defer n.stop(t)
		var hosts []*host
		for i := range hostCount {
			hosts = append(hosts, n.startHost(t, i, zoneCount, func(o *Options) {
				o.Table = slowListingTable{n.table}
				o.Seeds = []string{"127.1.0.0:7946"}
			}))
		}
		waitFor(t, 15*time.Second, "all up", func() bool { return allUp(hosts) })
		hosts[1].kill()
		waitFor(t, downWithin, "down", func() bool { return allHaveState(hosts, hostID(1), Down) })
	})
}
