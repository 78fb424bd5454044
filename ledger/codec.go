package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

const (
	// compressedVersion is the first byte of a compressed batch.
	compressedVersion = 1
	// compressionLevel is the fastest level that uses the dictionary.
	compressionLevel = 3
	// maxDecodedBytes bounds the decompressed size of one batch.
	maxDecodedBytes = 256 << 20
)

// dictionary is the preset dictionary of the compressor. It contains the text
// that all bills have in common, so that a batch of one bill is small too. Data
// with compressedVersion 1 can be decoded only with exactly this text.
const dictionary = `{"bills":[{"id":"account/","account":"","request_id":"","model":"","version":"v1","service":"","upstream":"","class":"","epoch":1,"code":0,"run_state":"may-have-run","run_state":"not-run","run_state":"ran","attempts":1,"steps":[{"model":"","version":"","upstream":"","prompt_tokens":1,"completion_tokens":1,"cost_micro":1}],"prompt_tokens":1,"completion_tokens":1,"cost_micro":1,"at":"2026-01-01T00:00:00.000000000Z"},{"id":"],"refusals":[{"account":"","epoch":1,"code":3001,"count":1,"origin":""}]}`

var compressors = sync.Pool{New: func() any {
	// NewWriterDict fails only for an invalid level.
	w, _ := flate.NewWriterDict(io.Discard, compressionLevel, []byte(dictionary))
	return w
}}

// batch is the content of a segment or of a message to a peer.
type batch struct {
	Bills    []Bill         `json:"bills,omitempty"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
}

// EncodeBills encodes bills for a message to a peer. Up to maxUncompressedBills
// bills aren't compressed.
func EncodeBills(bills []Bill) ([]byte, error) {
	if len(bills) <= maxUncompressedBills {
		return encodeUncompressed(bills)
	}
	return encodeBatch(batch{Bills: bills})
}

// DecodeBills decodes the output of EncodeBills. It returns ErrCorrupt for
// damaged data.
func DecodeBills(data []byte) ([]Bill, error) {
	b, err := decodeBatch(data)
	return b.Bills, err
}

func encodeBatch(b batch) ([]byte, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	var out bytes.Buffer
	out.WriteByte(compressedVersion)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return out.Bytes(), nil
}

func decodeBatch(data []byte) (batch, error) {
	if len(data) > 0 && data[0] == uncompressedVersion {
		return decodeUncompressed(data[1:])
	}
	if len(data) == 0 || data[0] != compressedVersion {
		return batch{}, fmt.Errorf("%w: unknown encoding", ErrCorrupt)
	}
	r := flate.NewReaderDict(bytes.NewReader(data[1:]), []byte(dictionary))
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return b, nil
}
