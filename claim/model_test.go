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

// action is what an operation of a history does.
type action int

const (
	// actAcquire is a call of Acquire.
	actAcquire action = iota
	// actRun is the fake upstream carrying the request out.
	actRun
	// actFinish, actMayHaveRun and actRelease are calls of the Claim's methods.
	actFinish
	actMayHaveRun
	actRelease
	// actFlush is a successful Flush of the owner's host.
	actFlush
	// actRecord is the outcome's arrival in the table, within a call of Finish
	// or MayHaveRun that returned no error. It comes apart from the outcome
	// itself, which the owner's host tells repeats as soon as it has it.
	actRecord
)

// operation is one operation of a history on one key.
type operation struct {
	action action
	// request is the request that acts.
	request string
	// told is what Acquire said: see describe.
	told string
	// about is the request that the answer is about.
	about string
	// body is the answer given to Finish or got from Acquire.
	body []byte
	// pending says that a method of Claim returned ErrPending.
	pending bool
	// ghost says that about never ran and its row may linger: its Acquire
	// gave no claim, or its Release is pending.
	ghost bool
	// fromOwner says that Acquire was asked on the host of about.
	fromOwner bool
	// lagging says that the host of about may call it in flight although it
	// isn't: it is asking for its claim, or its release isn't recorded yet.
	lagging bool
}

// phase is where the model's key stands.
type phase int

const (
	free phase = iota
	claimed
	ran
	done
	mayHave
)

// keyState is the model's state of one key.
type keyState struct {
	phase phase
	owner string
	body  string
	// durable says that the outcome is known to be in the table, so that no
	// host may answer less.
	durable bool
}

// model is the specification of a key: one owner at a time, one run, the whole
// answer of that run, and no answer that claims less than what is recorded.
var model = porcupine.Model{
	Init:  func() any { return keyState{} },
	Equal: func(a, b any) bool { return a == b },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(keyState), input.(operation))
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

func step(s keyState, op operation) (bool, keyState) {
	mine := s.owner == op.request
	switch op.action {
	case actAcquire:
		return stepAcquire(s, op)
	case actRun:
		s, was := s, s.phase
		s.phase = ran
		return mine && was == claimed, s
	case actFinish:
		next := keyState{phase: done, owner: op.request, body: string(op.body)}
		return mine && s.phase == ran, next
	case actMayHaveRun:
		next := keyState{phase: mayHave, owner: op.request}
		return mine && (s.phase == ran || s.phase == claimed), next
	case actRelease:
		return mine && s.phase == claimed, keyState{}
	case actRecord:
		s.durable = true
		return mine && (s.phase == done || s.phase == mayHave), s
	default:
		s.durable = s.durable || mine
		return true, s
	}
}

func stepAcquire(s keyState, op operation) (bool, keyState) {
	about := s.owner == op.about
	switch op.told {
	case "claimed":
		return s.phase == free, keyState{phase: claimed, owner: op.request}
	case "done":
		// The owner's host answers from memory; from elsewhere the answer
		// shows that the table has it.
		same := s.phase == done && about && s.body == string(op.body)
		s.durable = s.durable || !op.fromOwner
		return same, s
	case "in flight":
		if op.about == "" || op.lagging {
			return true, s
		}
		return stepOpen(s, op, about), s
	case "may have run":
		return s.phase == mayHave && about || stepOpen(s, op, about), s
	default:
		return op.told == "unavailable", s
	}
}

// stepOpen reports whether the outcome of the request that op is about may be
// unknown to the host that answers.
func stepOpen(s keyState, op operation, about bool) bool {
	if s.phase == free {
		return op.ghost
	}
	return about && !s.durable
}

// recorder collects the history of one key and counts its runs.
type recorder struct {
	storagetest.History
	mu   sync.Mutex
	runs int
	// hosts are the hosts that the requests arrived at.
	hosts map[string]int
	// ghosts are the requests that never ran and whose rows may linger.
	ghosts map[string]bool
	// changes are each request's calls of Acquire and Release.
	changes map[string][]porcupine.Operation
}

func newRecorder() *recorder {
	return &recorder{hosts: make(map[string]int), ghosts: make(map[string]bool), changes: make(map[string][]porcupine.Operation)}
}

// end records an operation that has returned.
func (r *recorder) end(client int, start int64, op operation) {
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
		r.changes[op.request] = append(r.changes[op.request], added)
	}
}

func (r *recorder) arrive(request string, host int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[request] = host
	r.ghosts[request] = true // until it gets a claim
}

func (r *recorder) setGhost(request string, ghost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ghosts[request] = ghost
}

// history returns the operations with what is only known at the end.
func (r *recorder) history() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	ops := r.Operations()
	for i := range ops {
		op := ops[i].Input.(operation)
		op.ghost = r.ghosts[op.about]
		op.fromOwner = r.hosts[op.about] == r.hosts[op.request]
		op.lagging = op.fromOwner && (op.ghost || r.isChanging(op.about, ops[i]))
		ops[i].Input = op
	}
	return ops
}

// isChanging reports whether during's time overlaps the request's Acquire or
// Release.
func (r *recorder) isChanging(request string, during porcupine.Operation) bool {
	for _, change := range r.changes[request] {
		if change.Call <= during.Return && during.Call <= change.Return {
			return true
		}
	}
	return false
}

func TestModelRejectsBadHistories(t *testing.T) {
	acquire := func(request, told, about string) operation {
		return operation{action: actAcquire, request: request, told: told, about: about}
	}
	run := func(request string) operation { return operation{action: actRun, request: request} }
	finish := func(request, body string) operation {
		return operation{action: actFinish, request: request, body: []byte(body)}
	}
	repeat := func(request, about, body string) operation {
		op := acquire(request, "done", about)
		op.body = bytes.Clone([]byte(body))
		return op
	}
	record := operation{action: actRecord, request: "1"}
	lost := operation{action: actMayHaveRun, request: "1"}
	release := operation{action: actRelease, request: "1"}
	tests := []struct {
		desc string
		ops  []operation
		want bool
	}{
		{"run, finish, repeat", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), repeat("2", "1", "a")}, true},
		{"released and claimed again", []operation{acquire("1", "claimed", ""), release, acquire("2", "claimed", ""), run("2")}, true},
		{"in flight while the outcome is pending", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), acquire("2", "in flight", "1")}, true},
		{"claimed twice", []operation{acquire("1", "claimed", ""), acquire("2", "claimed", "")}, false},
		{"run twice by one", []operation{acquire("1", "claimed", ""), run("1"), run("1")}, false},
		{"run without a claim", []operation{acquire("1", "unavailable", ""), run("1")}, false},
		{"claimed again after a run", []operation{acquire("1", "claimed", ""), run("1"), lost, acquire("2", "claimed", "")}, false},
		{"part of the answer", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "ab"), repeat("2", "1", "a")}, false},
		{"another's answer", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), repeat("2", "3", "a")}, false},
		{"in flight after the answer was recorded", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), record, acquire("2", "in flight", "1")}, false},
		{"in flight after another host had the answer", []operation{acquire("1", "claimed", ""), run("1"), finish("1", "a"), repeat("2", "1", "a"), acquire("3", "in flight", "1")}, false},
		{"in flight after its release", []operation{acquire("1", "claimed", ""), release, acquire("2", "in flight", "1")}, false},
		{"done after its outcome was given up", []operation{acquire("1", "claimed", ""), run("1"), lost, repeat("2", "1", "a")}, false},
		{"in flight though nobody has it", []operation{acquire("2", "in flight", "1")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			rec := newRecorder()
			for client, op := range tt.ops {
				rec.end(client, rec.Tick(), op)
			}
			rec.hosts = map[string]int{"1": 1, "2": 2, "3": 3}
			is.New(t).Equal(storagetest.IsLinearizable(model, rec.history()), tt.want)
		})
	}
}
