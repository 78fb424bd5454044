package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"net/url"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// keyPrefix starts the keys of all rows and objects of the ledger.
	keyPrefix = "ledger/"
	// bucketLayout is the time format of a bucket: the minute, in UTC, in which
	// the answers of a segment's bills ended.
	bucketLayout = "20060102T1504"
	// maxInlineBytes is the encoded size up to which a segment is stored in its
	// row instead of in an object.
	maxInlineBytes = 16 << 10
)

// row is the value of a table row: encoded batches, or the name of the object
// that contains or lists them. One of Data, Object and Index is set.
type row struct {
	// Data is the encoded batch.
	Data []byte `json:"data,omitempty"`
	// Object is the name of an object that contains encoded batches.
	Object string `json:"object,omitempty"`
	// Index is the name of an object that lists the names of objects that
	// contain encoded batches.
	Index string `json:"index,omitempty"`
	// Bills is the number of bills, including duplicates.
	Bills int `json:"bills"`
	// Bytes is the encoded size of the bills.
	Bytes int `json:"bytes"`
}

// segment is a batch that is written to the table as one row. Its key and its
// value never change, so writing it again changes nothing.
type segment struct {
	key   string
	batch batch
	// value is the row's value, encoded at the first write.
	value []byte
	// data is the encoded batch if it is too large for the row, else nil.
	data []byte
}

// bucket returns the key part for bills with the time t.
func bucket(t time.Time) string {
	return t.UTC().Format(bucketLayout)
}

// segmentKey returns the key of a segment. It consists of the bucket, the host,
// the incarnation of the host's process, and the number that this process gave
// the segment.
func segmentKey(bucket, host, incarnation string, seq uint64) string {
	return fmt.Sprintf("%s%s/%s/%s/%012d", keyPrefix, bucket, keyPart(host), incarnation, seq)
}

// keyPart escapes a name so that it has no slash and sorts below compactedHost.
func keyPart(name string) string {
	return strings.ReplaceAll(url.QueryEscape(name), "~", "%7E")
}

// prepare encodes the segment, unless an earlier call did.
func (s *segment) prepare() error {
	if s.value != nil {
		return nil
	}
	data, err := encodeBatch(s.batch)
	if err != nil {
		return err
	}
	r := row{Bills: len(s.batch.Bills), Bytes: len(data)}
	if len(data) <= maxInlineBytes {
		r.Data = data
	} else {
		r.Object = s.key
		s.data = data
	}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: encode row: %w", err)
	}
	s.value = value
	return nil
}

// write stores the segment. If it returns nil, the segment is in the table.
// If the outcome of the commit isn't known, write reads the row back. An
// earlier attempt that takes effect late changes nothing, because its condition
// fails once the row exists.
func (s *segment) write(ctx context.Context, table storage.Table, objects storage.Objects) error {
	if err := s.prepare(); err != nil {
		return err
	}
	if s.data != nil {
		if err := objects.Write(ctx, s.key, s.data); err != nil {
			return fmt.Errorf("ledger: write object: %w", err)
		}
	}
	_, err := table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: s.key}},
		Puts:       []storage.Put{{Key: s.key, Value: s.value}},
	})
	if err == nil {
		return nil
	}
	if errors.Is(err, storage.ErrUnavailable) {
		return fmt.Errorf("ledger: commit: %w", err)
	}
	return s.confirmWritten(ctx, table, err)
}

// confirmWritten reads the segment back after a commit whose outcome isn't
// known.
func (s *segment) confirmWritten(ctx context.Context, table storage.Table, cause error) error {
	stored, err := table.Get(ctx, s.key)
	if err != nil {
		return fmt.Errorf("ledger: commit: %w", errors.Join(cause, err))
	}
	if !bytes.Equal(stored.Value, s.value) {
		return fmt.Errorf("%w: row %s contains a different segment", ErrCorrupt, s.key)
	}
	return nil
}

// parseRow decodes the value of a table row.
func parseRow(stored storage.Row) (row, error) {
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return row{}, fmt.Errorf("%w: row %s: %w", ErrCorrupt, stored.Key, err)
	}
	return r, nil
}

// decodedBatches yields the decoded batches of a row.
func decodedBatches(ctx context.Context, objects storage.Objects, r row) iter.Seq2[batch, error] {
	return func(yield func(batch, error) bool) {
		for data, err := range encodedBatches(ctx, objects, r) {
			if err != nil {
				yield(batch{}, err)
				return
			}
			if !yield(decodeBatch(data)) {
				return
			}
		}
	}
}

// encodedBatches yields the encoded batches of a row. It keeps one object in
// memory at a time.
func encodedBatches(ctx context.Context, objects storage.Objects, r row) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		if len(r.Data) > 0 {
			yield(r.Data, nil)
			return
		}
		names, err := objectNames(ctx, objects, r)
		if err != nil {
			yield(nil, err)
			return
		}
		for _, name := range names {
			data, err := objects.Read(ctx, name)
			if err != nil {
				yield(nil, fmt.Errorf("ledger: read object %s: %w", name, err))
				return
			}
			for part, err := range splitBatches(data) {
				if !yield(part, err) || err != nil {
					return
				}
			}
		}
	}
}

// objectNames returns the names of the objects that contain a row's batches.
func objectNames(ctx context.Context, objects storage.Objects, r row) ([]string, error) {
	if r.Object != "" {
		return []string{r.Object}, nil
	}
	data, err := objects.Read(ctx, r.Index)
	if err != nil {
		return nil, fmt.Errorf("ledger: read index %s: %w", r.Index, err)
	}
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return nil, fmt.Errorf("%w: index %s: %w", ErrCorrupt, r.Index, err)
	}
	return names, nil
}
