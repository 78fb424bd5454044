package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// rowPrefix is the key prefix of all lease rows.
const rowPrefix = "lease/"

// record is the value of a lease's row. Rows are never deleted, since each
// fencing number is derived from the previous one.
type record struct {
	Holder string `json:"holder"`
	// Token identifies the acquisition.
	Token string `json:"token"`
	// Renewal numbers the writes of one acquisition, from 0. If the outcome of a
	// write is unknown and the row is read to determine it, Renewal shows whether
	// the row holds that write or an earlier one that arrived late.
	Renewal uint64 `json:"renewal"`
	Fencing uint64 `json:"fencing"`
	// TTL is how long contenders wait after they first read the row, in
	// nanoseconds.
	TTL      time.Duration `json:"ttl_ns"`
	Released bool          `json:"released,omitempty"`
}

func (r record) isSameWrite(other record) bool {
	return r.Token == other.Token && r.Renewal == other.Renewal && r.Released == other.Released
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode row: %w", err)
	}
	return data, nil
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, fmt.Errorf("lease: decode row: %w", err)
	}
	return r, nil
}
