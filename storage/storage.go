// Package storage declares the services that the system needs from the platform
// it runs on: a transactional table, an object store, a host list, and a rater
// of answers. Package storage/client implements them over HTTP, storage/memory
// in one process. docs/PLATFORM-PROTOCOL.md specifies what a platform guarantees;
// nothing else is assumed, in particular not that it responds to every call.
package storage

import (
	"context"
	"errors"
	"time"
)

// Errors of the table and the object store. The error of a failed call wraps
// exactly one of these, or the context's error.
var (
	// ErrConflict means that a condition didn't hold; nothing was written.
	ErrConflict = errors.New("storage: conflict")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("storage: unavailable")
	// ErrUnknown means that the call's response was lost: the call may have
	// taken effect, or may still do so later. The caller finds out by reading
	// back the token that its attempt writes.
	ErrUnknown = errors.New("storage: outcome unknown")
	// ErrNotFound means that the row or object doesn't exist.
	ErrNotFound = errors.New("storage: not found")
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the table's revision at the row's last write, at least 1.
	Version uint64 `json:"version"`
}

// Condition requires that a row has a version; zero requires its absence.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is one transaction: if all conditions hold, all puts and deletes take
// effect at one revision, else none does.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service. It is linearizable, but
// has outages. It handles a few hundred commits and about two thousand reads a
// second.
type Table interface {
	// Get reads a row. It returns ErrNotFound if the row doesn't exist.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows with the prefix whose keys are above after,
	// in ascending order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns its revision. It isn't idempotent: after
	// ErrUnknown the caller must read back the token that txn writes before it
	// tries again.
	Commit(ctx context.Context, txn Txn) (revision uint64, err error)
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	// Write stores data under name; writing the same data again succeeds.
	Write(ctx context.Context, name string, data []byte) error
	// Read returns an object, or ErrNotFound if it doesn't exist.
	Read(ctx context.Context, name string) ([]byte, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive is the state of a host in service.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that finishes its work and accepts no
	// more.
	HostLeaving HostState = "leaving"
)

// HostKind is the kind of software that runs on a host.
type HostKind string

const (
	// KindEngine is a model engine.
	KindEngine HostKind = "engine"
	// KindService is a plain service.
	KindService HostKind = "service"
	// KindEntry is one of the system's own entry hosts.
	KindEntry HostKind = "entry"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID   string   `json:"id"`
	Kind HostKind `json:"kind"`
	// Name is the model pool's or service's name; empty for entry hosts.
	Name string `json:"name,omitempty"`
	Zone string `json:"zone"`
	// Address is the IP and port for requests.
	Address string    `json:"address"`
	State   HostState `json:"state"`
	// ChecksFencing reports whether the host rejects commands whose fencing number is
	// lower than one it has received.
	ChecksFencing bool `json:"fenced,omitempty"`
}

// HostList is the platform's list of hosts. Changes appear in it with a delay.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Rating is a rater's result for one answer.
type Rating struct {
	// Score is from 0 (useless) to 1 (best).
	Score float64 `json:"score"`
}

// Rater rates the quality of answers of models.
type Rater interface {
	Rate(ctx context.Context, model, version, prompt, answer string) (Rating, error)
}

// Clock returns the current time. Packages take one as an option, so that tests
// can supply their own.
type Clock func() time.Time
