package storagetest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalweir/quetzalweir/storage"
)

// getInput, listInput and commitInput are the inputs of the model's operations.
type (
	getInput  struct{ key string }
	listInput struct {
		prefix, after string
		limit         int
	}
	commitInput struct{ txn storage.Txn }
)

// output is the result of a call.
type output struct {
	// rows holds the rows read; empty for a row that is absent.
	rows []storage.Row
	// revision is the revision of a commit that succeeded.
	revision uint64
	conflict bool
	// unknown reports whether the outcome of the commit is unknown.
	unknown bool
}

// state is the content of the table.
type state struct {
	revision uint64
	rows     map[string]row
}

// row is the content of a storage.Row in a form that can be compared with ==.
type row struct {
	value   string
	version uint64
}

// Model returns the sequential specification of a table whose revision rises
// by one with each commit that takes effect.
func Model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return state{rows: map[string]row{}} },
		Step: func(before, input, out any) (bool, any) {
			return step(before.(state), input, out.(output))
		},
		Equal: func(a, b any) bool {
			x, y := a.(state), b.(state)
			return x.revision == y.revision && maps.Equal(x.rows, y.rows)
		},
		DescribeOperation: func(input, out any) string {
			return fmt.Sprintf("%T%v -> %v", input, input, out)
		},
	}
}

// step reports whether out is a possible result of input in state s, and returns
// the state that follows.
func step(s state, input any, out output) (bool, state) {
	switch in := input.(type) {
	case getInput:
		return equalRows(s.get(in.key), out.rows), s
	case listInput:
		return equalRows(s.list(in), out.rows), s
	case commitInput:
		return stepCommit(s, in.txn, out)
	default:
		return false, s
	}
}

func stepCommit(s state, txn storage.Txn, out output) (bool, state) {
	if !s.conditionsHold(txn.Conditions) {
		return out.conflict || out.unknown, s
	}
	next := s.apply(txn)
	if out.unknown {
		return true, next
	}
	return !out.conflict && out.revision == next.revision, next
}

func (s state) get(key string) []storage.Row {
	stored, ok := s.rows[key]
	if !ok {
		return nil
	}
	return []storage.Row{{Key: key, Value: []byte(stored.value), Version: stored.version}}
}

func (s state) list(in listInput) []storage.Row {
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, in.prefix) && key > in.after && len(rows) < in.limit {
			rows = append(rows, s.get(key)...)
		}
	}
	return rows
}

func (s state) conditionsHold(conditions []storage.Condition) bool {
	for _, c := range conditions {
		if s.rows[c.Key].version != c.Version {
			return false
		}
	}
	return true
}

func (s state) apply(txn storage.Txn) state {
	next := state{revision: s.revision + 1, rows: maps.Clone(s.rows)}
	for _, put := range txn.Puts {
		next.rows[put.Key] = row{value: string(put.Value), version: next.revision}
	}
	for _, key := range txn.Deletes {
		delete(next.rows, key)
	}
	return next
}

func equalRows(a, b []storage.Row) bool {
	return slices.EqualFunc(a, b, func(x, y storage.Row) bool {
		return x.Key == y.Key && x.Version == y.Version && string(x.Value) == string(y.Value)
	})
}
