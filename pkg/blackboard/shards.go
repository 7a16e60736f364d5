package blackboard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is a few times the number of cores of an entry host, so that requests
// rarely contend for a lock.
const shardCount = 32

// shards is a map split into shards, each with its own lock.
type shards[V any] struct {
	parts [shardCount]struct {
		mu sync.RWMutex
		m  map[string]V
	}
}

func newShards[V any]() *shards[V] {
	s := &shards[V]{}
	for i := range s.parts {
		s.parts[i].m = map[string]V{}
	}
	return s
}

func (s *shards[V]) get(key string) (V, bool) {
	p := &s.parts[xxhash.Sum64String(key)%shardCount]
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.m[key]
	return v, ok
}

// getOrCreate returns the value of key. A missing value is created with create.
func (s *shards[V]) getOrCreate(key string, create func() V) V {
	p := &s.parts[xxhash.Sum64String(key)%shardCount]
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[key]
	if !ok {
		v = create()
		p.m[key] = v
	}
	return v
}

func (s *shards[V]) remove(key string) {
	p := &s.parts[xxhash.Sum64String(key)%shardCount]
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.m, key)
}

// values returns all values. Each shard is read consistently, the map as a whole
// is not.
func (s *shards[V]) values() []V {
	var out []V
	for i := range s.parts {
		p := &s.parts[i]
		p.mu.RLock()
		for _, v := range p.m {
			out = append(out, v)
		}
		p.mu.RUnlock()
	}
	return out
}
