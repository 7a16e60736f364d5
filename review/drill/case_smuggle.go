package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["two-lengths"] = playTwoLengths }

// playTwoLengths sends orders whose bodies contain the text of a further order. With trouble,
// the header states two lengths.
func playTwoLengths(r *run) (bool, error) {
	workers, err := r.begin(3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	sent := map[string]int{}
	for _, d := range r.fleet.daemons {
		inner := fmt.Sprintf("POST %sinner HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: inner-%s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", orderPath, host, d.name)
		id := newAttemptID()
		sent[id] = len(inner)
		lengths := fmt.Sprintf("Content-Length: %d\r\n", len(inner))
		if r.trouble {
			lengths += "Content-Length: 0\r\n"
		}
		head := fmt.Sprintf("POST %souter HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\n%s\r\n", orderPath, host, id, lengths)
		r.record.printf("client sends %s to %s: %q, body %q", id, d.name, head, inner)
		if err := r.sendText(d.frontend, head+inner); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	broken := false
	for _, w := range workers[orderService] {
		for _, q := range w.ran() {
			length, known := sent[q.id]
			switch {
			case !known:
				r.record.printf("UNASKED: worker %s ran %s (%s %s), which stood inside the body of another request", w.id, q.id, q.method, q.uri)
				broken = true
			case q.bodyBytes != length:
				r.record.printf("UNASKED: worker %s ran %s with a body of %d bytes; the client sent %d", w.id, q.id, q.bodyBytes, length)
				broken = true
			}
		}
	}
	return broken, nil
}

// sendText sends bytes on a new connection and records the answers of the next second.
func (r *run) sendText(to, text string) error {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	for reader := bufio.NewReader(c); ; {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil // no further answer
		}
		b, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		r.record.printf("client got status %d, body %.80q, %v", answer.StatusCode, b, err)
	}
}
