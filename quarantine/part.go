package quarantine

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Requests that have a part of their prompts in common may all terminate upstreams, although no two of them
// are alike. A part is tracked like a request, under a digest of its own. Most parts are in many sound
// requests, and a part that terminates upstreams is never alone in its requests, so that more evidence is
// needed against a part than against a request.

// partMarker begins the digests of parts. A request's digest begins so once in four billion.
const partMarker = "part"

const (
	// minPartEvents is the minimum number of events for a verdict on a part.
	minPartEvents = 4
	// soundSurvivals is the number of survivals within survivalRetention from which on a part is sound. A
	// single survival can be an upstream's termination that no host noticed.
	soundSurvivals = 3
	// minOtherAnswers is the number of survivals of other parts, from contrastWindow before the first loss
	// with a part on, that a verdict on the part needs. Where all requests are lost, each part that they
	// have in common looks like the cause.
	minOtherAnswers = 10
	contrastWindow  = 10 * time.Second
	// maxPartAnswers bounds the survivals of parts that are kept for that.
	maxPartAnswers = 128
)

// PartDigest returns the digest of a part of prompts, by the id that callers give it. It is the same for all
// accounts, since a part terminates upstreams whoever sends it.
func PartDigest(id string) Digest {
	sum := sha256.Sum256([]byte(strings.ToLower(strings.TrimSpace(id))))
	var d Digest
	copy(d[copy(d[:], partMarker):], sum[:])
	return d
}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return string(d[:len(partMarker)]) == partMarker }

// survivals holds the time of the last survival of a request or part, and their number while no two are
// further apart than survivalRetention.
type survivals struct {
	lastAt time.Duration
	count  int
}

// IsSound reports whether the digest is that of a part that was answered several times within
// survivalRetention. Such a part isn't a suspect.
func (t *Tracker) IsSound(d Digest, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSound(d, now)
}

func (t *Tracker) isSound(d Digest, now time.Duration) bool {
	if !d.IsPart() {
		return false
	}
	s, ok := t.survived.Peek(d)
	return ok && s.count >= soundSurvivals && now-s.lastAt < survivalRetention
}

// partAnswer is a survival of a part.
type partAnswer struct {
	part Digest
	at   time.Duration
}

// recordPartAnswer records a survival of a part. The lock must be held.
func (t *Tracker) recordPartAnswer(d Digest, now time.Duration) {
	t.partAnswers = append(t.partAnswers, partAnswer{d, now})
	t.partAnswers = t.partAnswers[max(0, len(t.partAnswers)-maxPartAnswers):]
}

// HasContrast reports whether enough requests without the part were answered to tell it from what all
// requests have in common. A request needs no contrast.
func (t *Tracker) HasContrast(d Digest, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.lostRepeatedly[d]
	return !d.IsPart() || h == nil || t.hasContrast(d, t.unexplainedLosses(h, now))
}

func (t *Tracker) hasContrast(d Digest, losses []timedLoss) bool {
	if len(losses) == 0 {
		return false
	}
	n := 0
	for _, a := range t.partAnswers {
		if a.part != d && a.at > losses[0].at-contrastWindow {
			n++
		}
	}
	return n >= minOtherAnswers
}
