package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// ErrNoManifest means that the host has put no manifest in force yet.
var ErrNoManifest = errors.New("config: no manifest yet")

// StaleError means that the host can't show that its manifest is the newest
// accepted one, so it must take no new work.
type StaleError struct {
	// Epoch is what the host has in force.
	Epoch uint64
	// Newest is the newest epoch that the host has heard of; above Epoch it is
	// one that could not be loaded yet.
	Newest uint64
	// Age is how long ago the host's evidence was taken; negative if it never
	// had any.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Newest > e.Epoch {
		return fmt.Sprintf("config: epoch %d is accepted, epoch %d is in force", e.Newest, e.Epoch)
	}
	if e.Age < 0 {
		return fmt.Sprintf("config: no evidence yet that epoch %d is the newest", e.Epoch)
	}
	return fmt.Sprintf("config: the evidence that epoch %d is the newest is %s old", e.Epoch, e.Age.Round(time.Millisecond))
}

// view is what a host knows. It is immutable; changes replace it.
//
// All times carry the monotonic clock, and each is the START of the read or
// question that gave the evidence: what was true at some time after it was
// true no earlier, however late the answer came and however long the process
// was stopped in between.
type view struct {
	policy *manifest.Policy
	// installed is when policy was put in force.
	installed time.Time
	// word is the start of the newest read of the table, own or a peer's, that
	// showed no head above policy; zero if there was none.
	word time.Time
	// quorum is the start of the newest question to which a majority of the
	// known hosts answered that they have policy in force and know no newer
	// head; zero if there was none.
	quorum time.Time
	// newest is the newest head heard of, at least that of policy.
	newest Head
	// newestWord is the start of the newest read that showed newest.
	newestWord time.Time
}

// epoch is what is in force, zero if nothing is.
func (v *view) epoch() uint64 {
	if v.policy == nil {
		return 0
	}
	return v.policy.Epoch
}

// evidence is the time at which policy was surely the newest manifest, as far
// as the freshness rule goes.
func (v *view) evidence() time.Time {
	return later(v.word, v.quorum)
}

// check applies the freshness rule at a time.
func (v *view) check(now time.Time, bound time.Duration) error {
	if v.policy == nil {
		return ErrNoManifest
	}
	evidence := v.evidence()
	if !evidence.IsZero() && now.Sub(evidence) <= bound {
		return nil
	}
	stale := &StaleError{Epoch: v.policy.Epoch, Newest: v.newest.Epoch, Age: -1}
	if !evidence.IsZero() {
		stale.Age = now.Sub(evidence)
	}
	return stale
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reasons why a statement about the head was set aside.
var (
	// ErrFork means that two digests were stated for one epoch.
	ErrFork = errors.New("config: two digests for one epoch")
	// ErrWentBack means that the table showed an older head than one that had
	// been in force before the read began.
	ErrWentBack = errors.New("config: the table went back")
)

// withHead returns the view after a statement that head was accepted.
func (v view) withHead(head Head) (view, error) {
	if head.Epoch == 0 || head.Epoch < v.newest.Epoch {
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		return v, v.sameDigest(head)
	}
	v.newest = head
	v.newestWord = time.Time{}
	return v, nil
}

func (v view) sameDigest(head Head) error {
	if head.Digest == v.newest.Digest {
		return nil
	}
	return fmt.Errorf("%w: epoch %d is %s and %s", ErrFork, head.Epoch, v.newest.Digest, head.Digest)
}

// withOwnRead is withWord for this host's own read. The table's word on an
// epoch that isn't in force yet replaces what a peer said of it.
func (v view) withOwnRead(head Head, at time.Time) (view, error) {
	err := error(nil)
	if head.Epoch == v.newest.Epoch && head.Epoch > v.epoch() {
		err = v.sameDigest(head)
		v.newest = head
	}
	v, wordErr := v.withWord(head, at)
	return v, errors.Join(err, wordErr)
}

// withWord returns the view after a read of the table that started at a time
// and showed head. A head below the one in force is evidence too, as nothing
// newer had been accepted then, unless the one in force had been accepted
// before the read started: then the table has lost it.
func (v view) withWord(head Head, at time.Time) (view, error) {
	v, err := v.withHead(head)
	if err != nil {
		return v, err
	}
	if head.Epoch < v.epoch() && at.After(v.installed) {
		return v, fmt.Errorf("%w: it shows epoch %d, epoch %d is in force", ErrWentBack, head.Epoch, v.epoch())
	}
	if head.Epoch <= v.epoch() {
		v.word = later(v.word, at)
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		v.newestWord = later(v.newestWord, at)
	}
	return v, nil
}

// withPolicy returns the view after a manifest was loaded; an older one than
// that in force changes nothing. Evidence against heads above the older
// policy stands for the newer one as well.
func (v view) withPolicy(p *manifest.Policy, now time.Time) view {
	if p.Epoch <= v.epoch() {
		return v
	}
	v.policy = p
	v.installed = now
	if p.Epoch >= v.newest.Epoch {
		v.word = later(v.word, v.newestWord)
	}
	return v
}

// PeerView is what another host answered about its manifest.
type PeerView struct {
	Host string `json:"host"`
	// Epoch and Digest are what the host has in force; zero if nothing is.
	Epoch  uint64 `json:"epoch"`
	Digest string `json:"digest"`
	// Newest is the newest epoch that the host has heard of, if that is above
	// Epoch; else it may be zero.
	Newest uint64 `json:"newest"`
	// HasWord says that the host has word from the table, and WordAge how old
	// that was when it gave this view, counted from the start of the read.
	HasWord bool          `json:"has_word"`
	WordAge time.Duration `json:"word_age_ns"`
	// Age is how long before Ask was called the host gave this view; zero if
	// it was asked by this call.
	Age time.Duration `json:"age_ns"`
}

func (p PeerView) head() Head { return Head{Epoch: p.Epoch, Digest: p.Digest} }

// quorumAge looks for a majority of the known hosts, this one included, that
// has epoch and digest in force. It returns the age of that evidence before
// the question began; ok is false without a majority, or if any answer shows
// a newer epoch. One host alone is no evidence about others.
func quorumAge(epoch uint64, digest string, known int, peers []PeerView) (age time.Duration, ok bool) {
	agreeing := map[string]time.Duration{}
	for _, p := range peers {
		if p.Epoch > epoch || p.Newest > epoch {
			return 0, false
		}
		if p.Epoch != epoch || p.Digest != digest {
			continue
		}
		old, seen := agreeing[p.Host]
		if !seen || p.Age < old {
			agreeing[p.Host] = p.Age
		}
	}
	needed := known / 2 // a majority beside this host itself
	if needed < 1 || len(agreeing) < needed {
		return 0, false
	}
	ages := make([]time.Duration, 0, len(agreeing))
	for _, a := range agreeing {
		ages = append(ages, a)
	}
	slices.Sort(ages)
	return ages[needed-1], true
}
