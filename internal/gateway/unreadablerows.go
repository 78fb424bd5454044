package gateway

import (
	"errors"
	"maps"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// unreadableRows are the rows of one table that can't be read, with the revisions at
// which that was told: a listing brings them again, and each is logged once a change.
type unreadableRows struct {
	gateway *Gateway
	table   string
	told    map[string]storage.Revision
}

func newUnreadableRows(g *Gateway, table string) unreadableRows {
	return unreadableRows{gateway: g, table: table, told: make(map[string]storage.Revision)}
}

// note takes in a row that can't be read.
func (u *unreadableRows) note(row feed.Row, err error) {
	if u.told[row.Key] == row.Revision {
		return
	}
	u.told[row.Key] = row.Revision
	u.gateway.metrics.unreadable(u.table).Inc()
	u.gateway.log.Error().Str("event", "row-unreadable").Str("table", u.table).Str("key", row.Key).
		Stringer("revision", row.Revision).Int("bytes", len(row.Data)).Err(err).Msg("")
}

// keep forgets the keys that have no row any more.
func (u *unreadableRows) keep(keys map[string]bool) {
	maps.DeleteFunc(u.told, func(key string, _ storage.Revision) bool { return !keys[key] })
}

// clear takes in that the key has a row that can be read, or none.
func (u *unreadableRows) clear(key string) { delete(u.told, key) }

// errOtherKey means that a row says that it is about something else than its key.
var errOtherKey = errors.New("gateway: the row's key is another one's")
