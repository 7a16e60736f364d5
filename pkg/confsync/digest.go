package confsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/platform"
)

// Digest stands for the keys and versions of a replica. Replicas with equal
// digests hold the same objects.
type Digest [DigestBuckets]uint64

// Root is a hash of the whole digest.
func (d Digest) Root() uint64 {
	b := make([]byte, 0, 8*DigestBuckets)
	for _, bucket := range d {
		b = binary.BigEndian.AppendUint64(b, bucket)
	}
	return xxhash.Sum64(b)
}

// Differing returns the numbers of the buckets that differ.
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
}

// Digest returns the digest of the objects and tombstones held. Each bucket is
// exact; changes made during the call may be in some buckets only.
func (r *Replica) Digest() Digest {
	var d Digest
	for i := range r.buckets {
		d[i] = r.buckets[i].Load()
	}
	return d
}

// Versions returns the versions held in a bucket, in no order.
func (r *Replica) Versions(bucket uint16) []Version {
	var out []Version
	r.eachIn(int(bucket), func(o platform.Object) {
		out = append(out, Version{Key: o.Key, Version: o.Version})
	})
	return out
}

// Diff compares the given buckets with the versions that a peer holds in them.
// It returns the objects that are newer here, up to limit bytes of keys and
// values but at least one, whether there are more, and the keys that are newer
// at the peer.
func (r *Replica) Diff(buckets []uint16, theirs []Version, limit int) (newer []platform.Object, more bool, wanted []string) {
	at := make(map[string]uint64, len(theirs))
	for _, v := range theirs {
		at[v.Key] = v.Version
		if held, _ := r.held(v.Key); held.Version < v.Version {
			wanted = append(wanted, v.Key)
		}
	}
	size := 0
	for _, bucket := range buckets {
		r.eachIn(int(bucket), func(o platform.Object) {
			if o.Version <= at[o.Key] {
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

func (r *Replica) eachIn(bucket int, f func(platform.Object)) {
	s := r.shard(bucket)
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, o := range s.objects {
		if bucketOf(key) == bucket {
			f(o)
		}
	}
}
