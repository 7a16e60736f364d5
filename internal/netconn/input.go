package netconn

import "io"

const (
	// minBufferBytes is the minimum size of a buffer. Most requests and answers of the
	// users fit.
	minBufferBytes = 4 << 10
	// maxKeptBufferBytes is the largest size of an empty buffer that is kept. Larger ones
	// are freed, because most connections are idle most of the time.
	maxKeptBufferBytes = 16 << 10
)

// readBuffer buffers received bytes contiguously. The buffers of the HTTP library's
// network package allocate 4 KiB per read, so that a peer that sends single bytes
// consumes thousands of times the memory of what it sends.
type readBuffer struct {
	source io.Reader
	buf    []byte
	// unread is buf[start:end].
	start, end int
}

// Len returns the number of unread bytes.
func (in *readBuffer) Len() int { return in.end - in.start }

// Peek returns the next n bytes, which stay valid until Release. It reads until n bytes
// are buffered.
func (in *readBuffer) Peek(n int) ([]byte, error) {
	for in.Len() < n {
		in.ensureSpace()
		m, err := in.source.Read(in.buf[in.end:])
		in.end += m
		if err != nil && in.Len() < n {
			return nil, err
		}
	}
	return in.buf[in.start : in.start+n], nil
}

// ensureSpace ensures that the buffer has space for the next read. If needed, it moves the
// unread bytes to a new buffer. It does not overwrite memory that Peek has returned,
// because the codec keeps bodies without copying them.
func (in *readBuffer) ensureSpace() {
	if in.buf != nil && len(in.buf)-in.end >= minBufferBytes/2 {
		return
	}
	grown := make([]byte, max(minBufferBytes, 2*in.Len()))
	in.end = copy(grown, in.buf[in.start:in.end])
	in.start, in.buf = 0, grown
}

// Skip drops the next n bytes.
func (in *readBuffer) Skip(n int) error {
	if _, err := in.Peek(n); err != nil {
		return err
	}
	in.start += n
	return nil
}

// Release invalidates the slices that Peek has returned. If the buffer is empty, its
// memory is reused, or freed if it is large.
func (in *readBuffer) Release() error {
	if in.Len() == 0 {
		in.start, in.end = 0, 0
		if len(in.buf) > maxKeptBufferBytes {
			in.buf = nil
		}
	}
	return nil
}
