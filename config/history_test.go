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

// call is a submission, or a read of the head if digest is empty.
type call struct{ parent, digest string }

type outcome int

const (
	accepted outcome = iota
	already
	conflict
	noEffect
	unknown
)

// answer is what a call returned; epoch and digest are those of the head that
// it named.
type answer struct {
	outcome outcome
	epoch   uint64
	digest  string
}

// chain is the model's state: the digests of the accepted manifests, joined.
type chain string

func (c chain) digests() []string { return strings.Fields(string(c)) }

func (c chain) head() (uint64, string) {
	digests := c.digests()
	if len(digests) == 0 {
		return 0, ""
	}
	return uint64(len(digests)), digests[len(digests)-1]
}

func (c chain) at(epoch uint64) string {
	if digests := c.digests(); 0 < epoch && epoch <= uint64(len(digests)) {
		return digests[epoch-1]
	}
	return ""
}

func (c chain) add(digest string) chain { return chain(strings.TrimSpace(string(c) + " " + digest)) }

// step is the sequential specification of the head.
func (c chain) step(in call, out answer) []chain {
	epoch, head := c.head()
	matches := epoch == out.epoch && head == out.digest
	known := strings.Contains(string(c), in.digest)
	extends := in.digest != "" && in.parent == head && !known
	same := []chain{c}
	switch {
	case out.outcome == noEffect:
		return same
	case out.outcome == unknown && extends:
		return []chain{c, c.add(in.digest)}
	case out.outcome == unknown:
		return same
	case in.digest == "" && matches: // a read
		return same
	case out.outcome == accepted && extends && out.epoch == epoch+1 && out.digest == in.digest:
		return []chain{c.add(in.digest)}
	case out.outcome == already && out.digest == in.digest && c.at(out.epoch) == in.digest:
		return same
	case out.outcome == conflict && matches && !known && in.parent != head:
		return same
	default:
		return nil
	}
}

var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{chain("")} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, c := range state.(chain).step(in.(call), out.(answer)) {
			next = append(next, c)
		}
		return next
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// record runs a call as an operation of the history.
func record(h *storagetest.History, client int, in call, run func() answer) answer {
	start := h.Tick()
	out := run()
	if out.outcome == unknown {
		h.Open(client, start, in, out) // its effect may still come
	} else {
		h.End(client, start, in, out)
	}
	return out
}

// submitter is one operator's tool with a connection of its own to the table.
type submitter struct {
	client  int
	store   *config.Store
	table   *faulty.Table
	random  *rand.Rand
	history *storagetest.History
}

// disturb sets a fault for the coming calls.
func (s *submitter) disturb() {
	s.table.Heal()
	n := 1 + s.random.IntN(3)
	switch s.random.IntN(6) {
	case 0:
		s.table.LoseNext(n)
	case 1:
		s.table.DropNext(n)
	case 2:
		s.table.DelayNext(n, time.Duration(s.random.IntN(3000))*time.Millisecond)
	case 3:
		s.table.DelayNext(100, 10*time.Second)
	case 4:
		s.table.SetDelay(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
}

// race reads the head and submits a successor, several times. Two submitters
// often submit the same document.
func (s *submitter) race(ctx context.Context, rounds int) {
	for round := range rounds {
		s.disturb()
		head := record(s.history, s.client, call{}, func() answer { return s.read(ctx) })
		if head.outcome == noEffect {
			continue
		}
		data := document(head.digest, fmt.Sprintf("build-%d", s.random.IntN(2)))
		in := call{parent: head.digest, digest: digestOf(data)}
		token := fmt.Sprintf("%d/%d", s.client, round)
		record(s.history, s.client, in, func() answer { return s.submit(ctx, data, token) })
	}
}

func (s *submitter) read(ctx context.Context) answer {
	head, err := s.store.Head(ctx)
	if err != nil {
		return answer{outcome: noEffect}
	}
	return answer{epoch: head.Epoch, digest: head.Digest}
}

func (s *submitter) submit(ctx context.Context, data []byte, token string) answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(1+s.random.IntN(5))*time.Second)
	defer cancel()
	result, err := s.store.Submit(ctx, data, token)
	var lost *config.ConflictError
	switch {
	case err == nil && result.Already:
		return answer{already, result.Head.Epoch, result.Head.Digest}
	case err == nil:
		return answer{accepted, result.Head.Epoch, result.Head.Digest}
	case errors.As(err, &lost):
		return answer{conflict, lost.Head.Epoch, lost.Head.Digest}
	case errors.Is(err, storage.ErrUnknown):
		return answer{outcome: unknown}
	default:
		return answer{outcome: noEffect}
	}
}

func TestRacingSubmitsAreLinearizable(t *testing.T) {
	const (
		seeds      = 150
		submitters = 4
		rounds     = 5
	)
	counts := map[outcome]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench()
			h := new(storagetest.History)
			var group sync.WaitGroup
			for client := range submitters {
				table := faulty.New(b.inner)
				s := &submitter{
					client: client, table: table, history: h,
					store:  config.NewStore(table, b.objects),
					random: rand.New(rand.NewPCG(seed, uint64(client))),
				}
				group.Go(func() { s.race(t.Context(), rounds) })
			}
			group.Wait()
			time.Sleep(time.Minute) // late effects arrive
			last := &submitter{client: submitters, store: b.store}
			record(h, submitters, call{}, func() answer { return last.read(t.Context()) })
			storagetest.CheckModel(t, fmt.Sprint("seed ", seed), headModel.ToModel(), h.Operations())
			for _, op := range h.Operations() {
				if op.Input.(call).digest != "" {
					counts[op.Output.(answer).outcome]++
				}
			}
		})
	}
	t.Logf("%d histories: %d accepted, %d already, %d conflicts, %d without effect, %d unknown", seeds,
		counts[accepted], counts[already], counts[conflict], counts[noEffect], counts[unknown])
}

// The checker itself: histories that must not pass.
func TestCheckerRejectsBadHistories(t *testing.T) {
	one := call{digest: "one"}
	two := call{parent: "one", digest: "two"}
	other := call{parent: "one", digest: "other"}
	for _, tc := range []struct {
		desc  string
		calls []call
		outs  []answer
		want  bool
	}{
		{"a chain", []call{one, two, {}}, []answer{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 2, "two"}}, true},
		{"two winners on one parent", []call{one, two, other}, []answer{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 3, "other"}}, false},
		{"a second epoch for one document", []call{one, one}, []answer{{accepted, 1, "one"}, {accepted, 2, "one"}}, false},
		{"an effect that was denied", []call{one, two, {}}, []answer{{accepted, 1, "one"}, {noEffect, 0, ""}, {accepted, 2, "two"}}, false},
		{"a lost answer told as a conflict with itself", []call{one, two}, []answer{{accepted, 1, "one"}, {conflict, 2, "two"}}, false},
		{"a head that goes back", []call{one, two, {}}, []answer{{accepted, 1, "one"}, {accepted, 2, "two"}, {accepted, 1, "one"}}, false},
		{"an unknown outcome with its effect", []call{one, two, {}}, []answer{{accepted, 1, "one"}, {unknown, 0, ""}, {accepted, 2, "two"}}, true},
		{"already, of a document that never was", []call{one, two}, []answer{{accepted, 1, "one"}, {already, 1, "two"}}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			h := new(storagetest.History)
			for i, in := range tc.calls {
				record(h, 0, in, func() answer { return tc.outs[i] })
			}
			is.New(t).Equal(storagetest.IsLinearizable(headModel.ToModel(), h.Operations()), tc.want)
		})
	}
}
