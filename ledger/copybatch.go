package ledger

import (
	"bytes"
	"slices"
)

// packThreshold is the number of messages from one owner after which their
// copies are encoded into one block, which needs less memory.
const packThreshold = 64

// copyBatch holds the copies of one message, or a packed block of several.
type copyBatch struct {
	// seq is the highest message number in the batch.
	seq uint64
	// count is the number of bills.
	count int
	bills []Bill
	// packed holds the encoded bills of a block; bills is then nil.
	packed []byte
}

// add stores the bills of a message.
func (o *ownerCopies) add(seq uint64, bills []Bill) {
	o.batches = append(o.batches, copyBatch{seq: seq, count: len(bills), bills: bills})
	o.unpacked++
	if o.unpacked >= packThreshold {
		o.pack()
	}
}

// pack replaces the unpacked batches by one block. The block is released when
// the owner releases the highest of their message numbers. A copy that is kept
// longer than needed does no harm: writing it to the table again changes nothing.
func (o *ownerCopies) pack() {
	first := len(o.batches) - o.unpacked
	var block copyBatch
	var bills []Bill
	for _, b := range o.batches[first:] {
		block.seq = max(block.seq, b.seq)
		bills = append(bills, b.bills...)
	}
	o.unpacked = 0
	packed, err := EncodeBills(bills)
	if err != nil {
		// The batches stay unpacked.
		return
	}
	block.count, block.packed = len(bills), bytes.Clone(packed)
	o.batches = append(o.batches[:first:first], block)
}

// release removes the batches of messages up to number upTo and returns them.
func (o *ownerCopies) release(upTo uint64) []copyBatch {
	var released []copyBatch
	first := len(o.batches) - o.unpacked
	kept := o.batches[:0:0]
	for i, b := range o.batches {
		if b.seq > upTo {
			kept = append(kept, b)
			continue
		}
		released = append(released, b)
		if i >= first {
			o.unpacked--
		}
	}
	o.batches = slices.Clip(kept)
	return released
}

// unpack returns the bills of a batch. DecodeBills doesn't fail on the output
// of pack.
func (b copyBatch) unpack() []Bill {
	if b.packed == nil {
		return b.bills
	}
	bills, _ := DecodeBills(b.packed)
	return bills
}
