package netconn

import "io"

const (
	// minInput is the buffer of a connection whose messages are small, in bytes:
	// most requests and answers of the users fit.
	minInput = 4 << 10
	// keptInput is the largest buffer that is kept once it is empty, in bytes: most
	// connections wait most of the time.
	keptInput = 16 << 10
)

// input buffers what was received in one piece of memory. The buffers of the
// library's network package set 4 KiB aside for each read, so that a peer that
// sends single bytes costs thousands of times the memory of what it sends.
type input struct {
	from io.Reader
	buf  []byte
	// unread is buf[start:end].
	start, end int
}

// Len returns the number of unread bytes.
func (in *input) Len() int { return in.end - in.start }

// Peek returns the next n bytes, which stay valid until Release. It reads until
// there are as many.
func (in *input) Peek(n int) ([]byte, error) {
	for in.Len() < n {
		in.makeRoom()
		m, err := in.from.Read(in.buf[in.end:])
		in.end += m
		if err != nil && in.Len() < n {
			return nil, err
		}
	}
	return in.buf[in.start : in.start+n], nil
}

// makeRoom lets a read find room in the buffer. Memory that was handed out is
// left as it is, as the codec keeps bodies without copying them.
func (in *input) makeRoom() {
	if in.buf != nil && len(in.buf)-in.end >= minInput/2 {
		return
	}
	to := make([]byte, max(minInput, 2*in.Len()))
	in.end = copy(to, in.buf[in.start:in.end])
	in.start, in.buf = 0, to
}

// Skip drops the next n bytes.
func (in *input) Skip(n int) error {
	if _, err := in.Peek(n); err != nil {
		return err
	}
	in.start += n
	return nil
}

// Release ends the use of what was handed out, and gives up a large buffer that
// is empty.
func (in *input) Release() error {
	if in.Len() == 0 {
		in.start, in.end = 0, 0
		if len(in.buf) > keptInput {
			in.buf = nil
		}
	}
	return nil
}
