package session

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// pointBits is the precision of a point, that of a float64's mantissa.
const pointBits = 53

// Point maps a session and model to a number in [0,1), the same on all hosts.
func Point(account, sessionID, model string) float64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, account)
	writeField(&d, sessionID)
	writeField(&d, model)
	return unit(d.Sum64())
}

// Choose picks the version of a new session by weighted rendezvous hashing:
// each version draws a number from the point and its name, and the lowest
// draw, scaled by the version's share, wins. The choice depends neither on
// the versions' order nor on those without a share. It returns false if no
// version takes new sessions.
func Choose(versions []manifest.Version, point float64) (manifest.Version, bool) {
	best := -1
	lowest := math.Inf(1)
	for i, v := range versions {
		if !takesSessions(v) {
			continue
		}
		score := -math.Log(draw(point, v.Name)) / float64(v.Share)
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

func takesSessions(v manifest.Version) bool {
	if v.Share <= 0 {
		return false
	}
	return v.State == manifest.Serving || v.State == manifest.RollingIn
}

// draw returns a number in (0,1].
func draw(point float64, name string) float64 {
	var d xxhash.Digest
	d.Reset()
	var bits [8]byte
	binary.LittleEndian.PutUint64(bits[:], math.Float64bits(point))
	_, _ = d.Write(bits[:])
	_, _ = d.WriteString(name)
	return 1 - unit(d.Sum64())
}

// writeField adds a text with its length, so that ("a","bc") and ("ab","c")
// differ.
func writeField(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// unit maps a hash to [0,1).
func unit(h uint64) float64 {
	return float64(h>>(64-pointBits)) / (1 << pointBits)
}
