package confsync

// Source is the way on which an object reached this daemon.
type Source string

const (
	// SourceLocal is a change that this daemon made itself.
	SourceLocal Source = "local"
	// SourceList is a list of the platform.
	SourceList Source = "list"
	// SourceStaleList is a list of the platform that may be seconds old.
	SourceStaleList Source = "stale-list"
	// SourceWatch is a watch of the platform.
	SourceWatch Source = "watch"
	// SourceRead is the read of one object of the platform.
	SourceRead Source = "read"
	// SourcePush is a push of another daemon.
	SourcePush Source = "push"
	// SourceComparison is a comparison with another daemon.
	SourceComparison Source = "comparison"
)

// Origin says how a copy reached this daemon.
type Origin struct {
	Source Source
	// Peer is the daemon that sent the copy, or empty if it came from the platform or the
	// sender is not known.
	Peer string
}

// OriginOf returns the origin of the copy with the key, and the zero value if there is none.
// It may be called in callbacks of OnChange.
func (r *Replica) OriginOf(key string) Origin {
	s := r.shard(bucketOf(key))
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.origins[key]
}
