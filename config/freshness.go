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
	// than Epoch, the host hasn't loaded that epoch's manifest yet.
	Newest uint64
	// Age is the age of the host's newest evidence; negative if it has none.
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
// All times carry a monotonic clock reading. The time of evidence is the START of the
// table read or peer query that returned it. The response describes the state at a time
// after that start, so the evidence is never older than its time states, however late
// the response arrives and however long the process was suspended in between.
type view struct {
	policy *manifest.Policy
	// installedAt is the time at which policy was put in force.
	installedAt time.Time
	// tableReadAt is the start of the newest read of the table, by this host or a peer,
	// that returned no newer head than that of policy. It is zero if there was no such read.
	tableReadAt time.Time
	// quorumQueriedAt is a time at which a majority of the member hosts had policy in
	// force and no newer head, according to a peer query: the start of the query less
	// the age of the reports. It is zero if no query has shown that.
	quorumQueriedAt time.Time
	// newest is the newest head that the host has learned of; its epoch isn't below
	// that of policy.
	newest Head
	// newestReadAt is the start of the newest table read that returned the head
	// newest.
	newestReadAt time.Time
}

// epoch returns the epoch in force, zero if there is none.
func (v *view) epoch() uint64 {
	if v.policy == nil {
		return 0
	}
	return v.policy.Epoch
}

// evidenceTime returns the latest time for which the host has evidence that policy was the
// newest manifest. It returns the zero time if there is none.
func (v *view) evidenceTime() time.Time {
	return latest(v.tableReadAt, v.quorumQueriedAt)
}

// check applies the freshness rule: it returns nil if the newest evidence that policy is
// the newest manifest is no older than bound at time now.
func (v *view) check(now time.Time, bound time.Duration) error {
	if v.policy == nil {
		return ErrNoManifest
	}
	evidenceAt := v.evidenceTime()
	if !evidenceAt.IsZero() && now.Sub(evidenceAt) <= bound {
		return nil
	}
	stale := &StaleError{Epoch: v.policy.Epoch, Newest: v.newest.Epoch, Age: -1}
	if !evidenceAt.IsZero() {
		stale.Age = now.Sub(evidenceAt)
	}
	return stale
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Errors for reports about the head that contradict what the host has learned before.
var (
	// ErrFork means that two different digests were reported for one epoch.
	ErrFork = errors.New("config: two digests for one epoch")
	// ErrTableRolledBack means that the table returned an older head than the one
	// that the host had in force before the read started.
	ErrTableRolledBack = errors.New("config: the table returned an older head")
)

// withHead returns the view after a report that head was accepted.
func (v view) withHead(head Head) (view, error) {
	if head.Epoch == 0 || head.Epoch < v.newest.Epoch {
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		return v, v.checkSameDigest(head)
	}
	v.newest = head
	v.newestReadAt = time.Time{}
	return v, nil
}

func (v view) checkSameDigest(head Head) error {
	if head.Digest == v.newest.Digest {
		return nil
	}
	return fmt.Errorf("%w: epoch %d has digests %s and %s", ErrFork, head.Epoch, v.newest.Digest, head.Digest)
}

// withOwnTableRead returns the same view as withTableRead, for a read by this host itself.
// For an epoch that isn't in force yet, the head that the table returned replaces the head
// that a peer reported.
func (v view) withOwnTableRead(head Head, at time.Time) (view, error) {
	err := error(nil)
	if head.Epoch == v.newest.Epoch && head.Epoch > v.epoch() {
		err = v.checkSameDigest(head)
		v.newest = head
	}
	v, readErr := v.withTableRead(head, at)
	return v, errors.Join(err, readErr)
}

// withTableRead returns the view after a read of the table that started at time at
// and returned head. A head below that of the manifest in force is evidence, too,
// since nothing newer than that manifest had been accepted at that time. But if the
// manifest was put in force, and so had been accepted, before the read started, the
// table has lost it, and the view stays as it is.
func (v view) withTableRead(head Head, at time.Time) (view, error) {
	v, err := v.withHead(head)
	if err != nil {
		return v, err
	}
	if head.Epoch < v.epoch() && at.After(v.installedAt) {
		return v, fmt.Errorf("%w: epoch %d, but epoch %d is in force", ErrTableRolledBack, head.Epoch, v.epoch())
	}
	if head.Epoch <= v.epoch() {
		v.tableReadAt = latest(v.tableReadAt, at)
		return v, nil
	}
	if head.Epoch == v.newest.Epoch {
		v.newestReadAt = latest(v.newestReadAt, at)
	}
	return v, nil
}

// withPolicy returns the view after the manifest p was loaded. A manifest that isn't
// newer than the one in force changes nothing. The view keeps its evidence times: if there
// was no newer head than that of the previous manifest, there was none newer than p either.
func (v view) withPolicy(p *manifest.Policy, now time.Time) view {
	if p.Epoch <= v.epoch() {
		return v
	}
	v.policy = p
	v.installedAt = now
	if p.Epoch >= v.newest.Epoch {
		v.tableReadAt = latest(v.tableReadAt, v.newestReadAt)
	}
	return v
}

// PeerView is another host's report about its manifest.
type PeerView struct {
	Host string `json:"host"`
	// Epoch and Digest name the manifest in force. They are zero and empty if there is none.
	Epoch  uint64 `json:"epoch"`
	Digest string `json:"digest"`
	// Newest is the newest epoch that the host has learned of. It may be zero if
	// the host has learned of no epoch above Epoch.
	Newest uint64 `json:"newest"`
	// HasTableRead is true if the host has evidence from a table read. TableReadAge is the
	// age of that evidence when the host made this report, counted from the
	// start of the read.
	HasTableRead bool          `json:"has_word"`
	TableReadAge time.Duration `json:"word_age_ns"`
	// Age is how long before the call of QueryViews the host made this report. It is zero
	// if the host made it in response to that call.
	Age time.Duration `json:"age_ns"`
}

func (p PeerView) head() Head { return Head{Epoch: p.Epoch, Digest: p.Digest} }

// quorumAge checks whether a majority of the hostCount member hosts, this host included,
// has the manifest with epoch and digest in force. It returns how old that evidence was
// at the start of the peer query. ok is false if there is no majority or if any peer
// reports a newer epoch. If this host is the only member, ok is false, too.
func quorumAge(epoch uint64, digest string, hostCount int, peers []PeerView) (age time.Duration, ok bool) {
	ageByHost := map[string]time.Duration{}
	for _, p := range peers {
		if p.Epoch > epoch || p.Newest > epoch {
			return 0, false
		}
		if p.Epoch != epoch || p.Digest != digest {
			continue
		}
		lowest, seen := ageByHost[p.Host]
		if !seen || p.Age < lowest {
			ageByHost[p.Host] = p.Age
		}
	}
	needed := hostCount / 2 // peers that make a majority together with this host
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
