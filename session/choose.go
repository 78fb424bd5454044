package session

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// hashBits is the number of hash bits kept in a float64, the precision of its
// significand.
const hashBits = 53

// SessionHash returns a hash of the account, session and model in [0,1). It is the
// same on all hosts.
func SessionHash(account, sessionID, model string) float64 {
	var d xxhash.Digest
	d.Reset()
	hashField(&d, account)
	hashField(&d, sessionID)
	hashField(&d, model)
	return toUnitInterval(d.Sum64())
}

// ChooseVersion selects the version of a new session by weighted rendezvous
// hashing; sessionHash is the result of SessionHash. Each version gets a score
// from a hash of sessionHash and the version's name, scaled by the version's
// share, and ChooseVersion returns the version with the lowest score. The choice
// doesn't depend on the order of the versions or on versions without a share.
// ChooseVersion returns false if no version accepts new sessions.
func ChooseVersion(versions []manifest.Version, sessionHash float64) (manifest.Version, bool) {
	best := -1
	lowest := math.Inf(1)
	for i, v := range versions {
		if !acceptsNewSessions(v) {
			continue
		}
		score := -math.Log(versionHash(sessionHash, v.Name)) / float64(v.Share)
		if score < lowest {
			lowest = score
			best = i
		}
	}
	if best < 0 {
		return manifest.Version{}, false
	}
	return versions[best], true
}

func acceptsNewSessions(v manifest.Version) bool {
	if v.Share <= 0 {
		return false
	}
	return v.State == manifest.Serving || v.State == manifest.RollingIn
}

// versionHash returns a hash of sessionHash and the version name in (0,1]. It is
// never 0, since ChooseVersion takes its logarithm.
func versionHash(sessionHash float64, name string) float64 {
	var d xxhash.Digest
	d.Reset()
	var bits [8]byte
	binary.LittleEndian.PutUint64(bits[:], math.Float64bits(sessionHash))
	_, _ = d.Write(bits[:])
	_, _ = d.WriteString(name)
	return 1 - toUnitInterval(d.Sum64())
}

// hashField hashes the length of s and then s, so that ("a","bc") and
// ("ab","c") have different hashes.
func hashField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// toUnitInterval maps a hash to [0,1).
func toUnitInterval(h uint64) float64 {
	return float64(h>>(64-hashBits)) / (1 << hashBits)
}
