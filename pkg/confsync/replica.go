package confsync

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/platform"
)

const (
	// DigestBuckets is how many parts a digest has. With 64 the versions of a
	// differing part of a few hundred documents fit one small message.
	DigestBuckets = 64
	shardCount    = 16
)

// Replica is a copy of platform objects in which versions only increase.
// Tombstones are kept, so that a late message cannot bring an object back.
// It is safe for concurrent use.
type Replica struct {
	shards [shardCount]shard
	// buckets hold the exclusive or of the hashes of key and version.
	buckets [DigestBuckets]atomic.Uint64
	// newer says whether an object replaces the one that is held.
	newer func(held, o platform.Object) bool

	completeMu sync.RWMutex
	// complete maps a prefix to the revision of its last list: what existed at
	// that revision is held.
	complete map[string]uint64

	callbacksMu sync.RWMutex
	callbacks   []func(platform.Object)
}

type shard struct {
	// order is held while a change is made and announced, so that callbacks
	// see the versions of an object in increasing order.
	order   sync.Mutex
	mu      sync.RWMutex
	objects map[string]platform.Object
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	r := &Replica{
		newer:    func(held, o platform.Object) bool { return o.Version > held.Version },
		complete: map[string]uint64{},
	}
	for i := range r.shards {
		r.shards[i].objects = map[string]platform.Object{}
	}
	return r
}

// OnChange registers a callback for every object that Apply accepts, tombstones
// included. For one key the calls come one at a time, in order of version. The
// callback must be fast and must not call Apply.
func (r *Replica) OnChange(f func(platform.Object)) {
	r.callbacksMu.Lock()
	defer r.callbacksMu.Unlock()
	r.callbacks = append(r.callbacks, f)
}

// Apply takes over an object if it is newer than the copy held, and says
// whether the replica changed. An object that is not held and is older than the
// last list of its prefix was deleted at the platform: a tombstone is held
// instead, so that a daemon that missed the deletion cannot bring the object
// back. The replica keeps the value without copying it.
func (r *Replica) Apply(o platform.Object) bool {
	if o.Version == 0 {
		return false
	}
	bucket := bucketOf(o.Key)
	s := r.shard(bucket)
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	held, exists := s.objects[o.Key]
	if exists && !r.newer(held, o) {
		s.mu.Unlock()
		return false
	}
	if revision := r.completeAt(o.Key); !exists && o.Version <= revision {
		o = platform.Object{Key: o.Key, Version: revision, Deleted: true}
	}
	s.objects[o.Key] = o
	change := entryHash(o.Key, o.Version)
	if exists {
		change ^= entryHash(held.Key, held.Version)
	}
	r.buckets[bucket].Store(r.buckets[bucket].Load() ^ change)
	s.mu.Unlock()
	r.announce(o)
	return true
}

// Listed notes that objects are all that the platform held under prefix at the
// revision. It applies them, replaces missing objects by tombstones, and returns
// all that changed.
func (r *Replica) Listed(prefix string, objects []platform.Object, revision uint64) []platform.Object {
	changed := r.applyAll(objects)
	// From here on Apply turns down what the list does not hold; what came
	// before is found below.
	r.completeTo(prefix, revision)
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
	}
	var missing []platform.Object
	for _, held := range r.Range(prefix) {
		// An object newer than the list is not missing from it. The list's
		// revision is a valid version of the tombstone: the deletion is not
		// later, and an object created again later has a higher version.
		if !present[held.Key] && held.Version < revision {
			missing = append(missing, platform.Object{Key: held.Key, Version: revision, Deleted: true})
		}
	}
	return append(changed, r.applyAll(missing)...)
}

// completeTo notes that the replica holds all objects under prefix that the
// platform held at the revision. Later revisions need no note, because watches
// return the tombstones of later deletions.
func (r *Replica) completeTo(prefix string, revision uint64) {
	r.completeMu.Lock()
	defer r.completeMu.Unlock()
	r.complete[prefix] = max(r.complete[prefix], revision)
}

func (r *Replica) completeAt(key string) uint64 {
	r.completeMu.RLock()
	defer r.completeMu.RUnlock()
	var at uint64
	for prefix, revision := range r.complete {
		if strings.HasPrefix(key, prefix) {
			at = max(at, revision)
		}
	}
	return at
}

// applyAll applies objects and returns the new copies of those that changed.
func (r *Replica) applyAll(objects []platform.Object) []platform.Object {
	var changed []platform.Object
	for _, o := range objects {
		if r.Apply(o) {
			held, _ := r.held(o.Key)
			changed = append(changed, held)
		}
	}
	return changed
}

func (r *Replica) announce(o platform.Object) {
	r.callbacksMu.RLock()
	defer r.callbacksMu.RUnlock()
	for _, f := range r.callbacks {
		f(o)
	}
}

// Get returns the object with the key, if it exists and is not deleted. The
// value must not be changed.
func (r *Replica) Get(key string) (platform.Object, bool) {
	o, ok := r.held(key)
	return o, ok && !o.Deleted
}

// Range returns the objects under prefix, sorted by key, without tombstones.
// Values must not be changed.
func (r *Replica) Range(prefix string) []platform.Object {
	out := r.all(prefix)
	return slices.DeleteFunc(out, func(o platform.Object) bool { return o.Deleted })
}

// held returns the object or tombstone with the key.
func (r *Replica) held(key string) (platform.Object, bool) {
	s := r.shard(bucketOf(key))
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.objects[key]
	return o, ok
}

// all returns the objects and tombstones under prefix, sorted by key.
func (r *Replica) all(prefix string) []platform.Object {
	var out []platform.Object
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for key, o := range s.objects {
			if strings.HasPrefix(key, prefix) {
				out = append(out, o)
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (r *Replica) shard(bucket int) *shard { return &r.shards[bucket%shardCount] }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % DigestBuckets) }

// entryHash is the share of one object in its bucket.
func entryHash(key string, version uint64) uint64 {
	b := make([]byte, 0, len(key)+8)
	b = append(b, key...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, version))
}
