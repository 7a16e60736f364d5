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
	// DigestBuckets is the number of buckets of a digest. With 64, the versions in
	// one differing bucket fit into a small message for a few hundred documents.
	DigestBuckets = 64
	shardCount    = 16
)

// Replica is a copy of platform objects in which versions only increase.
// Tombstones are kept, so that a delayed message cannot restore a deleted object.
// Replica is safe for concurrent use.
type Replica struct {
	shards [shardCount]shard
	// buckets holds, per bucket, the XOR of the entry hashes.
	buckets [DigestBuckets]atomic.Uint64
	// supersedes reports whether object o replaces the current one.
	supersedes func(current, o platform.Object) bool

	listedRevisionsMu sync.RWMutex
	// listedRevisions maps a prefix to the revision of its last list. The replica
	// holds all objects that existed at that revision.
	listedRevisions map[string]uint64

	callbacksMu    sync.RWMutex
	callbacks      []func(platform.Object)
	batchCallbacks []func()
}

type shard struct {
	// applyMu is locked while a change is applied and the callbacks run, so that
	// they see the versions of an object in increasing order.
	applyMu sync.Mutex
	mu      sync.RWMutex
	objects map[string]platform.Object
	origins map[string]Origin
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	r := &Replica{
		supersedes:      func(current, o platform.Object) bool { return o.Version > current.Version },
		listedRevisions: map[string]uint64{},
	}
	for i := range r.shards {
		r.shards[i].objects, r.shards[i].origins = map[string]platform.Object{}, map[string]Origin{}
	}
	return r
}

// OnChange registers a callback for every object that Apply accepts, including
// tombstones. Calls for the same key are sequential and in order of version. The
// callback must be fast and must not call Apply.
func (r *Replica) OnChange(f func(platform.Object)) {
	r.callbacksMu.Lock()
	defer r.callbacksMu.Unlock()
	r.callbacks = append(r.callbacks, f)
}

// OnBatch registers a callback that is called after the callbacks of OnChange, once for
// all objects that are applied together. A list has thousands of objects at the target
// size; work on the whole set of objects belongs here.
func (r *Replica) OnBatch(f func()) {
	r.callbacksMu.Lock()
	defer r.callbacksMu.Unlock()
	r.batchCallbacks = append(r.batchCallbacks, f)
}

// Apply stores an object if it is newer than the current copy, and reports whether
// the replica changed. An upstream's entry that was written again with the same content
// changes nothing. An unknown object that is not newer than the last list of
// its prefix was deleted at the platform. A tombstone is stored instead, so that a
// daemon that missed the deletion cannot restore the object. The replica keeps the
// value without copying it.
func (r *Replica) Apply(o platform.Object) bool { return r.ApplyFrom(Origin{Source: SourceLocal}, o) }

// ApplyFrom is Apply for an object of the given origin.
func (r *Replica) ApplyFrom(from Origin, o platform.Object) bool {
	changed := r.apply(from, o)
	if changed {
		r.notifyBatch()
	}
	return changed
}

func (r *Replica) apply(from Origin, o platform.Object) bool {
	if o.Version == 0 {
		return false
	}
	bucket := bucketOf(o.Key)
	s := r.shard(bucket)
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	current, exists := s.objects[o.Key]
	if exists && !r.supersedes(current, o) {
		s.mu.Unlock()
		return false
	}
	if revision := r.listedRevision(o.Key); !exists && o.Version <= revision {
		o = platform.Object{Key: o.Key, Version: revision, Deleted: true}
	}
	s.objects[o.Key], s.origins[o.Key] = o, from
	if exists && sameContent(current, o) {
		// The higher version keeps earlier content from coming back. Nothing else depends
		// on it.
		s.mu.Unlock()
		return false
	}
	hashDelta := entryHash(o)
	if exists {
		hashDelta ^= entryHash(current)
	}
	r.buckets[bucket].Store(r.buckets[bucket].Load() ^ hashDelta)
	s.mu.Unlock()
	r.notifyCallbacks(o)
	return true
}

// ApplyList applies a complete list of the objects under prefix at the given
// revision. It replaces missing objects by tombstones and returns all changed
// objects.
func (r *Replica) ApplyList(prefix string, objects []platform.Object, revision uint64) []platform.Object {
	from := Origin{Source: SourceList}
	changed := r.applyAll(from, objects)
	// From here on Apply turns objects that are missing from the list into
	// tombstones. Those applied earlier are handled below.
	r.setListedRevision(prefix, revision)
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
	}
	var missing []platform.Object
	for _, current := range r.Range(prefix) {
		// An object newer than the list is not missing from it. The list's
		// revision is a valid version for the tombstone: the deletion was not
		// later, and an object that is recreated later has a higher version.
		if !present[current.Key] && current.Version < revision {
			missing = append(missing, platform.Object{Key: current.Key, Version: revision, Deleted: true})
		}
	}
	return append(changed, r.applyAll(from, missing)...)
}

// setListedRevision records that the replica holds all objects that existed
// under prefix at the revision. Later revisions need not be recorded, because
// watches return the tombstones of later deletions.
func (r *Replica) setListedRevision(prefix string, revision uint64) {
	r.listedRevisionsMu.Lock()
	defer r.listedRevisionsMu.Unlock()
	r.listedRevisions[prefix] = max(r.listedRevisions[prefix], revision)
}

func (r *Replica) listedRevision(key string) uint64 {
	r.listedRevisionsMu.RLock()
	defer r.listedRevisionsMu.RUnlock()
	var latest uint64
	for prefix, revision := range r.listedRevisions {
		if strings.HasPrefix(key, prefix) {
			latest = max(latest, revision)
		}
	}
	return latest
}

// applyAll applies objects and returns the stored copies of those that changed.
func (r *Replica) applyAll(from Origin, objects []platform.Object) []platform.Object {
	var changed []platform.Object
	for _, o := range objects {
		if r.apply(from, o) {
			current, _ := r.lookup(o.Key)
			changed = append(changed, current)
		}
	}
	if len(changed) > 0 {
		r.notifyBatch()
	}
	return changed
}

func (r *Replica) notifyBatch() {
	r.callbacksMu.RLock()
	defer r.callbacksMu.RUnlock()
	for _, f := range r.batchCallbacks {
		f()
	}
}

func (r *Replica) notifyCallbacks(o platform.Object) {
	r.callbacksMu.RLock()
	defer r.callbacksMu.RUnlock()
	for _, f := range r.callbacks {
		f(o)
	}
}

// Get returns the object with the key, if it exists and is not deleted. The
// value must not be modified.
func (r *Replica) Get(key string) (platform.Object, bool) {
	o, ok := r.lookup(key)
	return o, ok && !o.Deleted
}

// Range returns the objects under prefix, sorted by key, without tombstones.
// Values must not be modified.
func (r *Replica) Range(prefix string) []platform.Object {
	out := r.rangeAll(prefix)
	return slices.DeleteFunc(out, func(o platform.Object) bool { return o.Deleted })
}

// lookup returns the object or tombstone with the key.
func (r *Replica) lookup(key string) (platform.Object, bool) {
	s := r.shard(bucketOf(key))
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.objects[key]
	return o, ok
}

// rangeAll returns the objects and tombstones under prefix, sorted by key.
func (r *Replica) rangeAll(prefix string) []platform.Object {
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

// entryHash returns the hash that one object contributes to its bucket: of its key and its
// version, or of its key and its content.
func entryHash(o platform.Object) uint64 {
	b := make([]byte, 0, len(o.Key)+9)
	b = append(b, o.Key...)
	if content := contentHash(o); content != 0 {
		return xxhash.Sum64(append(binary.BigEndian.AppendUint64(b, content), 'c'))
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, o.Version))
}
