package confsync

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

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

// packVersions returns the versions as a message holds them: in packed, or else in plain.
func packVersions(versions []Version) (plain []Version, packed []byte) {
	if packed = pack(versions, len(versions)*versionBytes); packed != nil {
		return nil, packed
	}
	return versions, nil
}

// unpack decodes a list that pack has encoded, and refuses lists above MaxMessageBytes. It
// leaves list as it is if packed is nil.
func unpack(packed []byte, list any) error {
	if packed == nil {
		return nil
	}
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
