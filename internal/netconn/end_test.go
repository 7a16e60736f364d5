package netconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"shallotglade/internal/netconn"
)

const (
	unframedPart = "HTTP/1.1 200 OK\r\n\r\npart"
	// uploadBytes is more than the socket buffers of both sides hold.
	uploadBytes = 16 << 20
)

// connect returns a connection and the other side of it.
func connect(t *testing.T) (*netconn.Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := netconn.Dial(ln.Addr().String(), netconn.DialConfig{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return c, peer.(*net.TCPConn)
}

// readBody reads an answer and returns its body.
func readBody(c *netconn.Conn) (string, error) {
	var answer protocol.Response
	if err := c.ReadAnswerHead(&answer.Header, 4<<10); err != nil {
		return "", err
	}
	b := netconn.AnswerBody{Conn: c, MaxBytes: 1 << 20}
	body, err := b.Read(&answer)
	return string(body), err
}

// startUpload writes until the connection ends or the peer has read everything, and returns the
// channel of the error.
func startUpload(c *netconn.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.WriteBinary(make([]byte, uploadBytes))
		written <- err
	}()
	return written
}

func sendAnswer(t *testing.T, peer net.Conn) {
	t.Helper()
	if _, err := io.WriteString(peer, unframedPart); err != nil {
		t.Fatal(err)
	}
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	peer.Close()
}

// Guards against a part of a body that passes for the whole one: a write gets the reset from the
// kernel, and the next read finds the end of the stream.
func TestBodyIsNotWholeIfAConcurrentWriteGetsTheReset(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for range 10 {
			c, peer := connect(t)
			written := startUpload(c)
			sendAnswer(t, peer)
			time.AfterFunc(delay, func() { reset(peer) })
			body, err := readBody(c)
			if !errors.Is(err, netconn.ErrNoLength) {
				t.Errorf("reset after %v: body %q, %v; the write returned %v", delay, body, err, <-written)
			}
		}
	}
}

func TestBodyIsNotWholeIfAnEarlierWriteGotTheReset(t *testing.T) {
	c, peer := connect(t)
	sendAnswer(t, peer)
	reset(peer)
	if _, err := c.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write returned %v", err)
	}
	if body, err := readBody(c); !errors.Is(err, netconn.ErrNoLength) {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against a check that waits for a peer which does not read, or that refuses a body whose
// connection was closed and only then reset.
func TestBodyIsWholeIfThePeerClosesItsSideDuringAWrite(t *testing.T) {
	for name, after := range map[string]func(*net.TCPConn){
		"and does not read": func(*net.TCPConn) {},
		"and resets the connection": func(peer *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			written := startUpload(c)
			sendAnswer(t, peer)
			if err := peer.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			go after(peer)
			if body, err := readBody(c); err != nil || body != "part" {
				t.Errorf("body %q, %v", body, err)
			}
			select {
			case err := <-written:
				if err == nil {
					t.Error("the upload was written")
				}
			case <-time.After(5 * time.Second):
				t.Error("the write still waits")
			}
		})
	}
}
