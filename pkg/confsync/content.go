package confsync

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/platform"
)

// contentHash returns a hash of the value of an upstream's entry, and 0 for other objects
// and tombstones. Entries are written again and again with the same content; replicas that
// hold the same content under different versions count as equal.
func contentHash(o platform.Object) uint64 {
	if o.Deleted || !strings.HasPrefix(o.Key, platform.MembersPrefix) {
		return 0
	}
	return max(xxhash.Sum64(o.Value), 1)
}

// hasContent reports whether an object is an upstream's entry with the content of a version.
func (v Version) hasContent(o platform.Object) bool {
	return v.Content != 0 && v.Content == uint32(contentHash(o))
}

// sameContent reports whether an object replaces a copy without changing its content.
func sameContent(current, o platform.Object) bool {
	return !current.Deleted && !o.Deleted && strings.HasPrefix(o.Key, platform.MembersPrefix) && bytes.Equal(current.Value, o.Value)
}

// versionOf returns the version of an object as it is sent to other daemons.
func versionOf(o platform.Object) Version {
	return Version{Key: o.Key, Version: o.Version, Content: uint32(contentHash(o))}
}

// holds reports whether a copy is as new as the version of another daemon, or has the same
// content.
func holds(current platform.Object, v Version) bool {
	return current.Version >= v.Version || v.hasContent(current)
}
