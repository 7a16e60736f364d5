package ingress

import (
	"io"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
)

const (
	// freeBodyBytes is the size up to which a body does not wait for memory.
	freeBodyBytes = 64 << 10
	// maxMemoryWait is how long a larger body waits for memory. Its bytes stay unread meanwhile,
	// and its caller cannot send more of them than the socket buffers.
	maxMemoryWait = 5 * time.Second
	// bodyGrowth is the factor by which the buffer of a chunked body grows, so that the smaller
	// ones that it outgrew add up to a third of it.
	bodyGrowth = 4
)

// Content lengths that the HTTP library reports for a chunked body, and for a request
// without a length.
const (
	chunkedLength = -1
	unknownLength = -2
)

// readBody reads the body of a request whose header has been read. The body belongs to
// the request; it is not reused.
func (c *conn) readBody(r *Request, maxBytes int) error {
	length := r.Header.ContentLength()
	if (length == chunkedLength || length > 0) && c.server.DiscardBody != nil && c.server.DiscardBody(r) {
		return c.discardBody(r, maxBytes)
	}
	switch {
	case length == chunkedLength:
		body, err := c.readChunkedBody(r, maxBytes)
		if err != nil {
			return err
		}
		r.SetBodyRaw(body)
		r.Header.SetContentLength(len(body))
	case length == unknownLength:
		if !r.Header.IgnoreBody() {
			r.Header.SetContentLength(0)
		}
	case length > maxBytes:
		return hertzerrors.ErrBodyTooLarge
	case length > 0:
		if err := c.reserveBody(r, length); err != nil {
			return err
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(c.netConn, body); err != nil {
			return err
		}
		r.SetBodyRaw(body)
	}
	return nil
}

// discardBody reads a body without keeping it.
func (c *conn) discardBody(r *Request, maxBytes int) error {
	r.Discarded = true
	left := maxBytes
	discard := func(size int) error {
		if size > left {
			return hertzerrors.ErrBodyTooLarge
		}
		left -= size
		_, err := io.CopyN(io.Discard, c.netConn, int64(size))
		return err
	}
	if length := r.Header.ContentLength(); length != chunkedLength {
		return discard(length)
	}
	err := netconn.ReadChunks(c.netConn, discard)
	r.Header.SetContentLength(maxBytes - left)
	return err
}

func (c *conn) readChunkedBody(r *Request, maxBytes int) ([]byte, error) {
	body := []byte{}
	err := netconn.ReadChunks(c.netConn, func(size int) error {
		length := len(body)
		if size > maxBytes-length {
			return hertzerrors.ErrBodyTooLarge
		}
		if needed := length + size; needed > cap(body) {
			capacity := min(max(needed, bodyGrowth*cap(body)), maxBytes)
			if needed <= memory.SmallBytes {
				capacity = min(capacity, memory.SmallBytes)
			}
			if err := c.reserveChunked(r, capacity, maxBytes); err != nil {
				return err
			}
			grown := make([]byte, length, capacity)
			copy(grown, body)
			body = grown
		}
		body = body[:length+size]
		_, err := io.ReadFull(c.netConn, body[length:])
		return err
	})
	return body, err
}

// reserveChunked reserves memory for the buffer of a chunked body. One that outgrows
// memory.SmallBytes reserves the memory of the largest body at once, because two that grow step by step
// would wait for each other. A body that waits keeps the reservation of what it has read.
func (c *conn) reserveChunked(r *Request, capacity, maxBytes int) error {
	needed := int64(capacity)
	switch {
	case r.usage.large > 0:
		return nil
	case capacity > memory.SmallBytes:
		return c.waitForMemory(r, memory.Large, min(int64(maxBytes), c.server.memory.MaxLarge()))
	case capacity > freeBodyBytes:
		return c.waitForMemory(r, memory.Small, needed-r.bodyBytes)
	default:
		return c.reserveSmall(r, needed-r.bodyBytes)
	}
}

// reserveBody reserves memory for a body of known length. Nothing of it has been read.
func (c *conn) reserveBody(r *Request, length int) error {
	switch {
	case length <= freeBodyBytes:
		return c.reserveSmall(r, int64(length))
	case length <= memory.SmallBytes:
		return c.waitForMemory(r, memory.Small, int64(length))
	default:
		// A body that is larger than the memory for large ones is read while no other is held.
		return c.waitForMemory(r, memory.Large, min(int64(length), c.server.memory.MaxLarge()))
	}
}

func (c *conn) reserveSmall(r *Request, n int64) error {
	err := c.reserve(r, memory.Small, n, 0)
	if err == nil {
		r.bodyBytes += n
	}
	return err
}

// waitForMemory reserves memory, for which the body waits up to maxMemoryWait. The
// time within which the request must arrive does not run meanwhile. A body that has been read in part
// counts as stalled while it waits, so that it gives way when others need its memory.
func (c *conn) waitForMemory(r *Request, class memory.Class, n int64) error {
	start := time.Now()
	c.reading.Store(r.bodyBytes > 0)
	err := c.reserve(r, class, n, maxMemoryWait)
	c.transport.markRead()
	c.reading.Store(true)
	if err != nil {
		return err
	}
	r.bodyBytes += n
	c.setDeadline(func() { c.requestDeadline = c.requestDeadline.Add(time.Since(start)) })
	return nil
}
