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
	// lengthBytes is the size of the big-endian length prefix of each frame.
	lengthBytes = 4
	// maxInitialBufferBytes bounds the memory allocated for a frame before its
	// bytes have been received.
	maxInitialBufferBytes = 64 << 10
	// maxKindBytes is the maximum length of the kind of a message.
	maxKindBytes = 64
	// maxErrorBytes is the maximum length of the error text of a reply.
	maxErrorBytes = 1024
	// frameOverhead is the maximum number of bytes that encoding adds to a body:
	// length prefix, kind, error text and CBOR headers.
	frameOverhead = lengthBytes + maxKindBytes + maxErrorBytes + 64
)

// status is the outcome of a request, sent in the reply.
type status uint8

const (
	// statusFailed is the zero value, so that an unset status is not read as
	// statusRefused, which means that no handler ran.
	statusFailed status = iota
	statusOK
	statusRefused
)

// request is the content of the frame of a call or message.
type request struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	// TimeoutMicros is the remaining time of the caller; 0 means no limit.
	TimeoutMicros uint64
	Body          []byte
}

// reply is the content of the frame that answers a call.
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

// encodeFrame returns v encoded in CBOR with a length prefix.
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

const (
	// minHeldBytes is the smallest frame that Config.Hold counts. Most are smaller.
	minHeldBytes = 64 << 10
	// frameCopies is how often the content of a frame is in memory: in the frame and decoded.
	frameCopies = 2
)

// hold counts the memory of a frame of a size with Config.Hold.
func (n *Node) hold(size int) (release func()) {
	if n.config.Hold == nil || size < minHeldBytes {
		return func() {}
	}
	return n.config.Hold(size * frameCopies)
}

// readFrame reads a length prefix and a frame of at most limit bytes, and returns
// the frame. hold is called with its size before it is read.
func readFrame(r io.Reader, limit int, hold func(size int)) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read the frame length")
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes", size)
	}
	hold(int(size))
	var buffer bytes.Buffer
	buffer.Grow(min(int(size), maxInitialBufferBytes))
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

// timeout returns the remaining time of the caller, or 0 for no limit. It is at
// most an hour, which also avoids overflow.
func (r request) timeout() time.Duration {
	const maxTimeout = time.Hour
	if r.TimeoutMicros > uint64(maxTimeout/time.Microsecond) {
		return maxTimeout
	}
	return time.Duration(r.TimeoutMicros) * time.Microsecond
}
