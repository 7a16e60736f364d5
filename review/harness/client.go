package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Answer is what a client received for one request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// FromServer reports whether the answer carries the proof of a server.
func (a *Answer) FromServer() bool { return a.Header.Get("X-Response-Signature") != "" }

// Request is a request of a client.
type Request struct {
	ID, Method, Host, Path string
	DeadlineMs             int
	Body                   []byte
}

// NewID returns a new id for a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Conn is a connection of a client to a daemon.
type Conn struct {
	net.Conn
	Address string
	reader  *bufio.Reader
}

// Dial opens a connection to a daemon.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, Address: address, reader: bufio.NewReader(c)}, nil
}

// Head returns the header of the request as it is sent.
func (r *Request) Head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.DeadlineMs)
	if r.Body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	return head + "\r\n"
}

// Send writes the request.
func (c *Conn) Send(r *Request) error {
	buffers := net.Buffers{[]byte(r.Head()), r.Body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// Receive reads the next answer. An error means that the connection ended without a
// complete answer, or that none came within the limit.
func (c *Conn) Receive(limit time.Duration) (*Answer, error) {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Closes reports whether the daemon closes the connection after the answer.
func (a *Answer) Closes() bool { return a.Header.Get("Connection") == "close" }

// Resolve asks a daemon for the addresses to use and for how long they hold.
func Resolve(registry, host, zone string) ([]string, time.Duration, error) {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {host}, "region": {"qld-south"}, "zone": {zone}}
	resp, err := client.Get("http://" + registry + "/-/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	if len(out.Addresses) == 0 {
		return nil, 0, fmt.Errorf("no addresses, status %d", resp.StatusCode)
	}
	return out.Addresses, time.Duration(out.TTL * float64(time.Second)), nil
}

// RetryAfter returns how long the daemon asks the client to wait.
func (a *Answer) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
