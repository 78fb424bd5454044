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
	// codecVersion is the first byte of compressed data.
	codecVersion = 1
	// compressionLevel is the fastest that uses the dictionary.
	compressionLevel = 3
	// maxDecoded bounds what one encoded batch may unpack to, in bytes.
	maxDecoded = 256 << 20
)

// dictionary primes the compressor with the text that all bills share, so a
// batch of one bill is small too. Version 1 of the codec means exactly this
// text.
const dictionary = `{"bills":[{"id":"account/","account":"","request_id":"","model":"","version":"v1","service":"","upstream":"","class":"","epoch":1,"code":0,"run_state":"may-have-run","run_state":"not-run","run_state":"ran","attempts":1,"steps":[{"model":"","version":"","upstream":"","prompt_tokens":1,"completion_tokens":1,"cost_micro":1}],"prompt_tokens":1,"completion_tokens":1,"cost_micro":1,"at":"2026-01-01T00:00:00.000000000Z"},{"id":"],"refusals":[{"account":"","epoch":1,"code":3001,"count":1,"origin":""}]}`

var writers = sync.Pool{New: func() any {
	// The level is valid, so no error can come.
	w, _ := flate.NewWriterDict(io.Discard, compressionLevel, []byte(dictionary))
	return w
}}

// batch is the payload of a segment or of a message to a peer.
type batch struct {
	Bills    []Bill         `json:"bills,omitempty"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
}

// EncodeBills packs bills for a message to a peer. A few bills aren't
// compressed.
func EncodeBills(bills []Bill) ([]byte, error) {
	if len(bills) <= maxPlain {
		return encodePlain(bills)
	}
	return encode(batch{Bills: bills})
}

// DecodeBills unpacks what EncodeBills packed; damaged data gives ErrCorrupt.
func DecodeBills(data []byte) ([]Bill, error) {
	b, err := decode(data)
	return b.Bills, err
}

func encode(b batch) ([]byte, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	var out bytes.Buffer
	out.WriteByte(codecVersion)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return out.Bytes(), nil
}

func decode(data []byte) (batch, error) {
	if len(data) > 0 && data[0] == plainVersion {
		return decodePlain(data[1:])
	}
	if len(data) == 0 || data[0] != codecVersion {
		return batch{}, fmt.Errorf("%w: unknown encoding", ErrCorrupt)
	}
	r := flate.NewReaderDict(bytes.NewReader(data[1:]), []byte(dictionary))
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxDecoded))
	if err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return b, nil
}
