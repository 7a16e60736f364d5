package confsync

import (
	"strings"
	"sync"
	"time"
)

// plainPeriod is how long a daemon that refuses extended messages gets plain ones. Its host
// may run a newer build by then.
const plainPeriod = time.Minute

// extendedMessage is a message that daemons of earlier builds refuse. plain returns it in
// their form.
type extendedMessage interface{ plain() any }

func (m objectsMessage) plain() any {
	if unpack(m.Packed, &m.Objects) == nil {
		m.Packed = nil
	}
	return m
}

func (m digestMessage) plain() any {
	m.WantCopyAge = false
	return m
}

func (m versionsMessage) plain() any {
	if unpack(m.Packed, &m.Versions) != nil {
		return m
	}
	return versionsMessage{Buckets: m.Buckets, Versions: plainVersions(m.Versions)}
}

func (m offerMessage) plain() any {
	if unpack(m.Packed, &m.Versions) != nil {
		return m
	}
	return offerMessage{Versions: plainVersions(m.Versions)}
}

func plainVersions(versions []Version) []Version {
	out := make([]Version, len(versions))
	for i, v := range versions {
		out[i] = Version{Key: v.Key, Version: v.Version}
	}
	return out
}

// plainPeers remembers the daemons that refuse extended messages.
type plainPeers struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (p *plainPeers) contains(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.since[address]
	if ok && now.Sub(since) >= plainPeriod {
		delete(p.since, address)
		return false
	}
	return ok
}

func (p *plainPeers) add(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since == nil {
		p.since = map[string]time.Time{}
	}
	p.since[address] = now
}

// refusedAsInvalid reports whether a peer answered that a message is invalid. The error
// crosses the transport as text.
func refusedAsInvalid(err error) bool {
	return err != nil && strings.Contains(err.Error(), errInvalidMessage.Error())
}
