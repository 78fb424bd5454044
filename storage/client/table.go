package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// table implements storage.Table.
type table struct{ platform *Platform }

// Get implements storage.Table.
func (t table) Get(ctx context.Context, key string) (storage.Row, error) {
	c := call{
		op:     "get",
		method: http.MethodGet,
		path:   protocol.PathRow,
		query:  url.Values{protocol.QueryKey: {key}},
	}
	if !utf8.ValidString(key) {
		return storage.Row{}, c.unavailableError(errInvalidUTF8)
	}
	var row storage.Row
	if err := t.platform.callJSON(ctx, c, &row); err != nil {
		return storage.Row{}, err
	}
	if row.Key != key || row.Version == 0 {
		return storage.Row{}, c.uncertainError(errInvalidResponse)
	}
	return row, nil
}

// List implements storage.Table.
func (t table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	c := call{
		op:     "list",
		method: http.MethodGet,
		path:   protocol.PathRows,
		query: url.Values{
			protocol.QueryPrefix: {prefix},
			protocol.QueryAfter:  {after},
			protocol.QueryLimit:  {strconv.Itoa(limit)},
		},
	}
	if !utf8.ValidString(prefix) || !utf8.ValidString(after) {
		return nil, c.unavailableError(errInvalidUTF8)
	}
	var result protocol.RowsResponse
	if err := t.platform.callJSON(ctx, c, &result); err != nil {
		return nil, err
	}
	if !isValidPage(result.Rows, prefix, after, limit) {
		return nil, c.uncertainError(errInvalidResponse)
	}
	return result.Rows, nil
}

// isValidPage reports whether rows can be the result of List with these
// arguments.
func isValidPage(rows []storage.Row, prefix, after string, limit int) bool {
	if len(rows) > max(limit, 0) {
		return false
	}
	for _, row := range rows {
		if row.Key <= after || !strings.HasPrefix(row.Key, prefix) || row.Version == 0 {
			return false
		}
		after = row.Key
	}
	return true
}

// Commit implements storage.Table.
func (t table) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	c := call{
		op:     "commit",
		method: http.MethodPost,
		path:   protocol.PathCommit,
		writes: true,
	}
	if !validKeys(txn) {
		return 0, c.unavailableError(errInvalidUTF8)
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, c.unavailableError(err)
	}
	c.body = body
	var result protocol.CommitResponse
	if err := t.platform.callJSON(ctx, c, &result); err != nil {
		return 0, err
	}
	if result.Revision == 0 {
		return 0, c.uncertainError(errInvalidResponse)
	}
	return result.Revision, nil
}

// validKeys reports whether all keys are valid UTF-8. JSON would replace other
// bytes, so that the transaction would refer to other rows.
func validKeys(txn storage.Txn) bool {
	for _, condition := range txn.Conditions {
		if !utf8.ValidString(condition.Key) {
			return false
		}
	}
	for _, put := range txn.Puts {
		if !utf8.ValidString(put.Key) {
			return false
		}
	}
	for _, key := range txn.Deletes {
		if !utf8.ValidString(key) {
			return false
		}
	}
	return true
}
