package membership

import "context"

// Transport carries one exchange to another host. An error means that no
// answer came; the message may have arrived.
type Transport interface {
	Exchange(ctx context.Context, to Member, message Message) (Message, error)
}

// Kind says what a message is for.
type Kind uint8

const (
	// KindGossip is the regular exchange, which is a probe as well.
	KindGossip Kind = iota + 1
	// KindPush brings new records at once.
	KindPush
	// KindProbe asks the receiver to probe the target in the sender's place.
	KindProbe
	// KindPing is the probe made for another host.
	KindPing
	// KindSync lists the sender's records of some buckets.
	KindSync
)

// Message is what one host tells another, as request or answer.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's id and Version its own version.
	From    string `json:"f"`
	Version uint64 `json:"v"`
	// To is the id that the sender expects at the address; empty for a seed.
	To string `json:"t,omitempty"`
	// Sum is the digest of all that the sender knows.
	Sum uint64 `json:"s,omitempty"`
	// Ask asks for the receiver's bucket sums if the digests differ.
	Ask bool `json:"q,omitempty"`
	// Members and Facts are records that may be news to the receiver.
	Members []Member `json:"m,omitempty"`
	Facts   []Fact   `json:"a,omitempty"`
	// Target is the member to probe, of KindProbe.
	Target *Member `json:"g,omitempty"`
	// Reached answers KindProbe.
	Reached bool `json:"r,omitempty"`
	// Buckets are the sender's bucket sums, four bytes each.
	Buckets []byte `json:"b,omitempty"`
	// Listing is the sender's part of KindSync.
	Listing *Listing `json:"l,omitempty"`
	// Want are the keys of records that the sender of an answer lacks.
	Want []string `json:"w,omitempty"`
	// More says that an answer was cut at the byte bound.
	More bool `json:"o,omitempty"`
}

// Listing names all records of some buckets with their versions.
type Listing struct {
	Buckets []byte  `json:"b"`
	Entries []Entry `json:"e,omitempty"`
}

// Entry names one record and its version.
type Entry struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	// Hash tells apart values of one version.
	Hash uint32 `json:"h,omitempty"`
}
