package session

import "time"

// record is the value of a session's row in the table.
type record struct {
	Binding
	// TTLMillis is how long the binding lasts after its last use, in milliseconds.
	TTLMillis int64 `json:"ttl_millis"`
}

// newRecord returns the row value for a binding whose last use is now.
func (r *Registry) newRecord(b Binding, now time.Time) record {
	b.IssuedAt = now
	return record{Binding: b, TTLMillis: time.Duration(r.ttl.Load()).Milliseconds()}
}

func (r record) ttl() time.Duration {
	return time.Duration(r.TTLMillis) * time.Millisecond
}

// needsRewrite reports whether a use of the binding at time now must rewrite the
// row to extend its lifetime.
func (r record) needsRewrite(now time.Time) bool {
	return now.Sub(r.IssuedAt) >= r.ttl()
}

// expired reports whether the row has expired at time now.
func (r record) expired(now time.Time) bool {
	return now.Sub(r.IssuedAt) >= rowTTLFactor*r.ttl()
}
