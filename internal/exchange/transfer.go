package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// A table update that is too large for one reply is sent in parts, one with each reply. A receiver
// names the transfer and the number of bytes that it has, so that a reply that is lost costs one
// part, and another hub with the same update can continue the transfer.

const (
	// transferLinkShare is the share of a network link that parts of table updates may take.
	transferLinkShare = 0.6
	// minPartBytes is the minimum size in bytes of a part, unless it is the last one.
	minPartBytes = 2 << 10
	// maxTransferBytes bounds the size in bytes of an update that is sent in parts.
	maxTransferBytes = 16 << 20
	// keptTransfers is the number of transfers of a table that a hub keeps, so that a receiver can
	// complete one although the table has changed since: if each change restarted the transfer,
	// hosts might never complete one while a large document changes often.
	keptTransfers = 4
	// maxReceiverWeight bounds how many times the part of another host a hub receives. Its followers
	// wait for it, but the other hosts must not wait until all hubs are served.
	maxReceiverWeight = 16
	// receiverExpiry is the time after its last part from which a host has no share of the link.
	receiverExpiry = 3 * Interval
	// transferRetention is how long a transfer of which no part is requested is kept.
	transferRetention = 3 * time.Second
)

// TablePart is a part of an encoded TableUpdate.
type TablePart struct {
	// ID is the checksum of the encoded update, and Size is its size in bytes.
	ID   uint64 `json:"id"`
	Size int    `json:"size"`
	// Offset is the position of Content in the encoded update.
	Offset  int    `json:"offset,omitempty"`
	Content []byte `json:"content"`
}

// PartPosition names the transfer that a host is receiving, and the number of bytes that it has.
type PartPosition struct {
	ID       uint64 `json:"id"`
	Received int    `json:"received"`
}

// outgoingTransfer is an encoded update.
type outgoingTransfer struct {
	key     transferKey
	id      uint64
	content []byte
	usedAt  time.Time
}

// transferKey identifies the update that a transfer holds. Updates between the same revisions differ in
// which large rows they hold as differences.
type transferKey struct {
	since, revision storage.Revision
	isSnapshot      bool
	// rows and deltas are the numbers of rows that aren't packed and of differences, bytes is the size of
	// the packed rows and the differences.
	rows, deltas, bytes int
}

// outgoingTransfers holds the transfers of a hub by table, and the hosts that receive parts.
type outgoingTransfers struct {
	mu        sync.Mutex
	byTable   map[string][]*outgoingTransfer
	receivers map[string]receiver
}

// receiver is a host that receives parts. weight is its share of the link relative to that of other
// receivers.
type receiver struct {
	at     time.Time
	weight int
}

// continued returns the transfer that the host is receiving, if it still has newer rows than the
// host, or nil.
func (o *outgoingTransfers) continued(table string, r Report) *outgoingTransfer {
	position, ok := r.Parts[table]
	for _, t := range o.byTable[table] {
		if ok && t.id == position.ID && t.key.revision > r.Revisions[table] {
			return t
		}
	}
	return nil
}

// transferOf returns the transfer of the update.
func (o *outgoingTransfers) transferOf(table string, update feed.Update) (*outgoingTransfer, error) {
	key := transferKey{since: update.Since, revision: update.Revision, isSnapshot: update.IsSnapshot,
		rows: len(update.Rows), deltas: len(update.Deltas), bytes: update.PackedBytes()}
	list := o.byTable[table]
	for _, t := range list {
		if t.key == key {
			return t, nil
		}
	}
	content, err := encodeContent(update)
	if err != nil {
		return nil, fmt.Errorf("exchange: encode update of table %s: %w", table, err)
	}
	t := &outgoingTransfer{key: key, id: xxhash.Sum64(content), content: content}
	if len(list) >= keptTransfers {
		oldest := slices.MinFunc(list, func(a, b *outgoingTransfer) int { return a.usedAt.Compare(b.usedAt) })
		list = slices.DeleteFunc(list, func(t *outgoingTransfer) bool { return t == oldest })
	}
	o.byTable[table] = append(list, t)
	return t, nil
}

// encodeContent encodes an update that is sent in parts. Compression removes the overhead of the
// encoded bytes in it, since each part is encoded in the same way again.
func encodeContent(update feed.Update) ([]byte, error) {
	encoded := encodeUpdate(update)
	encoded.AgeMs, encoded.ClockMs, encoded.Outdated = 0, 0, false // the message with the last part states them
	var content bytes.Buffer
	w, err := flate.NewWriter(&content, flate.HuffmanOnly)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return content.Bytes(), nil
}

func decodeContent(content []byte) (*TableUpdate, error) {
	update := new(TableUpdate)
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(content)), 2*maxTransferBytes)
	return update, json.NewDecoder(reader).Decode(update)
}

// dropUnused drops the transfers that no host requests any more.
func (o *outgoingTransfers) dropUnused(now time.Time) {
	for table, list := range o.byTable {
		o.byTable[table] = slices.DeleteFunc(list, func(t *outgoingTransfer) bool { return now.Sub(t.usedAt) > transferRetention })
	}
	maps.DeleteFunc(o.receivers, func(_ string, r receiver) bool { return now.Sub(r.at) > receiverExpiry })
}

// partLimits bound the size of a part in bytes.
type partLimits struct {
	// link is what this hub's link carries per Interval for all parts, and host what the host's own
	// link carries. message is what is left in the reply.
	link, host, message int
}

// next returns the next part of a table's update for a host: of the transfer that the host is
// receiving if that still has newer rows than the host, or else of the given update.
func (o *outgoingTransfers) next(host, table string, r Report, update feed.Update, limits partLimits) (*TablePart, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	if o.byTable == nil {
		o.byTable, o.receivers = make(map[string][]*outgoingTransfer), make(map[string]receiver)
	}
	o.dropUnused(now)
	offset := 0
	t := o.continued(table, r)
	if t != nil {
		offset = min(max(0, r.Parts[table].Received), len(t.content))
	} else {
		var err error
		if t, err = o.transferOf(table, update); err != nil {
			return nil, err
		}
	}
	t.usedAt = now
	share := o.addReceiver(host, receiver{at: now, weight: min(max(1, r.Hosts), maxReceiverWeight)})
	size := max(minPartBytes, min(int(share*float64(limits.link)), limits.host, limits.message))
	size = min(size, len(t.content)-offset)
	return &TablePart{ID: t.id, Size: len(t.content), Offset: offset, Content: t.content[offset : offset+size]}, nil
}

// addReceiver records that a host receives a part, and returns its share of the link.
func (o *outgoingTransfers) addReceiver(host string, r receiver) (share float64) {
	o.receivers[host] = r
	sum := 0
	for _, other := range o.receivers {
		sum += other.weight
	}
	return float64(r.weight) / float64(sum)
}

// incomingTransfers holds, by table, the updates that a host is receiving in parts.
type incomingTransfers map[string]*incomingTransfer

type incomingTransfer struct {
	id      uint64
	size    int
	content []byte
	// rate is the size in bytes of the last part, of which one arrives per Interval.
	rate int
}

// errCorruptTransfer means that the parts of an update don't have its checksum.
var errCorruptTransfer = errors.New("exchange: parts of a table update don't have its checksum")

// positions returns what a report states of the transfers.
func (in incomingTransfers) positions() map[string]PartPosition {
	if len(in) == 0 {
		return nil
	}
	positions := make(map[string]PartPosition, len(in))
	for table, t := range in {
		positions[table] = PartPosition{ID: t.id, Received: len(t.content)}
	}
	return positions
}

// add adds a part. After the last part it returns the whole update.
func (in incomingTransfers) add(table string, part *TablePart) (update *TableUpdate, err error) {
	t := in[table]
	if t == nil || t.id != part.ID {
		if part.Offset != 0 || part.Size > maxTransferBytes {
			return nil, nil // the parts before it are unknown
		}
		t = &incomingTransfer{id: part.ID, size: part.Size}
		in[table] = t
	}
	if part.Offset != len(t.content) || len(t.content)+len(part.Content) > t.size {
		return nil, nil // a reply that was late; the next report states what is missing
	}
	t.content = append(t.content, part.Content...)
	t.rate = len(part.Content)
	if len(t.content) < t.size {
		return nil, nil
	}
	delete(in, table)
	if xxhash.Sum64(t.content) != t.id {
		return nil, fmt.Errorf("%w: table %s, %d bytes", errCorruptTransfer, table, t.size)
	}
	if update, err = decodeContent(t.content); err != nil {
		return nil, fmt.Errorf("exchange: decode update of table %s: %w", table, err)
	}
	return update, nil
}

// remaining returns the time until the rest of the table's update has probably arrived.
func (in incomingTransfers) remaining(table string) time.Duration {
	t := in[table]
	if t == nil || t.rate == 0 {
		return 0
	}
	return Interval * time.Duration((t.size-len(t.content)+t.rate-1)/t.rate)
}

// receive returns the table update of a reply. If the reply holds a part of it, receive returns the
// whole update after the last part, and before that one that only states what is to come.
func (in incomingTransfers) receive(table string, received TableUpdate) (feed.Update, error) {
	if received.Part == nil {
		delete(in, table)
		return received.decode(), nil
	}
	whole, err := in.add(table, received.Part)
	if whole == nil {
		update := received.decode()
		update.Remaining = in.remaining(table)
		return update, err
	}
	whole.AgeMs, whole.ClockMs, whole.Outdated = received.AgeMs, received.ClockMs, received.Outdated
	return whole.decode(), nil
}
