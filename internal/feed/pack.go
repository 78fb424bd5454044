package feed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/quetzalweir/quetzalweir/storage"
)

// maxTableBytes bounds the unpacked size of a table from another host. The store's own answers
// have the same limit.
const maxTableBytes = 16 << 20

// errCorruptPacked means that packed rows can't be decoded.
var errCorruptPacked = errors.New("feed: corrupt packed rows")

// pack encodes and compresses rows for other hosts; the rows of one table are similar to each
// other. Each row consists of three varints, followed by the key and the data. The varints are
// the revision, the key's length, and the data's length plus 1, or 0 for a removed row.
func pack(rows []Row) []byte {
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	var head []byte
	for _, row := range rows {
		head = binary.AppendUvarint(head[:0], uint64(row.Revision))
		head = binary.AppendUvarint(head, uint64(len(row.Key)))
		dataField := uint64(0)
		if !row.Deleted {
			dataField = uint64(len(row.Data)) + 1
		}
		head = binary.AppendUvarint(head, dataField)
		for _, part := range [][]byte{head, []byte(row.Key), row.Data} {
			_, _ = w.Write(part) // writes to a buffer never fail
		}
	}
	_ = w.Close()
	return packed.Bytes()
}

// compress returns the data in compressed form.
func compress(data []byte) []byte {
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	_, _ = w.Write(data) // writes to a buffer never fail
	_ = w.Close()
	return compressed.Bytes()
}

// compressors are reused between calls of pack and compress.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// decompressors are reused between calls of decompress.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// typicalRatio is roughly the ratio of unpacked to packed size, from which decompress estimates
// the size of its buffer.
const typicalRatio = 8

// decompress returns data that pack or compress has compressed.
func decompress(packed []byte) ([]byte, error) {
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptPacked, err)
	}
	data := bytes.NewBuffer(make([]byte, 0, typicalRatio*len(packed)+bytes.MinRead))
	if _, err := data.ReadFrom(io.LimitReader(reader, maxTableBytes+1)); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptPacked, err)
	}
	if data.Len() > maxTableBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", errCorruptPacked, maxTableBytes)
	}
	return data.Bytes(), nil
}

// unpack decodes the output of pack.
func unpack(packed []byte) ([]Row, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	n := 0
	for rest := data; len(rest) > 0; n++ {
		if _, rest, err = unpackRow(rest); err != nil {
			return nil, err
		}
	}
	rows := make([]Row, 0, n)
	for len(data) > 0 {
		var row packedRow
		row, data, _ = unpackRow(data)
		rows = append(rows, row.row())
	}
	return rows, nil
}

// packedRow is a row whose key and data are parts of the unpacked bytes, without copies.
type packedRow struct {
	revision  uint64
	deleted   bool
	key, data []byte
}

// unpackRow decodes the first row and returns it with the remaining bytes.
func unpackRow(from []byte) (row packedRow, rest []byte, err error) {
	var head [3]uint64
	for i := range head {
		value, n := binary.Uvarint(from)
		if n <= 0 {
			return packedRow{}, nil, errCorruptPacked
		}
		head[i], from = value, from[n:]
	}
	row.revision, row.deleted = head[0], head[2] == 0
	keyBytes, dataBytes := head[1], max(head[2], 1)-1
	if keyBytes > uint64(len(from)) || dataBytes > uint64(len(from))-keyBytes {
		return packedRow{}, nil, errCorruptPacked
	}
	row.key, from = from[:keyBytes], from[keyBytes:]
	row.data, from = from[:dataBytes:dataBytes], from[dataBytes:]
	return row, from, nil
}

func (p *packedRow) row() Row {
	return Row{Key: string(p.key), Data: p.data, Revision: storage.Revision(p.revision), Deleted: p.deleted}
}

// Snapshot returns the whole table, for a host that doesn't have it or whose revision is far
// behind. ok is false if the watcher doesn't have the table, or if the table takes more than
// maxPacked bytes.
func (w *Watcher) Snapshot(maxPacked int) (update Update, ok bool) {
	age, answered := w.Age()
	if !answered {
		return Update{}, false
	}
	packed, revision, ok := w.recent.snapshot()
	if !ok || len(packed) > maxPacked {
		return Update{}, false
	}
	return Update{Revision: revision, IsSnapshot: true, Packed: packed, Age: age, Clock: w.StoreClock(), Outdated: w.readsLongAnswer()}, true
}
