package testkit

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// EarlyAnswer is an answer that does not wait for the body of its request.
type EarlyAnswer struct {
	// Text is what is sent.
	Text string
	// End ends the connection after it.
	End Ending
}

// Ending ends a connection. stream is the connection, or TLS on top of it.
type Ending func(stream net.Conn, tcp *net.TCPConn)

// ResetAfter resets the connection after a delay.
func ResetAfter(delay time.Duration) Ending {
	return func(_ net.Conn, tcp *net.TCPConn) {
		time.Sleep(delay)
		reset(tcp)
	}
}

// closeDelay is long enough for the other side to notice that the sending side was closed.
const closeDelay = 50 * time.Millisecond

// CloseTCP closes the sending side without a closure alert of TLS, and then the connection, which
// resets it if there are unread bytes.
func CloseTCP(_ net.Conn, tcp *net.TCPConn) {
	_ = tcp.CloseWrite()
	time.Sleep(closeDelay)
	tcp.Close()
}

// CloseStream is CloseTCP after the closure alert of TLS, if that is used.
func CloseStream(stream net.Conn, tcp *net.TCPConn) {
	if secured, ok := stream.(*tls.Conn); ok {
		_ = secured.CloseWrite()
	}
	CloseTCP(stream, tcp)
}

func reset(tcp *net.TCPConn) {
	_ = tcp.SetLinger(0)
	tcp.Close()
}

// ServeEarly starts a server that answers one request of each connection as soon as its head has
// arrived, and ends the connection without reading the body. With a configuration it uses TLS. It
// listens until the end of the running spec, and returns its address.
func ServeEarly(config *tls.Config, answer func(*http.Request) EarlyAnswer) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(ln.Close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerEarly(c.(*net.TCPConn), config, answer)
		}
	}()
	return ln.Addr().String()
}

func answerEarly(tcp *net.TCPConn, config *tls.Config, answer func(*http.Request) EarlyAnswer) {
	defer tcp.Close()
	stream := net.Conn(tcp)
	if config != nil {
		stream = tls.Server(tcp, config)
	}
	r, err := http.ReadRequest(bufio.NewReader(stream))
	if err != nil {
		return
	}
	a := answer(r)
	if _, err := io.WriteString(stream, a.Text); err == nil {
		a.End(stream, tcp)
	}
}
