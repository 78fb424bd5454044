package ledger

import (
	"bytes"
	"slices"
)

// packAfter is the number of messages after which the copies of an owner are
// packed into one block.
const packAfter = 64

// heldBatch is the copies of one message, or a packed block of several.
type heldBatch struct {
	// seq is the number of the last message.
	seq uint64
	// count is the number of bills.
	count int
	bills []Bill
	// packed holds the bills where bills is nil.
	packed []byte
}

// hold keeps the bills of a message.
func (o *owned) hold(seq uint64, bills []Bill) {
	o.batches = append(o.batches, heldBatch{seq: seq, count: len(bills), bills: bills})
	o.loose++
	if o.loose >= packAfter {
		o.pack()
	}
}

// pack replaces the loose batches by one block. The block is released when the
// highest of their numbers is: a bill kept too long is only a copy more.
func (o *owned) pack() {
	first := len(o.batches) - o.loose
	var block heldBatch
	var bills []Bill
	for _, b := range o.batches[first:] {
		block.seq = max(block.seq, b.seq)
		bills = append(bills, b.bills...)
	}
	o.loose = 0
	packed, err := EncodeBills(bills)
	if err != nil {
		// They stay as they are.
		return
	}
	block.count, block.packed = len(bills), bytes.Clone(packed)
	o.batches = append(o.batches[:first:first], block)
}

// release removes the batches up to upTo and returns them.
func (o *owned) release(upTo uint64) []heldBatch {
	var released []heldBatch
	first := len(o.batches) - o.loose
	kept := o.batches[:0:0]
	for i, b := range o.batches {
		if b.seq > upTo {
			kept = append(kept, b)
			continue
		}
		released = append(released, b)
		if i >= first {
			o.loose--
		}
	}
	o.batches = slices.Clip(kept)
	return released
}

// unpack returns the bills. What pack made always decodes.
func (b heldBatch) unpack() []Bill {
	if b.packed == nil {
		return b.bills
	}
	bills, _ := DecodeBills(b.packed)
	return bills
}
