package gateway

import (
	"errors"
	"maps"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// unreadableRows tracks the rows of one table that can't be decoded, with the revisions at which
// they were logged: a listing contains them again, and each change is logged once.
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
	u.gateway.metrics.unreadable(u.table).Inc()
	u.gateway.log.Error().Str("event", "row-unreadable").Str("table", u.table).Str("key", row.Key).
		Stringer("revision", row.Revision).Int("bytes", len(row.Data)).Err(err).Msg("")
}

// retain drops the keys that no longer have a row.
func (u *unreadableRows) retain(keys map[string]bool) {
	maps.DeleteFunc(u.logged, func(key string, _ storage.Revision) bool { return !keys[key] })
}

// clear records that the key has a readable row, or none.
func (u *unreadableRows) clear(key string) { delete(u.logged, key) }

// errKeyMismatch means that a row's content belongs to another key.
var errKeyMismatch = errors.New("gateway: the row's content belongs to another key")
