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

// maxWholeBytes bounds a table that another host hands on, unpacked: the store's own
// answers are bounded alike.
const maxWholeBytes = 16 << 20

// errPacked means that a packed table is damaged.
var errPacked = errors.New("feed: packed table")

// pack encodes rows for another host, compressed: entries of one table are much alike. Each
// row is its revision, the length of its key, and that of its data and 1 or 0 for a row that
// was removed, as varints, then key and data.
func pack(rows []Row) []byte {
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	var head []byte
	for _, row := range rows {
		head = binary.AppendUvarint(head[:0], uint64(row.Revision))
		head = binary.AppendUvarint(head, uint64(len(row.Key)))
		data := uint64(0)
		if !row.Deleted {
			data = uint64(len(row.Data)) + 1
		}
		head = binary.AppendUvarint(head, data)
		for _, part := range [][]byte{head, []byte(row.Key), row.Data} {
			_, _ = w.Write(part) // the buffer takes all writes
		}
	}
	_ = w.Close()
	return packed.Bytes()
}

// compressors are kept for the next packing.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// decompressors are kept for the next unpacking.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// usualRatio is about how many times as large rows are unpacked.
const usualRatio = 8

// inflate returns the bytes that were compressed.
func inflate(packed []byte) ([]byte, error) {
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errPacked, err)
	}
	data := bytes.NewBuffer(make([]byte, 0, usualRatio*len(packed)+bytes.MinRead))
	if _, err := data.ReadFrom(io.LimitReader(reader, maxWholeBytes+1)); err != nil {
		return nil, fmt.Errorf("%w: %w", errPacked, err)
	}
	if data.Len() > maxWholeBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", errPacked, maxWholeBytes)
	}
	return data.Bytes(), nil
}

// unpack decodes what pack encoded.
func unpack(packed []byte) ([]Row, error) {
	data, err := inflate(packed)
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

// packedRow is a row within unpacked bytes.
type packedRow struct {
	revision  uint64
	deleted   bool
	key, data []byte
}

// unpackRow decodes the first row of the bytes and returns the rest of them.
func unpackRow(from []byte) (row packedRow, rest []byte, err error) {
	var head [3]uint64
	for i := range head {
		value, n := binary.Uvarint(from)
		if n <= 0 {
			return packedRow{}, nil, errPacked
		}
		head[i], from = value, from[n:]
	}
	row.revision, row.deleted = head[0], head[2] == 0
	keyBytes, dataBytes := head[1], max(head[2], 1)-1
	if keyBytes > uint64(len(from)) || dataBytes > uint64(len(from))-keyBytes {
		return packedRow{}, nil, errPacked
	}
	row.key, from = from[:keyBytes], from[keyBytes:]
	row.data, from = from[:dataBytes:dataBytes], from[dataBytes:]
	return row, from, nil
}

func (p *packedRow) row() Row {
	return Row{Key: string(p.key), Data: p.data, Revision: storage.Revision(p.revision), Deleted: p.deleted}
}

// Whole is the whole table, for a host that doesn't know it or is far behind. ok is
// false if the watcher has nothing to tell, or nothing of at most the given bytes.
func (w *Watcher) Whole(most int) (n News, ok bool) {
	age, heard := w.Age()
	if !heard {
		return News{}, false
	}
	packed, revision, ok := w.recent.whole()
	if !ok || len(packed) > most {
		return News{}, false
	}
	return News{Revision: revision, Whole: true, Packed: packed, Age: age, Clock: w.StoreClock()}, true
}
