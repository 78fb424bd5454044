package gateway

import (
	"errors"
	"maps"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// unreadableRowTracker tracks the rows of a table that can't be decoded, with the revisions for
// which the failure was logged. Each listing of the table contains such a row again, but the
// failure is logged only once for each change of the row.
type unreadableRowTracker struct {
	gateway *Gateway
	table   string
	logged  map[string]storage.Revision
}

func newUnreadableRowTracker(g *Gateway, table string) unreadableRowTracker {
	return unreadableRowTracker{gateway: g, table: table, logged: make(map[string]storage.Revision)}
}

// report logs and counts a row that can't be decoded, once for each revision.
func (u *unreadableRowTracker) report(row feed.Row, err error) {
	if u.logged[row.Key] == row.Revision {
		return
	}
	u.logged[row.Key] = row.Revision
	u.gateway.metrics.unreadableRowCounter(u.table).Inc()
	u.gateway.log.Error().Str("event", "row-unreadable").Str("table", u.table).Str("key", row.Key).
		Stringer("revision", row.Revision).Int("bytes", len(row.Data)).Err(err).Msg("")
}

// retain drops the tracked rows whose keys aren't in keys.
func (u *unreadableRowTracker) retain(keys map[string]bool) {
	maps.DeleteFunc(u.logged, func(key string, _ storage.Revision) bool { return !keys[key] })
}

// clear records that the row of the key can be decoded or was removed.
func (u *unreadableRowTracker) clear(key string) { delete(u.logged, key) }

// errKeyMismatch means that a row's content names another service than its key.
var errKeyMismatch = errors.New("gateway: the row's content belongs to another key")
