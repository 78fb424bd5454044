package storage

import "strconv"

// Revision orders the writes of a store. A store that is restored from a backup continues
// to count at the backup's version, and so assigns the later versions a second time, to other
// writes; each restore therefore increases its era. Revisions are ordered by the era first,
// then by the version within it. The zero value precedes all others.
//
// Era and version are packed into one number, so that revisions are compared, stored and sent
// like numbers.
type Revision uint64

const (
	// versionBits is the number of bits of the version, enough for a million writes
	// a second for nine years. The other bits hold the era, up to 65,535 restores.
	versionBits = 48
	maxVersion  = 1<<versionBits - 1
	maxEra      = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a version within an era. An era or version that is too
// large for its bits is replaced by the largest one that fits.
func NewRevision(era, version uint64) Revision {
	return Revision(min(era, maxEra)<<versionBits | min(version, maxVersion))
}

// Era returns how often the store had been restored from a backup.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version returns the store's version at the write.
func (r Revision) Version() uint64 { return uint64(r) & maxVersion }

// String returns the version, preceded by the era and a slash if the era isn't zero.
func (r Revision) String() string {
	version := strconv.FormatUint(r.Version(), 10)
	if r.Era() == 0 {
		return version
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + version
}
