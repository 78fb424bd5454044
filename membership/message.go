package membership

import "context"

// Transport sends a message to another host and returns the answer. An error
// means that no answer arrived; the other host may have processed the message.
type Transport interface {
	Exchange(ctx context.Context, to Member, message Message) (Message, error)
}

// Kind is the type of a message.
type Kind uint8

const (
	// KindGossip is a regular exchange, which also serves as a probe.
	KindGossip Kind = iota + 1
	// KindPush sends new records without waiting for the next round.
	KindPush
	// KindProbe requests an indirect probe: the receiver pings the target.
	KindProbe
	// KindPing is a probe on behalf of another host.
	KindPing
	// KindSync lists the sender's records in the buckets whose sums differ.
	KindSync
)

// Message is the request or the answer of an exchange.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's id; Version is the version of the sender's own
	// member record.
	From    string `json:"f"`
	Version uint64 `json:"v"`
	// To is the id that the sender expects at the address. It is empty for a
	// seed.
	To string `json:"t,omitempty"`
	// Digest is the digest of all records of the sender.
	Digest uint64 `json:"s,omitempty"`
	// RequestBuckets requests the receiver's bucket sums if the digests differ.
	RequestBuckets bool `json:"q,omitempty"`
	// Members and Facts are records that the receiver may lack.
	Members []Member `json:"m,omitempty"`
	Facts   []Fact   `json:"a,omitempty"`
	// Target is the member to probe, for KindProbe.
	Target *Member `json:"g,omitempty"`
	// Reached is the result of the indirect probe in the answer to KindProbe.
	Reached bool `json:"r,omitempty"`
	// Buckets are the sender's bucket sums, four bytes each.
	Buckets []byte `json:"b,omitempty"`
	// Listing lists the sender's records, for KindSync.
	Listing *Listing `json:"l,omitempty"`
	// Wanted are the keys of records that the sender of an answer requests,
	// because it lacks them or stores an older version.
	Wanted []string `json:"w,omitempty"`
	// Truncated reports whether records were omitted because of a size limit.
	Truncated bool `json:"o,omitempty"`
}

// Listing lists all records in the given buckets with their versions.
type Listing struct {
	Buckets []byte  `json:"b"`
	Entries []Entry `json:"e,omitempty"`
}

// Entry identifies one record and its version.
type Entry struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	// Hash distinguishes values of the same version.
	Hash uint32 `json:"h,omitempty"`
}
