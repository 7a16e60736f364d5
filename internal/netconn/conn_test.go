package netconn_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"shallotglade/internal/netconn"
)

// textConn is a connection that yields a text. With single set, each read returns one byte.
type textConn struct {
	net.Conn
	text   *strings.Reader
	single bool
}

func (c textConn) Read(p []byte) (int, error) {
	if c.single {
		p = p[:1]
	}
	return c.text.Read(p)
}

// Guards against a buffer that allocates memory for each read: a peer that sends single
// bytes then consumes 4 KiB for each of them.
func TestSingleByteReadsUseLittleMemory(t *testing.T) {
	const size, bound = 64 << 10, 4 << 20
	c, err := netconn.Wrap(textConn{text: strings.NewReader(strings.Repeat("x", size)), single: true})
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := 1; n <= size; n++ {
		if b, err := c.Peek(n); err != nil || len(b) != n {
			t.Fatalf("peek %d: %d bytes, %v", n, len(b), err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > bound {
		t.Errorf("%d bytes received one by one use %d KiB, want at most %d KiB", size, used>>10, bound>>10)
	}
	if c.Len() != size {
		t.Errorf("%d bytes unread, want %d", c.Len(), size)
	}
}

// Guards against bytes that are lost, repeated or reordered when the buffer moves.
func TestMixedReadCallsReturnBytesInOrder(t *testing.T) {
	var text strings.Builder
	for i := range 40 << 10 {
		text.WriteByte(byte(i * 7 >> 3))
	}
	for _, single := range []bool{true, false} {
		c, err := netconn.Wrap(textConn{text: strings.NewReader(text.String()), single: single})
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		for i := 0; ; i++ {
			if err := readSome(c, &got, i); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if got.String() != text.String() {
			t.Errorf("single %v: got %d bytes that differ from the %d sent", single, got.Len(), text.Len())
		}
	}
}

// Guards against bytes of one request in another. The codec keeps the body of a request
// without a copy while it reads the next request of the connection.
func TestPeekedBytesStayValidUntilRelease(t *testing.T) {
	const part = 100
	text := strings.Repeat("a", part) + strings.Repeat("b", 64<<10)
	for _, single := range []bool{true, false} {
		c, err := netconn.Wrap(textConn{text: strings.NewReader(text), single: single})
		if err != nil {
			t.Fatal(err)
		}
		first, err := c.Peek(part)
		if err != nil {
			t.Fatal(err)
		}
		for range len(text) {
			if err := c.Skip(1); err != nil {
				t.Fatal(err)
			}
		}
		if string(first) != text[:part] {
			t.Errorf("single %v: the peeked bytes were overwritten", single)
		}
	}
}

// readSome reads some bytes and cycles through the read methods.
func readSome(c *netconn.Conn, to *bytes.Buffer, call int) error {
	n := min(1+call*13%5000, 1+call)
	switch call % 4 {
	case 0:
		b, err := c.ReadByte()
		if err == nil {
			to.WriteByte(b)
		}
		return err
	case 1:
		buf := make([]byte, n)
		m, err := c.Read(buf)
		to.Write(buf[:m])
		return err
	case 2:
		if _, err := c.Peek(1); err != nil {
			return err
		}
		b, err := c.ReadBinary(c.Len())
		to.Write(b)
		return err
	default:
		b, err := c.Peek(1)
		if err != nil {
			return err
		}
		to.Write(b)
		if err := c.Skip(1); err != nil {
			return err
		}
		return c.Release()
	}
}

// brokenConn is a connection whose writes fail.
type brokenConn struct{ net.Conn }

var errBroken = errors.New("broken")

func (brokenConn) Write([]byte) (int, error) { return 0, errBroken }

// Guards against a large body whose write failed and whose connection is used again: the codec
// ignores errors of WriteBinary.
func TestFlushReportsFailedLargeWrite(t *testing.T) {
	c, err := netconn.Wrap(brokenConn{})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.WriteBinary(make([]byte, 1<<20))
	if err := c.Flush(); !errors.Is(err, errBroken) {
		t.Errorf("flush returned %v", err)
	}
}
