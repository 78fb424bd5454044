package storage

import "strconv"

// Revision orders what a store wrote. A store that comes back from a copy counts from that
// on anew, and gives the same versions out a second time, for other writes; its era rises
// then. So revisions are ordered by the era first, then by the version within it. The zero
// value is before all others.
//
// It is one number, so that revisions are compared, kept and told as numbers are.
type Revision uint64

const (
	// versionBits are the bits of the version: a million writes a second for nine
	// years. The rest is the era's: 65,535 returns from a copy.
	versionBits = 48
	maxVersion  = 1<<versionBits - 1
	maxEra      = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a version within an era. Numbers beyond its bounds
// count as the greatest.
func NewRevision(era, version uint64) Revision {
	return Revision(min(era, maxEra)<<versionBits | min(version, maxVersion))
}

// Era counts how often the store had come back from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version is the store's counter at the write.
func (r Revision) Version() uint64 { return uint64(r) & maxVersion }

// String is the version, after the era and a slash if the store ever came back.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version(), 10)
	if r.Era() == 0 {
		return version
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + version
}
