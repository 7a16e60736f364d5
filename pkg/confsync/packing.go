package confsync

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

const (
	// minPackBytes is the size from which on a list is compressed. A smaller one fits into
	// one packet anyway.
	minPackBytes = 1 << 10
	// minPackGain is the share of its size that a list must save to be sent compressed.
	// The users' configuration, for instance, is compressed already.
	minPackGain = 0.25
	// plainPeriod is how long a daemon that refuses compressed lists gets plain ones. Its
	// host may run a newer build by then.
	plainPeriod = time.Minute
)

var packWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// pack returns the compressed encoding of a list, or nil if it is sent as it is.
func pack(list any, size int) []byte {
	if size < minPackBytes {
		return nil
	}
	encoded, err := encode(list)
	if err != nil {
		return nil
	}
	var out bytes.Buffer
	w, _ := packWriters.Get().(*flate.Writer)
	defer packWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(encoded); err != nil || w.Close() != nil || float64(out.Len()) > (1-minPackGain)*float64(len(encoded)) {
		return nil
	}
	return out.Bytes()
}

// unpack decodes a list that pack has encoded. It refuses lists above MaxMessageBytes.
func unpack(packed []byte, list any) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxMessageBytes+1))
	if err != nil {
		return errors.Wrapf(errInvalidMessage, "compressed list: %v", err)
	}
	return decode(encoded, list)
}

// parcel is a batch of objects that fits into one message, with its compressed form, so
// that a relay compresses a batch once for all daemons that it sends it to.
type parcel struct {
	objects []platform.Object
	packed  []byte
}

func newParcels(objects []platform.Object) []parcel {
	var out []parcel
	for _, batch := range splitIntoBatches(objects) {
		out = append(out, newParcel(batch))
	}
	return out
}

func newParcel(objects []platform.Object) parcel {
	size := 0
	for _, o := range objects {
		size += objectSize(o)
	}
	return parcel{objects: objects, packed: pack(objects, size)}
}

func (p parcel) message(mode propagation, forward []string) objectsMessage {
	m := objectsMessage{Propagation: mode, Forward: forward, Packed: p.packed}
	if p.packed == nil {
		m.Objects = p.objects
	}
	return m
}

// extendedMessage is a message that daemons of earlier builds refuse. plain returns it in
// their form.
type extendedMessage interface{ plain() any }

func (m objectsMessage) plain() any {
	if m.Packed == nil || unpack(m.Packed, &m.Objects) != nil {
		return m
	}
	m.Packed = nil
	return m
}

func (m versionsMessage) plain() any {
	if m.Packed != nil && unpack(m.Packed, &m.Versions) != nil {
		return m
	}
	return versionsMessage{Buckets: m.Buckets, Versions: plainVersions(m.Versions)}
}

func (m offerMessage) plain() any {
	if m.Packed != nil && unpack(m.Packed, &m.Versions) != nil {
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

// contentHash returns a hash of the value of an upstream's entry, and 0 for other objects
// and tombstones. Entries are written again and again with the same content; replicas that
// hold the same content under different versions count as equal.
func contentHash(o platform.Object) uint64 {
	if o.Deleted || !strings.HasPrefix(o.Key, platform.MembersPrefix) {
		return 0
	}
	return max(xxhash.Sum64(o.Value), 1)
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
	return current.Version >= v.Version || v.Content != 0 && v.Content == uint32(contentHash(current))
}
