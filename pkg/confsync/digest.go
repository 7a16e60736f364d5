package confsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/platform"
)

// Digest summarizes the keys and versions of a replica as one hash per bucket.
// Replicas with equal digests hold the same objects.
type Digest [DigestBuckets]uint64

// Root returns a hash of the whole digest.
func (d Digest) Root() uint64 {
	b := make([]byte, 0, 8*DigestBuckets)
	for _, bucket := range d {
		b = binary.BigEndian.AppendUint64(b, bucket)
	}
	return xxhash.Sum64(b)
}

// Differing returns the indices of the buckets that differ.
func (d Digest) Differing(other Digest) []uint16 {
	var out []uint16
	for i := range d {
		if d[i] != other[i] {
			out = append(out, uint16(i))
		}
	}
	return out
}

// Version is the version of one object or tombstone.
type Version struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Content is a part of the hash of the value of an upstream's entry, 0 for other
	// objects; see contentHash.
	Content uint32 `cbor:"3,keyasint,omitempty"`
}

// Digest returns the digest of all objects and tombstones. Each bucket is
// consistent, but concurrent changes may appear in only some of the buckets.
func (r *Replica) Digest() Digest {
	var d Digest
	for i := range r.buckets {
		d[i] = r.buckets[i].Load()
	}
	return d
}

// Versions returns the versions in a bucket, in unspecified order.
func (r *Replica) Versions(bucket uint16) []Version {
	var out []Version
	r.forEachInBucket(int(bucket), func(o platform.Object) {
		out = append(out, versionOf(o))
	})
	return out
}

// Diff compares the given buckets with a peer's versions of them. It returns
// the objects that are newer locally, whether there are more of them, and the
// keys that are newer at the peer. The objects are limited to limit bytes of
// keys and values, but at least one is returned.
func (r *Replica) Diff(buckets []uint16, theirs []Version, limit int) (newer []platform.Object, more bool, wanted []string) {
	theirVersions := make(map[string]Version, len(theirs))
	for _, v := range theirs {
		theirVersions[v.Key] = v
		if current, _ := r.lookup(v.Key); !holds(current, v) {
			wanted = append(wanted, v.Key)
		}
	}
	size := 0
	for _, bucket := range buckets {
		r.forEachInBucket(int(bucket), func(o platform.Object) {
			if v := theirVersions[o.Key]; o.Version <= v.Version || v.hasContent(o) {
				return
			}
			size += objectSize(o)
			if len(newer) > 0 && size > limit {
				more = true
				return
			}
			newer = append(newer, o)
		})
	}
	return newer, more, wanted
}

func (r *Replica) forEachInBucket(bucket int, f func(platform.Object)) {
	s := r.shard(bucket)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, o := range s.objects {
		if bucketOf(key) == bucket {
			f(o)
		}
	}
}
