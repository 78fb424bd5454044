package claim_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// action is the kind of an operation in a history.
type action int

const (
	// actAcquire is a call of Acquire.
	actAcquire action = iota
	// actRun is the execution of the request by the simulated upstream.
	actRun
	// actFinish, actMayHaveRun and actRelease are calls of methods of Claim.
	actFinish
	actMayHaveRun
	actRelease
	// actFlush is a successful Flush on the owner's host.
	actFlush
	// actRecord is the write of the outcome to the table, within a successful
	// call of Finish or MayHaveRun. It is separate from the outcome itself,
	// which the owner's host returns to duplicates as soon as it is set.
	actRecord
)

// operation is one operation of a history on one key.
type operation struct {
	action action
	// request is the ID of the request that performs the operation.
	request string
	// result is the result of Acquire, as named by describeAcquire.
	result string
	// resultRequest is the ID of the request that the result refers to.
	resultRequest string
	// body is the response body passed to Finish or returned by Acquire.
	body []byte
	// pending is true if a method of Claim returned an error or didn't return.
	pending bool
	// staleRow is true if resultRequest never ran but its row may still exist, because
	// its Acquire returned no claim or its Release is pending.
	staleRow bool
	// onOwnerHost is true if Acquire was called on the host that resultRequest arrived
	// at.
	onOwnerHost bool
	// mayLag is true if the host that resultRequest arrived at may report this request
	// as in flight although it isn't, because its Acquire or Release is still running
	// or the effect of that call isn't in the table yet.
	mayLag bool
}

// phase is the state of a key in the model.
type phase int

const (
	free phase = iota
	claimed
	ran
	done
	mayHaveRun
)

// keyState is the state of the model for one key.
type keyState struct {
	phase phase
	owner string
	body  string
	// durable is true once the history shows that the outcome is in the table. All
	// hosts must then return it.
	durable bool
}

// model specifies a key: it has at most one owner at a time and at most one run,
// duplicates get the complete response of that run, and no result contradicts a
// recorded outcome.
var model = porcupine.Model{
	Init:  func() any { return keyState{} },
	Equal: func(a, b any) bool { return a == b },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(keyState), input.(operation))
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

func step(s keyState, op operation) (bool, keyState) {
	isOwner := s.owner == op.request
	switch op.action {
	case actAcquire:
		return stepAcquire(s, op)
	case actRun:
		s, was := s, s.phase
		s.phase = ran
		return isOwner && was == claimed, s
	case actFinish:
		next := keyState{phase: done, owner: op.request, body: string(op.body)}
		return isOwner && s.phase == ran, next
	case actMayHaveRun:
		next := keyState{phase: mayHaveRun, owner: op.request}
		return isOwner && (s.phase == ran || s.phase == claimed), next
	case actRelease:
		return isOwner && s.phase == claimed, keyState{}
	case actRecord:
		s.durable = true
		return isOwner && (s.phase == done || s.phase == mayHaveRun), s
	default:
		s.durable = s.durable || isOwner
		return true, s
	}
}

func stepAcquire(s keyState, op operation) (bool, keyState) {
	resultIsOfOwner := s.owner == op.resultRequest
	switch op.result {
	case "claimed":
		return s.phase == free, keyState{phase: claimed, owner: op.request}
	case "done":
		// The owner's host may return the result from memory. From another host,
		// the result shows that it is in the table.
		same := s.phase == done && resultIsOfOwner && s.body == string(op.body)
		s.durable = s.durable || !op.onOwnerHost
		return same, s
	case "in flight":
		if op.resultRequest == "" || op.mayLag {
			return true, s
		}
		return outcomeMayBeUnknown(s, op, resultIsOfOwner), s
	case "may have run":
		return s.phase == mayHaveRun && resultIsOfOwner || outcomeMayBeUnknown(s, op, resultIsOfOwner), s
	default:
		return op.result == "unavailable", s
	}
}

// outcomeMayBeUnknown reports whether the host on which op's Acquire was called may
// not yet have the outcome of op.resultRequest.
func outcomeMayBeUnknown(s keyState, op operation, resultIsOfOwner bool) bool {
	if s.phase == free {
		return op.staleRow
	}
	return resultIsOfOwner && !s.durable
}

// recorder records the history of one key and counts its runs.
type recorder struct {
	storagetest.History
	mu   sync.Mutex
	runs int
	// hosts maps each request to the host that it arrived at.
	hosts map[string]int
	// staleRows has the requests that never ran and whose rows may still exist.
	staleRows map[string]bool
	// rowChanges has the calls of Acquire and Release of each request.
	rowChanges map[string][]porcupine.Operation
}

func newRecorder() *recorder {
	return &recorder{hosts: make(map[string]int), staleRows: make(map[string]bool), rowChanges: make(map[string][]porcupine.Operation)}
}

// addEnded adds an operation that ends now.
func (r *recorder) addEnded(client int, start int64, op operation) {
	r.add(client, start, r.Tick(), op)
}

func (r *recorder) add(client int, start, end int64, op operation) {
	added := r.Add(client, start, end, op, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch op.action {
	case actRun:
		r.runs++
	case actAcquire, actRelease:
		r.rowChanges[op.request] = append(r.rowChanges[op.request], added)
	}
}

func (r *recorder) registerRequest(request string, host int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[request] = host
	r.staleRows[request] = true // until its claim is acquired
}

func (r *recorder) setStaleRow(request string, stale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleRows[request] = stale
}

// history returns the operations. It sets those fields that can be determined only
// after the last operation.
func (r *recorder) history() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	ops := r.Operations()
	for i := range ops {
		op := ops[i].Input.(operation)
		op.staleRow = r.staleRows[op.resultRequest]
		op.onOwnerHost = r.hosts[op.resultRequest] == r.hosts[op.request]
		op.mayLag = op.onOwnerHost && (op.staleRow || r.overlapsRowChange(op.resultRequest, ops[i]))
		ops[i].Input = op
	}
	return ops
}

// overlapsRowChange reports whether the operation during overlaps a call of Acquire
// or Release by the request.
func (r *recorder) overlapsRowChange(request string, during porcupine.Operation) bool {
	for _, change := range r.rowChanges[request] {
		if change.Call <= during.Return && during.Call <= change.Return {
			return true
		}
	}
	return false
}

func TestModelRejectsBadHistories(t *testing.T) {
	acquire := func(request, result, subject string) operation {
		return operation{action: actAcquire, request: request, result: result, resultRequest: subject}
	}
	run := func(request string) operation { return operation{action: actRun, request: request} }
	finish := func(request, body string) operation {
		return operation{action: actFinish, request: request, body: []byte(body)}
	}
	duplicate := func(request, subject, body string) operation {
		op := acquire(request, "done", subject)
		op.body = bytes.Clone([]byte(body))
		return op
	}
	record := operation{action: actRecord, request: "1"}
	mayHaveRunCall := operation{action: actMayHaveRun, request: "1"}
	release := operation{action: actRelease, request: "1"}
	tests := []struct {
		desc string
		ops  []operation
		want bool
	}{
		{"run, finish, duplicate", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), duplicate("2", "1", "a")}, true},
		{"released and claimed again", []operation{acquire("1", "claimed", ""), release, acquire("2", "claimed", ""), run("2")}, true},
		{"in flight while the outcome is pending", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), acquire("2", "in flight", "1")}, true},
		{"claimed twice", []operation{acquire("1", "claimed", ""), acquire("2", "claimed", "")}, false},
		{"run twice by one owner", []operation{acquire("1", "claimed", ""), run("1"), run("1")}, false},
		{"run without a claim", []operation{acquire("1", "unavailable", ""), run("1")}, false},
		{"claimed again after a run", []operation{acquire("1", "claimed", ""), run("1"), mayHaveRunCall, acquire("2", "claimed", "")}, false},
		{"truncated response", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "ab"), duplicate("2", "1", "a")}, false},
		{"response of another request", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), duplicate("2", "3", "a")}, false},
		{"in flight after the outcome was recorded", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), record, acquire("2", "in flight", "1")}, false},
		{"in flight after another host returned the result", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), duplicate("2", "1", "a"), acquire("3", "in flight", "1")}, false},
		{"in flight after its release", []operation{acquire("1", "claimed", ""), release, acquire("2", "in flight", "1")}, false},
		{"done after MayHaveRun", []operation{acquire("1", "claimed", ""), run("1"), mayHaveRunCall, duplicate("2", "1", "a")}, false},
		{"in flight without an owner", []operation{acquire("2", "in flight", "1")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			rec := newRecorder()
			for client, op := range tt.ops {
				rec.addEnded(client, rec.Tick(), op)
			}
			rec.hosts = map[string]int{"1": 1, "2": 2, "3": 3}
			is.New(t).Equal(storagetest.IsLinearizable(model, rec.history()), tt.want)
		})
	}
}
