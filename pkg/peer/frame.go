package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// lengthBytes is the size of the big-endian length before each frame.
	lengthBytes = 4
	// readStep bounds the memory that is set aside for bytes not yet received.
	readStep = 64 << 10
	// maxKindBytes bounds the kind of a message.
	maxKindBytes = 64
	// maxErrorBytes bounds the error text of a reply.
	maxErrorBytes = 1024
	// frameOverhead is what encoding adds to a body at most: the length, the
	// kind, the error text, and CBOR headers.
	frameOverhead = lengthBytes + maxKindBytes + maxErrorBytes + 64
)

// status is the outcome of a request in a reply.
type status uint8

const (
	// statusFailed is the zero value, so that a forgotten status never claims
	// that a handler did not run.
	statusFailed status = iota
	statusOK
	statusRefused
)

// request is the frame of a call or message.
type request struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	// TimeoutMicros is the time that the caller still waits; 0 means no limit.
	TimeoutMicros uint64
	Body          []byte
}

// reply is the frame that answers a call.
type reply struct {
	_      struct{} `cbor:",toarray"`
	Status status
	Error  string
	Body   []byte
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   4,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encodeFrame returns v in CBOR after its length.
func encodeFrame(v any) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthBytes))
	if err := cbor.MarshalToBuffer(v, &buffer); err != nil {
		return nil, errors.Wrap(err, "encode a frame")
	}
	frame := buffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	return frame, nil
}

// readFrame reads one frame of at most limit bytes after its length.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read the frame length")
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes", size)
	}
	var buffer bytes.Buffer
	buffer.Grow(min(int(size), readStep))
	if n, err := io.CopyN(&buffer, r, int64(size)); err != nil {
		return nil, errors.Wrapf(err, "read %d of %d frame bytes", n, size)
	}
	return buffer.Bytes(), nil
}

func decodeRequest(frame []byte) (request, error) {
	var r request
	if err := decoder.Unmarshal(frame, &r); err != nil {
		return request{}, errors.Wrap(err, "decode a request")
	}
	if r.Kind == "" || len(r.Kind) > maxKindBytes {
		return request{}, errors.Newf("kind of %d bytes", len(r.Kind))
	}
	return r, nil
}

func decodeReply(frame []byte) (reply, error) {
	var r reply
	if err := decoder.Unmarshal(frame, &r); err != nil {
		return reply{}, errors.Wrap(err, "decode a reply")
	}
	return r, nil
}

// timeout returns the time the caller waits, or 0 for no limit. Larger values
// than an hour count as an hour, which also avoids overflow.
func (r request) timeout() time.Duration {
	const longest = time.Hour
	if r.TimeoutMicros > uint64(longest/time.Microsecond) {
		return longest
	}
	return time.Duration(r.TimeoutMicros) * time.Microsecond
}
