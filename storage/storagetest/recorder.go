package storagetest

import (
	"context"
	"errors"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalweir/quetzalweir/storage"
)

var _ storage.Table = (*Recorder)(nil)

// Recorder passes calls to an inner table and records their history. It is
// safe for concurrent use.
//
// A call that returned storage.ErrUnavailable isn't recorded: the error states
// that the call had no effect, so the history must be linearizable without it. A
// commit that returned storage.ErrUnknown, or the context's error, is recorded
// as one that may take effect at any time after its start.
type Recorder struct {
	inner   storage.Table
	history History
}

// NewRecorder returns a recorder with an empty history over inner.
func NewRecorder(inner storage.Table) *Recorder {
	return &Recorder{inner: inner}
}

// Get implements storage.Table.
func (r *Recorder) Get(ctx context.Context, key string) (storage.Row, error) {
	start := r.history.Tick()
	row, err := r.inner.Get(ctx, key)
	switch {
	case err == nil:
		r.record(start, getInput{key}, output{rows: []storage.Row{row}})
	case errors.Is(err, storage.ErrNotFound):
		r.record(start, getInput{key}, output{})
	}
	return row, err
}

// List implements storage.Table.
func (r *Recorder) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	start := r.history.Tick()
	rows, err := r.inner.List(ctx, prefix, after, limit)
	if err == nil {
		r.record(start, listInput{prefix, after, limit}, output{rows: rows})
	}
	return rows, err
}

// Commit implements storage.Table.
func (r *Recorder) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	start := r.history.Tick()
	revision, err := r.inner.Commit(ctx, txn)
	switch {
	case err == nil:
		r.record(start, commitInput{txn}, output{revision: revision})
	case errors.Is(err, storage.ErrConflict):
		r.record(start, commitInput{txn}, output{conflict: true})
	case errors.Is(err, storage.ErrUnavailable):
	default:
		r.record(start, commitInput{txn}, output{unknown: true})
	}
	return revision, err
}

// History returns the operations recorded so far.
func (r *Recorder) History() []porcupine.Operation { return r.history.Operations() }

// CountUnknown returns how many commits of the history have an unknown outcome.
func CountUnknown(history []porcupine.Operation) int {
	n := 0
	for _, operation := range history {
		if operation.Output.(output).unknown {
			n++
		}
	}
	return n
}

func (r *Recorder) record(start int64, input any, out output) {
	if out.unknown {
		r.history.AddPending(0, start, input, out)
		return
	}
	r.history.AddCompleted(0, start, input, out)
}
