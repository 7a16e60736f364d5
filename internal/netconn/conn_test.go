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

// slowConn yields its text one byte a read, or as many as the reader takes.
type slowConn struct {
	net.Conn
	text   *strings.Reader
	single bool
}

func (c slowConn) Read(p []byte) (int, error) {
	if c.single {
		p = p[:1]
	}
	return c.text.Read(p)
}

// A peer that sends single bytes cost a buffer of 4 KiB for each of them.
func TestBytesThatArriveSinglyTakeLittleMemory(t *testing.T) {
	const size, bound = 64 << 10, 4 << 20
	c, err := netconn.Wrap(slowConn{text: strings.NewReader(strings.Repeat("x", size)), single: true})
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
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > bound {
		t.Errorf("%d bytes received singly hold %d KiB, want at most %d KiB", size, held>>10, bound>>10)
	}
	if c.Len() != size {
		t.Errorf("%d bytes unread, want %d", c.Len(), size)
	}
}

// Guards against bytes that are lost, repeated or mixed up when the buffer moves.
func TestBytesArriveInOrderWhateverTheCalls(t *testing.T) {
	var text strings.Builder
	for i := range 40 << 10 {
		text.WriteByte(byte(i * 7 >> 3))
	}
	for _, single := range []bool{true, false} {
		c, err := netconn.Wrap(slowConn{text: strings.NewReader(text.String()), single: single})
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		for i := 0; ; i++ {
			if err := take(c, &got, i); errors.Is(err, io.EOF) {
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

// The codec keeps the body of a request without a copy while the next request on
// the connection is read. Guards against a caller's bytes in another's request.
func TestBytesHandedOutStayUntilReleased(t *testing.T) {
	const part = 100
	text := strings.Repeat("a", part) + strings.Repeat("b", 64<<10)
	for _, single := range []bool{true, false} {
		c, err := netconn.Wrap(slowConn{text: strings.NewReader(text), single: single})
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
			t.Errorf("single %v: the first bytes were overwritten", single)
		}
	}
}

// take reads some bytes, by another call each time.
func take(c *netconn.Conn, to *bytes.Buffer, call int) error {
	n := min(1+call*13%5000, 1+call)
	switch call % 4 {
	case 0:
		b, err := c.ReadByte()
		if err == nil {
			to.WriteByte(b)
		}
		return err
	case 1:
		part := make([]byte, n)
		m, err := c.Read(part)
		to.Write(part[:m])
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
