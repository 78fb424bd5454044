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
	// compactName is the host part of a compacted row's key. It sorts after
	// the names of hosts, so that a reader on its way up the keys meets the
	// compacted row after the rows that it replaces.
	compactName = "~compact"
	// dayMark ends the bucket of a folded day. It sorts after the minutes.
	dayMark = "~"
	// dayLength is the length of the day at the start of a bucket.
	dayLength = len("20060102")
	// maxCompactRows is the most rows that one transaction replaces.
	maxCompactRows = 256
	// maxCompactBytes is the size, in bytes, of the encoded bills at which a row
	// is full: it takes no more. It bounds what a compaction keeps in memory.
	maxCompactBytes = 4 << 20
)

// dayOf returns the day of a bucket.
func dayOf(bucket string) string {
	return bucket[:min(dayLength, len(bucket))]
}

// dayBucket returns the bucket of a folded day.
func dayBucket(day string) string {
	return day + dayMark
}

// Compact replaces the rows of each minute before a time by few rows that point
// to objects, and the rows of each day that ended before it by one row for the
// whole day; a day of more than maxCompactRows rows needs two runs. It may run on any host at any time, on several at once, and be
// broken off anywhere; a row that comes late is taken in by the next run.
func Compact(ctx context.Context, table storage.Table, objects storage.Objects, before time.Time) error {
	c := compactor{table: table, objects: objects}
	if err := c.minutes(ctx, bucket(before)); err != nil {
		return err
	}
	return c.days(ctx, dayOf(bucket(before)))
}

type compactor struct {
	table   storage.Table
	objects storage.Objects
}

// group is rows that are to become one.
type group struct {
	bucket string
	rows   []storage.Row
	// bills is their number, bytes their encoded size.
	bills, bytes int
}

func (g *group) add(stored storage.Row, r row) {
	g.rows = append(g.rows, stored)
	g.bills += r.Bills
	g.bytes += r.Bytes
}

// minutes merges the rows of each minute below end.
func (c compactor) minutes(ctx context.Context, end string) error {
	var g group
	for stored, err := range rows(ctx, c.table, prefix, "") {
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
		full := len(g.rows) == maxCompactRows || g.bytes+r.Bytes > maxCompactBytes
		if name != g.bucket || full {
			if err := c.merge(ctx, g); err != nil {
				return err
			}
			g = group{bucket: name}
		}
		g.add(stored, r)
	}
	return c.merge(ctx, g)
}

// merge replaces rows by one with all their batches, as they are: readers
// remove duplicates anyway, and decoding would cost most of a compaction. A
// single row stays as it is.
func (c compactor) merge(ctx context.Context, g group) error {
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
	data := join(batches)
	name, err := c.store(ctx, g.bucket, data)
	if err != nil {
		return err
	}
	return c.replace(ctx, g, row{Object: name, Bills: g.bills, Bytes: len(data)})
}

// days folds the rows of each day below end.
func (c compactor) days(ctx context.Context, end string) error {
	var g group
	for stored, err := range rows(ctx, c.table, prefix, "") {
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
			if err := c.fold(ctx, g); err != nil {
				return err
			}
			g = group{bucket: dayBucket(day)}
		}
		g.add(stored, r)
	}
	return c.fold(ctx, g)
}

// fold replaces rows by one that lists their objects. A row that is folded
// already and alone stays as it is.
func (c compactor) fold(ctx context.Context, g group) error {
	if len(g.rows) == 0 || len(g.rows) == 1 && bucketOf(g.rows[0].Key) == g.bucket {
		return nil
	}
	var names []string
	for _, stored := range g.rows {
		list, err := c.names(ctx, g.bucket, stored)
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
	name, err := c.store(ctx, g.bucket, data)
	if err != nil {
		return err
	}
	return c.replace(ctx, g, row{Index: name, Bills: g.bills, Bytes: g.bytes})
}

// names returns the objects of a row; one that holds its data itself gets an
// object.
func (c compactor) names(ctx context.Context, bucket string, stored storage.Row) ([]string, error) {
	r, err := parseRow(stored)
	if err != nil {
		return nil, err
	}
	if len(r.Data) == 0 {
		return objectNames(ctx, c.objects, r)
	}
	name, err := c.store(ctx, bucket, r.Data)
	return []string{name}, err
}

// store writes an object. Its name holds the content's digest, so a repeat
// writes the same object.
func (c compactor) store(ctx context.Context, bucket string, data []byte) (string, error) {
	digest := sha256.Sum256(data)
	name := prefix + bucket + "/" + hex.EncodeToString(digest[:16])
	if err := c.objects.Write(ctx, name, data); err != nil {
		return "", fmt.Errorf("ledger: write object: %w", err)
	}
	return name, nil
}

// replace swaps the rows of a group for one, unless another host was faster.
func (c compactor) replace(ctx context.Context, g group, r row) error {
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
		// Either way the rows or their replacement are there, and the next run
		// starts from what it finds.
		return nil
	}
	if err != nil {
		return fmt.Errorf("ledger: compact %s: %w", g.bucket, err)
	}
	return nil
}

// key returns a key above those of all rows in the group: it is numbered by
// their highest version, which is above the number in any of their keys, since
// each was written after the rows that it was numbered by.
func (g group) key(r row) string {
	number := uint64(0)
	for _, stored := range g.rows {
		number = max(number, stored.Version)
	}
	object := r.Object + r.Index
	digest := object[strings.LastIndexByte(object, '/')+1:]
	return fmt.Sprintf("%s%s/%s/%020d-%s", prefix, g.bucket, compactName, number, digest)
}
