package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"shallotglade/pkg/proxy"
	"shallotglade/pkg/verdict"
)

// Conn is a caller's connection to a daemon. Unlike Caller, it sends each request once and
// may send several before the first answer.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// ConnAnswer is an answer read from a Conn.
type ConnAnswer struct {
	Status  int
	Verdict verdict.Verdict
	// Closes is true if the daemon closes the connection after the answer.
	Closes bool
}

// Dial connects to the caller address of a daemon.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Send writes a request with a short body. The key may be empty.
func (c *Conn) Send(method, service, key string) error {
	const body = "x"
	keyHeader := ""
	if key != "" {
		keyHeader = proxy.HeaderKey + ": " + key + "\r\n"
	}
	_, err := fmt.Fprintf(c, "%s / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, proxy.HeaderService, service, keyHeader, len(body), body)
	return err
}

// Receive reads the next answer. It returns an error if the connection ends before the answer
// is complete, or if that takes longer than limit.
func (c *Conn) Receive(limit time.Duration) (ConnAnswer, error) {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return ConnAnswer{}, err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return ConnAnswer{}, err
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return ConnAnswer{}, err
	}
	return ConnAnswer{Status: r.StatusCode, Verdict: verdict.Parse(r.Header.Get(verdict.Header)), Closes: r.Close}, nil
}
