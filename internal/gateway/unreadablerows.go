package gateway

import (
	"errors"
	"maps"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// unreadableRows tracks the rows of a table that can't be decoded and the revisions for which this
// was logged, so that it is logged once for each change of a row although each listing contains the
// row again.
type unreadableRows struct {
	gateway *Gateway
	table   string
	logged  map[string]storage.Revision
}

func newUnreadableRows(g *Gateway, table string) unreadableRows {
	return unreadableRows{gateway: g, table: table, logged: make(map[string]storage.Revision)}
}

// report logs and counts a row that can't be decoded, once for each revision.
func (u *unreadableRows) report(row feed.Row, err error) {
	if u.logged[row.Key] == row.Revision {
		return
	}
	u.logged[row.Key] = row.Revision
	u.gateway.metrics.unreadableRows(u.table).Inc()
	u.gateway.log.Error().Str("event", "row-unreadable").Str("table", u.table).Str("key", row.Key).
		Stringer("revision", row.Revision).Int("bytes", len(row.Data)).Err(err).Msg("")
}

// retain drops the tracked rows whose keys aren't in keys.
func (u *unreadableRows) retain(keys map[string]bool) {
	maps.DeleteFunc(u.logged, func(key string, _ storage.Revision) bool { return !keys[key] })
}

// clear records that the row of the key can be decoded or was removed.
func (u *unreadableRows) clear(key string) { delete(u.logged, key) }

// errKeyMismatch means that a row's content names another service than its key.
var errKeyMismatch = errors.New("gateway: the row's content belongs to another key")
