package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/storagetest"
)

// call is a call in the history: a submission of the document with digest and parent, or
// a read of the head if digest is empty.
type call struct{ parent, digest string }

type outcome int

const (
	accepted outcome = iota
	alreadyAccepted
	conflict
	noEffect
	unknown
)

// callResult is what a call returned; epoch and digest are those of the returned head.
type callResult struct {
	outcome outcome
	epoch   uint64
	digest  string
}

// acceptedDigests is the model's state: the digests of the accepted manifests in order,
// joined by spaces.
type acceptedDigests string

func (c acceptedDigests) digests() []string { return strings.Fields(string(c)) }

func (c acceptedDigests) head() (uint64, string) {
	digests := c.digests()
	if len(digests) == 0 {
		return 0, ""
	}
	return uint64(len(digests)), digests[len(digests)-1]
}

func (c acceptedDigests) at(epoch uint64) string {
	if digests := c.digests(); 0 < epoch && epoch <= uint64(len(digests)) {
		return digests[epoch-1]
	}
	return ""
}

func (c acceptedDigests) add(digest string) acceptedDigests {
	return acceptedDigests(strings.TrimSpace(string(c) + " " + digest))
}

// step is the sequential specification of the head. It returns the states that are possible
// after the call in that returned out; none if out isn't possible.
func (c acceptedDigests) step(in call, out callResult) []acceptedDigests {
	epoch, head := c.head()
	matches := epoch == out.epoch && head == out.digest
	known := strings.Contains(string(c), in.digest)
	extends := in.digest != "" && in.parent == head && !known
	same := []acceptedDigests{c}
	switch {
	case out.outcome == noEffect:
		return same
	case out.outcome == unknown && extends:
		return []acceptedDigests{c, c.add(in.digest)}
	case out.outcome == unknown:
		return same
	case in.digest == "" && matches: // a read
		return same
	case out.outcome == accepted && extends && out.epoch == epoch+1 && out.digest == in.digest:
		return []acceptedDigests{c.add(in.digest)}
	case out.outcome == alreadyAccepted && out.digest == in.digest && c.at(out.epoch) == in.digest:
		return same
	case out.outcome == conflict && matches && !known && in.parent != head:
		return same
	default:
		return nil
	}
}

var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{acceptedDigests("")} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, c := range state.(acceptedDigests).step(in.(call), out.(callResult)) {
			next = append(next, c)
		}
		return next
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// record runs a call and adds it to the history.
func record(h *storagetest.History, client int, in call, run func() callResult) callResult {
	start := h.Tick()
	out := run()
	if out.outcome == unknown {
		h.AddPending(client, start, in, out) // the call may still take effect
	} else {
		h.AddCompleted(client, start, in, out)
	}
	return out
}

// submitter is a client with its own connection to the table.
type submitter struct {
	client  int
	store   *config.Store
	table   *faulty.Table
	random  *rand.Rand
	history *storagetest.History
}

// injectFault sets a random table fault, or none, for the next calls.
func (s *submitter) injectFault() {
	s.table.ClearFaults()
	n := 1 + s.random.IntN(3)
	switch s.random.IntN(6) {
	case 0:
		s.table.LoseNextResponses(n)
	case 1:
		s.table.DropNextCommits(n)
	case 2:
		s.table.DelayNextCommits(n, time.Duration(s.random.IntN(3000))*time.Millisecond)
	case 3:
		s.table.DelayNextCommits(100, 10*time.Second)
	case 4:
		s.table.SetDelay(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
}

// submitRounds reads the head and submits a successor, once per round. Submitters often
// submit the same document, since there are only two documents per parent.
func (s *submitter) submitRounds(ctx context.Context, rounds int) {
	for round := range rounds {
		s.injectFault()
		head := record(s.history, s.client, call{}, func() callResult { return s.read(ctx) })
		if head.outcome == noEffect {
			continue
		}
		data := document(head.digest, fmt.Sprintf("build-%d", s.random.IntN(2)))
		in := call{parent: head.digest, digest: digestOf(data)}
		token := fmt.Sprintf("%d/%d", s.client, round)
		record(s.history, s.client, in, func() callResult { return s.submit(ctx, data, token) })
	}
}

func (s *submitter) read(ctx context.Context) callResult {
	head, err := s.store.Head(ctx)
	if err != nil {
		return callResult{outcome: noEffect}
	}
	return callResult{epoch: head.Epoch, digest: head.Digest}
}

func (s *submitter) submit(ctx context.Context, data []byte, token string) callResult {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(1+s.random.IntN(5))*time.Second)
	defer cancel()
	result, err := s.store.Submit(ctx, data, token)
	var conflictErr *config.ConflictError
	switch {
	case err == nil && result.AlreadyAccepted:
		return callResult{alreadyAccepted, result.Head.Epoch, result.Head.Digest}
	case err == nil:
		return callResult{accepted, result.Head.Epoch, result.Head.Digest}
	case errors.As(err, &conflictErr):
		return callResult{conflict, conflictErr.Head.Epoch, conflictErr.Head.Digest}
	case errors.Is(err, storage.ErrUnknown):
		return callResult{outcome: unknown}
	default:
		return callResult{outcome: noEffect}
	}
}

func TestConcurrentSubmitsAreLinearizable(t *testing.T) {
	const (
		seeds      = 150
		submitters = 4
		rounds     = 5
	)
	counts := map[outcome]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			h := new(storagetest.History)
			var group sync.WaitGroup
			for client := range submitters {
				table := faulty.NewTable(f.rawTable)
				s := &submitter{
					client: client, table: table, history: h,
					store:  config.NewStore(table, f.objects),
					random: rand.New(rand.NewPCG(seed, uint64(client))),
				}
				group.Go(func() { s.submitRounds(t.Context(), rounds) })
			}
			group.Wait()
			time.Sleep(time.Minute) // until delayed transactions have taken effect
			last := &submitter{client: submitters, store: f.store}
			record(h, submitters, call{}, func() callResult { return last.read(t.Context()) })
			storagetest.CheckModel(t, fmt.Sprint("seed ", seed), headModel.ToModel(), h.Operations())
			for _, op := range h.Operations() {
				if op.Input.(call).digest != "" {
					counts[op.Output.(callResult).outcome]++
				}
			}
		})
	}
	t.Logf("%d histories: %d accepted, %d already accepted, %d conflicts, %d without effect, %d unknown", seeds,
		counts[accepted], counts[alreadyAccepted], counts[conflict], counts[noEffect], counts[unknown])
}

// The model must reject histories that aren't linearizable.
func TestModelRejectsBadHistories(t *testing.T) {
	one := call{digest: "one"}
	two := call{parent: "one", digest: "two"}
	other := call{parent: "one", digest: "other"}
	for _, tc := range []struct {
		desc  string
		calls []call
		outs  []callResult
		want  bool
	}{
		{"two accepted in order", []call{one, two, {}}, []callResult{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 2, "two"}}, true},
		{"two accepted with one parent", []call{one, two, other}, []callResult{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 3, "other"}}, false},
		{"a second epoch for one document", []call{one, one}, []callResult{{accepted, 1, "one"}, {accepted, 2, "one"}}, false},
		{"an effect of a call that reported none", []call{one, two, {}}, []callResult{{accepted, 1, "one"}, {noEffect, 0, ""}, {accepted, 2, "two"}}, false},
		{"a conflict with the submitted document itself", []call{one, two}, []callResult{{accepted, 1, "one"}, {conflict, 2, "two"}}, false},
		{"a head that returns to an earlier epoch", []call{one, two, {}}, []callResult{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 1, "one"}}, false},
		{"an unknown outcome with its effect", []call{one, two, {}}, []callResult{{accepted, 1, "one"}, {unknown, 0, ""}, {accepted, 2, "two"}}, true},
		{"already accepted, for a document that was never accepted", []call{one, two}, []callResult{{accepted, 1, "one"}, {alreadyAccepted, 1, "two"}}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			h := new(storagetest.History)
			for i, in := range tc.calls {
				record(h, 0, in, func() callResult { return tc.outs[i] })
			}
			is.New(t).Equal(storagetest.IsLinearizable(headModel.ToModel(), h.Operations()), tc.want)
		})
	}
}
