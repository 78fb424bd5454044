package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// ErrNoManifest means that the host has no manifest in force yet.
var ErrNoManifest = errors.New("config: no manifest yet")

// StaleError means that the host has no recent evidence that its manifest is the
// newest accepted one, so it must not accept new requests.
type StaleError struct {
	// Epoch is the epoch that the host has in force.
	Epoch uint64
	// Newest is the newest epoch that the host has learned of. If it is greater
	// than Epoch, its manifest couldn't be loaded yet.
	Newest uint64
	// Age is the age of the host's newest evidence; negative if there was none.
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

// view is a host's manifest in force and the evidence that it is the newest one. A
// view is immutable; each update replaces it.
//
// All times carry a monotonic clock reading. Each is the START of the table read or
// peer query that gave the evidence: the response describes the state at some later
// time, so it is no older than that, however late it arrives and however long the
// process was suspended in between.
type view struct {
	policy *manifest.Policy
	// installed is the time at which policy was put in force.
	installed time.Time
	// tableRead is the start of the newest read of the table, by this host or a
	// peer, that returned no head above policy; zero if there was none.
	tableRead time.Time
	// quorumAsked is the start of the newest peer query in which a majority of
	// the known hosts reported that they have policy in force and no newer head;
	// zero if there was none.
	quorumAsked time.Time
	// newest is the newest head that the host has learned of, at least policy's.
	newest Head
	// newestRead is the start of the newest table read that returned newest.
	newestRead time.Time
}

// epoch returns the epoch in force, zero if there is none.
func (v *view) epoch() uint64 {
	if v.policy == nil {
		return 0
	}
	return v.policy.Epoch
}

// evidence returns the latest time at which, by the freshness rule, policy was
// the newest manifest.
func (v *view) evidence() time.Time {
	return later(v.tableRead, v.quorumAsked)
}

// check applies the freshness rule: it returns nil if the evidence at time now is
// no older than bound.
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

// Errors of reports about the head that were ignored.
var (
	// ErrFork means that two different digests were reported for one epoch.
	ErrFork = errors.New("config: two digests for one epoch")
	// ErrTableRolledBack means that the table returned an older head than one
	// that was in force before the read started.
	ErrTableRolledBack = errors.New("config: the table returned an older head")
)

// withHead returns the view after a report that head was accepted.
func (v view) withHead(head Head) (view, error) {
	if head.Epoch == 0 || head.Epoch < v.newest.Epoch {
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		return v, v.sameDigest(head)
	}
	v.newest = head
	v.newestRead = time.Time{}
	return v, nil
}

func (v view) sameDigest(head Head) error {
	if head.Digest == v.newest.Digest {
		return nil
	}
	return fmt.Errorf("%w: epoch %d has digests %s and %s", ErrFork, head.Epoch, v.newest.Digest, head.Digest)
}

// withOwnTableRead is withTableRead for this host's own reads. For an epoch that
// isn't in force yet, the head in the table replaces the one that a peer reported.
func (v view) withOwnTableRead(head Head, at time.Time) (view, error) {
	err := error(nil)
	if head.Epoch == v.newest.Epoch && head.Epoch > v.epoch() {
		err = v.sameDigest(head)
		v.newest = head
	}
	v, readErr := v.withTableRead(head, at)
	return v, errors.Join(err, readErr)
}

// withTableRead returns the view after a read of the table that started at time at
// and returned head. A head below the one in force is evidence too, as nothing newer
// had been accepted at that time. But if the one in force was installed, and so
// accepted, before the read started, the table has lost it.
func (v view) withTableRead(head Head, at time.Time) (view, error) {
	v, err := v.withHead(head)
	if err != nil {
		return v, err
	}
	if head.Epoch < v.epoch() && at.After(v.installed) {
		return v, fmt.Errorf("%w: epoch %d, but epoch %d is in force", ErrTableRolledBack, head.Epoch, v.epoch())
	}
	if head.Epoch <= v.epoch() {
		v.tableRead = later(v.tableRead, at)
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		v.newestRead = later(v.newestRead, at)
	}
	return v, nil
}

// withPolicy returns the view after a manifest was loaded; one that is older than
// the manifest in force changes nothing. Evidence that there was no head above the
// previous policy also holds for the new one.
func (v view) withPolicy(p *manifest.Policy, now time.Time) view {
	if p.Epoch <= v.epoch() {
		return v
	}
	v.policy = p
	v.installed = now
	if p.Epoch >= v.newest.Epoch {
		v.tableRead = later(v.tableRead, v.newestRead)
	}
	return v
}

// PeerView is another host's report about its manifest.
type PeerView struct {
	Host string `json:"host"`
	// Epoch and Digest name the manifest in force; zero if there is none.
	Epoch  uint64 `json:"epoch"`
	Digest string `json:"digest"`
	// Newest is the newest epoch that the host has learned of. It may be zero if
	// that isn't above Epoch.
	Newest uint64 `json:"newest"`
	// HasTableRead is true if the host has evidence from a table read. TableReadAge is the
	// age of that evidence when the host made this report, counted from the
	// start of the read.
	HasTableRead bool          `json:"has_word"`
	TableReadAge time.Duration `json:"word_age_ns"`
	// Age is how long before the call of QueryViews the host made this report; zero if
	// this call requested it.
	Age time.Duration `json:"age_ns"`
}

func (p PeerView) head() Head { return Head{Epoch: p.Epoch, Digest: p.Digest} }

// quorumAge checks whether a majority of the known hosts, this one included, has
// epoch and digest in force. It returns the age of that evidence at the start of
// the peer query. ok is false if there is no majority or if any peer reports a newer
// epoch. A single host is no evidence about others.
func quorumAge(epoch uint64, digest string, known int, peers []PeerView) (age time.Duration, ok bool) {
	ageByHost := map[string]time.Duration{}
	for _, p := range peers {
		if p.Epoch > epoch || p.Newest > epoch {
			return 0, false
		}
		if p.Epoch != epoch || p.Digest != digest {
			continue
		}
		newest, seen := ageByHost[p.Host]
		if !seen || p.Age < newest {
			ageByHost[p.Host] = p.Age
		}
	}
	needed := known / 2 // peers that make a majority together with this host
	if needed < 1 || len(ageByHost) < needed {
		return 0, false
	}
	ages := make([]time.Duration, 0, len(ageByHost))
	for _, a := range ageByHost {
		ages = append(ages, a)
	}
	slices.Sort(ages)
	return ages[needed-1], true
}
