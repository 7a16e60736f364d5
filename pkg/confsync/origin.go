package confsync

// Source is the way on which an object reached this daemon.
type Source string

const (
	// SourceLocal is a change that this daemon made itself.
	SourceLocal Source = "local"
	// SourceList and SourceStaleList are lists of the platform.
	SourceList      Source = "list"
	SourceStaleList Source = "stale-list"
	// SourceWatch is a watch of the platform, SourceRead the read of one object.
	SourceWatch Source = "watch"
	SourceRead  Source = "read"
	// SourcePush is a push of another daemon, SourceComparison a comparison with one.
	SourcePush       Source = "push"
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
