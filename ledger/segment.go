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
	// prefix starts the keys of all rows and objects of the ledger.
	prefix = "ledger/"
	// bucketLayout is the minute, in UTC, that a segment's bills ended in.
	bucketLayout = "20060102T1504"
	// maxInline is the size, in bytes, up to which a segment stands in its row.
	maxInline = 16 << 10
)

// row is the value of a table row: a segment's data, or where it is kept.
type row struct {
	// Data is the encoded batch; empty where another field is set.
	Data []byte `json:"data,omitempty"`
	// Object is the name of the object with the encoded batch.
	Object string `json:"object,omitempty"`
	// Index is the name of an object with a list of such names.
	Index string `json:"index,omitempty"`
	// Bills is the number of bills, with duplicates.
	Bills int `json:"bills"`
	// Bytes is the encoded size.
	Bytes int `json:"bytes"`
}

// segment is a part of the ledger on its way into the table. Its key and its
// value never change, so writing it again is harmless.
type segment struct {
	key   string
	batch batch
	// value is the row's value; made at the first write.
	value []byte
	// data is the encoded batch where it is too large for the row.
	data []byte
}

// bucket returns the key part for bills that ended at t.
func bucket(t time.Time) string {
	return t.UTC().Format(bucketLayout)
}

// segmentKey names a segment: bucket, host, incarnation of the host's process,
// number within it.
func segmentKey(bucket, host, incarnation string, seq uint64) string {
	return fmt.Sprintf("%s%s/%s/%s/%012d", prefix, bucket, keyPart(host), incarnation, seq)
}

// keyPart escapes a name so that it has no slash and sorts below compactName.
func keyPart(name string) string {
	return strings.ReplaceAll(url.QueryEscape(name), "~", "%7E")
}

// prepare encodes the segment once.
func (s *segment) prepare() error {
	if s.value != nil {
		return nil
	}
	data, err := encode(s.batch)
	if err != nil {
		return err
	}
	r := row{Bills: len(s.batch.Bills), Bytes: len(data)}
	if len(data) <= maxInline {
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

// write stores the segment. After a nil error it is in the table. A lost
// answer is settled by reading the row back; a write that takes effect later
// finds the row there and changes nothing.
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
	return s.settle(ctx, table, err)
}

// settle reads the segment back after a commit whose outcome isn't known.
func (s *segment) settle(ctx context.Context, table storage.Table, cause error) error {
	stored, err := table.Get(ctx, s.key)
	if err != nil {
		return fmt.Errorf("ledger: commit: %w", errors.Join(cause, err))
	}
	if !bytes.Equal(stored.Value, s.value) {
		return fmt.Errorf("%w: %s holds another segment", ErrCorrupt, s.key)
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

// load yields the batches that a row stands for.
func load(ctx context.Context, objects storage.Objects, r row) iter.Seq2[batch, error] {
	return func(yield func(batch, error) bool) {
		for data, err := range encodedBatches(ctx, objects, r) {
			if err != nil {
				yield(batch{}, err)
				return
			}
			if !yield(decode(data)) {
				return
			}
		}
	}
}

// encodedBatches yields the encoded batches that a row stands for. It keeps
// one object in memory at a time.
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
			for part, err := range split(data) {
				if !yield(part, err) || err != nil {
					return
				}
			}
		}
	}
}

// objectNames returns the names of a row's objects.
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
