package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// compactedHost is the host part of a compacted row's key. It sorts after
	// the names of hosts, so that a reader, which reads keys in ascending order,
	// reads the compacted row after the rows that it replaces.
	compactedHost = "~compact"
	// dayBucketSuffix ends the bucket of a compacted day. It sorts after the
	// minutes.
	dayBucketSuffix = "~"
	// dayLength is the length of the day at the start of a bucket.
	dayLength = len("20060102")
	// maxCompactRows is the maximum number of rows that one transaction
	// replaces.
	maxCompactRows = 256
	// maxCompactBytes is the maximum encoded size of the bills of one merged
	// row; a row of that size isn't merged further. It bounds the memory of a
	// compaction.
	maxCompactBytes = 4 << 20
)

// dayOf returns the day of a bucket.
func dayOf(bucket string) string {
	return bucket[:min(dayLength, len(bucket))]
}

// dayBucket returns the bucket of a compacted day.
func dayBucket(day string) string {
	return day + dayBucketSuffix
}

// Compact replaces the rows of each minute before a time by few rows that refer
// to objects, and the rows of each day that ended before it by one row for the
// whole day; a day of more than maxCompactRows rows needs two runs. It may run
// on any host at any time and on several at once, and may be interrupted at any
// point. A row that is written late is included in the next run.
func Compact(ctx context.Context, table storage.Table, objects storage.Objects, before time.Time) error {
	c := compactor{table: table, objects: objects}
	if err := c.mergeMinutes(ctx, bucket(before)); err != nil {
		return err
	}
	return c.mergeDays(ctx, dayOf(bucket(before)))
}

type compactor struct {
	table   storage.Table
	objects storage.Objects
}

// rowGroup is a list of rows that are replaced by one row.
type rowGroup struct {
	bucket string
	rows   []storage.Row
	// billCount is the number of bills in the rows, byteCount is their encoded size.
	billCount, byteCount int
}

func (g *rowGroup) add(stored storage.Row, r row) {
	g.rows = append(g.rows, stored)
	g.billCount += r.Bills
	g.byteCount += r.Bytes
}

// mergeMinutes merges the rows of each minute before the bucket end.
func (c compactor) mergeMinutes(ctx context.Context, end string) error {
	var g rowGroup
	for stored, err := range listRows(ctx, c.table, keyPrefix, "") {
		if err != nil {
			return err
		}
		name := bucketOf(stored.Key)
		if name >= end {
			break
		}
		r, err := parseRow(stored)
		if err != nil {
			return err
		}
		if r.Index != "" || r.Bytes >= maxCompactBytes {
			continue
		}
		full := len(g.rows) == maxCompactRows || g.byteCount+r.Bytes > maxCompactBytes
		if name != g.bucket || full {
			if err := c.mergeRows(ctx, g); err != nil {
				return err
			}
			g = rowGroup{bucket: name}
		}
		g.add(stored, r)
	}
	return c.mergeRows(ctx, g)
}

// mergeRows replaces rows by one whose object contains all their encoded
// batches. It doesn't decode them, because readers remove duplicates anyway and
// decoding would be most of the cost of a compaction. A single row stays as it
// is.
func (c compactor) mergeRows(ctx context.Context, g rowGroup) error {
	if len(g.rows) < 2 {
		return nil
	}
	var batches [][]byte
	for _, stored := range g.rows {
		r, err := parseRow(stored)
		if err != nil {
			return err
		}
		for data, err := range encodedBatches(ctx, c.objects, r) {
			if err != nil {
				return fmt.Errorf("row %s: %w", stored.Key, err)
			}
			batches = append(batches, data)
		}
	}
	data := joinBatches(batches)
	name, err := c.storeObject(ctx, g.bucket, data)
	if err != nil {
		return err
	}
	return c.replaceRows(ctx, g, row{Object: name, Bills: g.billCount, Bytes: len(data)})
}

// mergeDays replaces the rows of each day before end by one index row.
func (c compactor) mergeDays(ctx context.Context, end string) error {
	var g rowGroup
	for stored, err := range listRows(ctx, c.table, keyPrefix, "") {
		if err != nil {
			return err
		}
		day := dayOf(bucketOf(stored.Key))
		if day >= end {
			break
		}
		r, err := parseRow(stored)
		if err != nil {
			return err
		}
		if dayBucket(day) != g.bucket || len(g.rows) == maxCompactRows {
			if err := c.indexRows(ctx, g); err != nil {
				return err
			}
			g = rowGroup{bucket: dayBucket(day)}
		}
		g.add(stored, r)
	}
	return c.indexRows(ctx, g)
}

// indexRows replaces rows by one that refers to a list of their objects. A
// single row that is already in the bucket of the day stays as it is.
func (c compactor) indexRows(ctx context.Context, g rowGroup) error {
	if len(g.rows) == 0 || len(g.rows) == 1 && bucketOf(g.rows[0].Key) == g.bucket {
		return nil
	}
	var names []string
	for _, stored := range g.rows {
		list, err := c.rowObjects(ctx, g.bucket, stored)
		if err != nil {
			return err
		}
		names = append(names, list...)
	}
	slices.Sort(names)
	data, err := json.Marshal(slices.Compact(names))
	if err != nil {
		return fmt.Errorf("ledger: encode index: %w", err)
	}
	name, err := c.storeObject(ctx, g.bucket, data)
	if err != nil {
		return err
	}
	return c.replaceRows(ctx, g, row{Index: name, Bills: g.billCount, Bytes: g.byteCount})
}

// rowObjects returns the names of a row's objects. If the row contains its data
// itself, rowObjects stores the data as an object.
func (c compactor) rowObjects(ctx context.Context, bucket string, stored storage.Row) ([]string, error) {
	r, err := parseRow(stored)
	if err != nil {
		return nil, err
	}
	if len(r.Data) == 0 {
		return objectNames(ctx, c.objects, r)
	}
	name, err := c.storeObject(ctx, bucket, r.Data)
	return []string{name}, err
}

// storeObject writes an object and returns its name. The name contains the
// content's digest, so a repeated call writes the same object.
func (c compactor) storeObject(ctx context.Context, bucket string, data []byte) (string, error) {
	digest := sha256.Sum256(data)
	name := keyPrefix + bucket + "/" + hex.EncodeToString(digest[:16])
	if err := c.objects.Write(ctx, name, data); err != nil {
		return "", fmt.Errorf("ledger: write object: %w", err)
	}
	return name, nil
}

// replaceRows replaces the rows of a group by one in a single transaction. It
// changes nothing if another host has replaced any of them.
func (c compactor) replaceRows(ctx context.Context, g rowGroup, r row) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("ledger: encode row: %w", err)
	}
	key := g.key(r)
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}
	for _, stored := range g.rows {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: stored.Key, Version: stored.Version})
		txn.Deletes = append(txn.Deletes, stored.Key)
	}
	_, err = c.table.Commit(ctx, txn)
	if errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrUnknown) {
		// In both cases the table contains either the rows or a replacement of
		// them, and the next run starts from there.
		return nil
	}
	if err != nil {
		return fmt.Errorf("ledger: compact %s: %w", g.bucket, err)
	}
	return nil
}

// key returns a key that sorts above the keys of all rows in the group. The number
// in the key is the highest version of these rows. It is higher than the number in
// the key of any of them that is a compacted row, because that number is the version
// of a row that was written before the compacted row.
func (g rowGroup) key(r row) string {
	number := uint64(0)
	for _, stored := range g.rows {
		number = max(number, stored.Version)
	}
	object := r.Object + r.Index
	digest := object[strings.LastIndexByte(object, '/')+1:]
	return fmt.Sprintf("%s%s/%s/%020d-%s", keyPrefix, g.bucket, compactedHost, number, digest)
}
