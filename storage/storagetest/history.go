package storagetest

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
)

// History records the operations of concurrent clients. Its clock is a counter,
// since times in a synctest bubble are often equal. The zero value is empty. It
// is safe for concurrent use.
type History struct {
	// clock orders the starts and returns of operations; no two are equal.
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

// Tick returns a unique time for the start or the end of an operation. An
// operation that is started and never added isn't part of the history.
func (h *History) Tick() int64 { return h.clock.Add(1) }

// AddCompleted adds an operation of a client that returns now, and returns it.
func (h *History) AddCompleted(client int, start int64, input, output any) porcupine.Operation {
	return h.Add(client, start, h.Tick(), input, output)
}

// AddPending adds an operation that may take effect at any time after its start,
// and returns it.
func (h *History) AddPending(client int, start int64, input, output any) porcupine.Operation {
	return h.Add(client, start, math.MaxInt64, input, output)
}

// Add adds an operation between two ticks, and returns it.
func (h *History) Add(client int, start, end int64, input, output any) porcupine.Operation {
	operation := porcupine.Operation{ClientId: client, Input: input, Output: output, Call: start, Return: end}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
	return operation
}

// Operations returns the operations added so far.
func (h *History) Operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.operations)
}

// IsLinearizable reports whether the history is linearizable under the model. It
// returns false if the search takes more than a minute.
func IsLinearizable(model porcupine.Model, history []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(model, history, checkTimeout) == porcupine.Ok
}

// CheckModel fails the test and logs the history if it isn't linearizable under
// the model; desc names the history.
func CheckModel(t testing.TB, desc string, model porcupine.Model, history []porcupine.Operation) {
	t.Helper()
	if IsLinearizable(model, history) {
		return
	}
	for _, operation := range history {
		t.Logf("client %d, %d to %d: %+v -> %+v", operation.ClientId, operation.Call, operation.Return, operation.Input, operation.Output)
	}
	t.Fatalf("%s: history of %d operations isn't linearizable", desc, len(history))
}
