package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// attempt is one request of a client with its answer.
type attempt struct {
	id, method, uri, host, to string
	sentAt, endedAt           time.Time
	// status is 0 if there was no complete answer.
	status    int
	signature string
	body      string
	problem   error
}

var lastAttempt atomic.Uint64

// newAttemptID returns the id of a new attempt.
func newAttemptID() string { return fmt.Sprintf("%016x", lastAttempt.Add(1)+0x9c41d07b00000000) }

// timeLimit is how long clients wait for an answer.
const timeLimit = 12 * time.Second

// send sends one request on a new connection, as a client does, and waits for its answer.
func (r *run) send(to, method, uri, body string) attempt {
	a := attempt{id: newAttemptID(), method: method, uri: uri, host: host, to: to, sentAt: time.Now()}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, host, a.id, timeLimit.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.problem = a.exchange(text + "\r\n" + body)
	a.endedAt = time.Now()
	r.record.printf("client sent %s to %s: %s %s%s -> status %d, signature %q, problem %v, after %d ms",
		a.id, to, method, host, uri, a.status, a.signature, a.problem, a.endedAt.Sub(a.sentAt).Milliseconds())
	return a
}

func (a *attempt) exchange(text string) error {
	c, err := net.DialTimeout("tcp", a.to, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeLimit))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	a.status, a.signature, a.body = answer.StatusCode, answer.Header.Get("X-Response-Signature"), string(b)
	return nil
}
