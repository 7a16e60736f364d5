package platform

import "github.com/cockroachdb/errors"

// A store that is restored from a copy assigns revisions again that it had assigned
// before. Versions therefore have the era of the store, which rises with each
// restoration, above the revision, so that they still only increase.
const (
	// revisionBits is enough for 10,000 changes a second over 50 years.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// VersionOf returns the version of a revision in an era. In era 0 versions equal
// revisions. It returns an error if a number is too large.
func VersionOf(era, revision uint64) (uint64, error) {
	if era > maxEra || revision > maxRevision {
		return 0, errors.Newf("platform: era %d or revision %d is out of range", era, revision)
	}
	return era<<revisionBits | revision, nil
}

// SplitVersion returns the era and the revision of a version.
func SplitVersion(version uint64) (era, revision uint64) {
	return version >> revisionBits, version & maxRevision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }
