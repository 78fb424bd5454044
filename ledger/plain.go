package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// uncompressedVersion is the first byte of bills that aren't compressed. A
	// JSON array with an array of values for each bill follows.
	uncompressedVersion = 2
	// maxUncompressedBills is the maximum number of bills that are sent
	// uncompressed. For a few bills, setting up the compressor takes longer than
	// sending the additional bytes.
	maxUncompressedBills = 4
)

// billArray is a bill that is encoded as an array of values. Values that most
// bills contain twice, such as those of a single step, are encoded once.
type billArray struct {
	Bill
	// stepOmitted is set if the bill has one step that repeats the bill's own
	// values and therefore isn't encoded.
	stepOmitted bool
	// at is Bill.At in Unix nanoseconds.
	at int64
}

// values returns pointers to the values of a bill in the order of their
// encoding. That order is part of the format uncompressedVersion.
func (p *billArray) values() []any {
	return []any{
		&p.ID, &p.RequestID, &p.Account, &p.Model, &p.Version, &p.Service,
		&p.Upstream, &p.Class, &p.Epoch, &p.Code, &p.RunState, &p.Attempts,
		&p.PromptTokens, &p.CompletionTokens, &p.CostMicro, &p.at, &p.stepOmitted,
		&p.Steps,
	}
}

// MarshalJSON implements json.Marshaler.
func (p billArray) MarshalJSON() ([]byte, error) {
	p.at = p.At.UnixNano()
	if p.ID == p.RequestID {
		p.ID = ""
	}
	if len(p.Steps) == 1 && p.Steps[0] == p.impliedStep() {
		p.stepOmitted = true
		p.Steps = nil
	}
	return json.Marshal(p.values())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *billArray) UnmarshalJSON(data []byte) error {
	values := p.values()
	want := len(values)
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	if len(values) != want {
		return fmt.Errorf("%d values instead of %d", len(values), want)
	}
	p.At = time.Unix(0, p.at).UTC()
	if p.ID == "" {
		p.ID = p.RequestID
	}
	if p.stepOmitted {
		p.Steps = []Step{p.impliedStep()}
	}
	return nil
}

// impliedStep returns the step that repeats the bill's own values.
func (p *billArray) impliedStep() Step {
	return Step{
		Model:            p.Model,
		Version:          p.Version,
		Upstream:         p.Upstream,
		PromptTokens:     p.PromptTokens,
		CompletionTokens: p.CompletionTokens,
		CostMicro:        p.CostMicro,
	}
}

func encodeUncompressed(bills []Bill) ([]byte, error) {
	list := make([]billArray, len(bills))
	for i, b := range bills {
		list[i].Bill = b
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return append([]byte{uncompressedVersion}, text...), nil
}

// decodeUncompressed decodes the JSON text that follows the version byte.
func decodeUncompressed(text []byte) (batch, error) {
	var list []billArray
	if err := json.Unmarshal(text, &list); err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	b := batch{Bills: make([]Bill, len(list))}
	for i, p := range list {
		b.Bills[i] = p.Bill
	}
	return b, nil
}
