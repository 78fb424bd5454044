package storagetest

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalweir/quetzalweir/storage"
)

// The model must reject histories that no linearizable table can produce.
func TestModel(t *testing.T) {
	create := storage.Txn{
		Conditions: []storage.Condition{{Key: "a"}},
		Puts:       []storage.Put{{Key: "a", Value: []byte("1")}},
	}
	row := storage.Row{Key: "a", Value: []byte("1"), Version: 1}
	created := output{revision: 1}
	unknown := output{unknown: true}
	found := output{rows: []storage.Row{row}}
	tests := []struct {
		desc    string
		history []porcupine.Operation
		want    bool
	}{
		{"create, read", history(commitInput{create}, created, getInput{"a"}, found), true},
		{"stale read", history(commitInput{create}, created, getInput{"a"}, output{}), false},
		{"read of a row never written", history(getInput{"a"}, found), false},
		{"stale list", history(commitInput{create}, created, listInput{limit: 1}, output{}), false},
		{"two creations", history(commitInput{create}, created, commitInput{create}, output{revision: 2}), false},
		{"conflict", history(commitInput{create}, created, commitInput{create}, output{conflict: true}), true},
		{"conflict without cause", history(commitInput{create}, output{conflict: true}), false},
		{"revision twice", history(commitInput{create}, created, commitInput{}, created), false},
		{"unknown, took effect", history(commitInput{create}, unknown, getInput{"a"}, found), true},
		{"unknown, no effect", history(commitInput{create}, unknown, getInput{"a"}, output{}), true},
		{"unknown, late effect", history(commitInput{create}, unknown, getInput{"a"}, output{}, getInput{"a"}, found), true},
		{"unknown, undone", history(commitInput{create}, unknown, getInput{"a"}, found, getInput{"a"}, output{}), false},
		{"unknown, applied twice", history(commitInput{create}, unknown, commitInput{storage.Txn{Deletes: []string{"a"}}}, output{revision: 2}, getInput{"a"}, found), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			if got := porcupine.CheckOperations(Model(), test.history); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// history builds a sequential history from pairs of input and output.
func history(pairs ...any) []porcupine.Operation {
	var operations []porcupine.Operation
	for i := 0; i < len(pairs); i += 2 {
		operation := porcupine.Operation{
			Input:  pairs[i],
			Call:   int64(i),
			Output: pairs[i+1],
			Return: int64(i) + 1,
		}
		if operation.Output.(output).unknown {
			operation.Return = math.MaxInt64
		}
		operations = append(operations, operation)
	}
	return operations
}
