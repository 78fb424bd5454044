package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// plainVersion is the first byte of bills that aren't compressed: a JSON
	// array with an array of values for each bill.
	plainVersion = 2
	// maxPlain is the most bills that are sent so. To prepare the compressor
	// takes longer than to send a few bills as they are.
	maxPlain = 4
)

// plainBill is a bill as an array of values. What usually stands twice in a
// bill stands there once.
type plainBill struct {
	Bill
	// ownStep says that the one step repeats the bill's own values.
	ownStep bool
	// at is Bill.At in Unix nanoseconds.
	at int64
}

// values lists where the values of a bill are, in their order. The order is
// part of plainVersion.
func (p *plainBill) values() []any {
	return []any{
		&p.ID, &p.RequestID, &p.Account, &p.Model, &p.Version, &p.Service,
		&p.Upstream, &p.Class, &p.Epoch, &p.Code, &p.RunState, &p.Attempts,
		&p.PromptTokens, &p.CompletionTokens, &p.CostMicro, &p.at, &p.ownStep,
		&p.Steps,
	}
}

// MarshalJSON implements json.Marshaler.
func (p plainBill) MarshalJSON() ([]byte, error) {
	p.at = p.At.UnixNano()
	if p.ID == p.RequestID {
		p.ID = ""
	}
	if len(p.Steps) == 1 && p.Steps[0] == p.step() {
		p.ownStep = true
		p.Steps = nil
	}
	return json.Marshal(p.values())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *plainBill) UnmarshalJSON(data []byte) error {
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
	if p.ownStep {
		p.Steps = []Step{p.step()}
	}
	return nil
}

// step is the step that repeats the bill's own values.
func (p *plainBill) step() Step {
	return Step{
		Model:            p.Model,
		Version:          p.Version,
		Upstream:         p.Upstream,
		PromptTokens:     p.PromptTokens,
		CompletionTokens: p.CompletionTokens,
		CostMicro:        p.CostMicro,
	}
}

func encodePlain(bills []Bill) ([]byte, error) {
	list := make([]plainBill, len(bills))
	for i, b := range bills {
		list[i].Bill = b
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode: %w", err)
	}
	return append([]byte{plainVersion}, text...), nil
}

// decodePlain reads what follows the version.
func decodePlain(text []byte) (batch, error) {
	var list []plainBill
	if err := json.Unmarshal(text, &list); err != nil {
		return batch{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	b := batch{Bills: make([]Bill, len(list))}
	for i, p := range list {
		b.Bills[i] = p.Bill
	}
	return b, nil
}
