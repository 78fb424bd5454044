package session

import "time"

// record is the value of a session's row.
type record struct {
	Binding
	// TTLMillis is the time to live after the last use, in milliseconds.
	TTLMillis int64 `json:"ttl_millis"`
}

// record makes the row's value of a binding that is in use now.
func (r *Registry) record(b Binding, now time.Time) record {
	b.IssuedAt = now
	return record{Binding: b, TTLMillis: time.Duration(r.ttl.Load()).Milliseconds()}
}

func (r record) ttl() time.Duration {
	return time.Duration(r.TTLMillis) * time.Millisecond
}

// stale reports whether a use must write the row again to prolong it.
func (r record) stale(now time.Time) bool {
	return now.Sub(r.IssuedAt) >= r.ttl()
}

// expired reports whether the row has outlived its last use.
func (r record) expired(now time.Time) bool {
	return now.Sub(r.IssuedAt) >= rowLives*r.ttl()
}
