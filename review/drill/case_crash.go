package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["worker-bytes"] = playWorkerBytes
	cases["client-field"] = playClientField
	cases["client-target"] = playClientTarget
}

// Limits of the rule LOST: more than lostAllowed orders of one machine.
const (
	lostAllowed     = 3
	keptConnections = 6
	troubledDaemons = 2
)

// playWorkerBytes lets one worker, once at each of two daemons, send bytes that are not a
// response.
func playWorkerBytes(r *run) (bool, error) {
	workers, err := r.begin(len(zones), orderWork)
	if err != nil {
		return false, err
	}
	faulty := workers[readService][0]
	if r.trouble {
		faulty.onRun = func(out http.ResponseWriter, in *http.Request, _ []byte) bool {
			return r.sendNoResponse(out, in.Header.Get("X-Attempt-Id"))
		}
	}
	return r.countLostAtDaemons(workers[orderService], func(d *daemon) {
		for i := 0; i < 6 && !d.hasExited(); i++ {
			go r.send(d.frontend, http.MethodGet, readPath+"2f", "")
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// sendNoResponse sends bytes in place of a response and closes the connection.
func (r *run) sendNoResponse(out http.ResponseWriter, id string) bool {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	bytes := "HTTP/1.1 200 OK\r\nTrailer: ,,,,\r\n\r\n"
	r.record.printf("faulty worker sends %q in place of a response to %s", bytes, id)
	_, _ = io.WriteString(conn, bytes)
	return true
}

// playClientField sends one request with an empty element in its Trailer field to each of two
// daemons.
func playClientField(r *run) (bool, error) {
	workers, err := r.begin(len(zones), orderWork)
	if err != nil {
		return false, err
	}
	return r.countLostAtDaemons(workers[orderService], func(d *daemon) {
		names := "X-Checksum, X-Count"
		if r.trouble {
			names = "X-Checksum, , X-Count"
		}
		r.sendWithTrailer(d, names)
	})
}

// sendWithTrailer sends a chunked order that announces trailer fields.
func (r *run) sendWithTrailer(d *daemon, names string) {
	id := newAttemptID()
	c, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		r.record.printf("client cannot connect to %s: %v", d.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeLimit))
	r.record.printf("client sends %s to %s in chunks, with the field Trailer: %s", id, d.name, names)
	_, _ = fmt.Fprintf(c, "POST %sny95 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nTrailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"5\r\norder\r\n0\r\nX-Checksum: 7\r\nX-Count: 1\r\n\r\n", orderPath, host, id, timeLimit.Milliseconds(), names)
	answer := make([]byte, 1024)
	n, err := c.Read(answer)
	r.record.printf("client got %.60q for %s: %v", answer[:n], id, err)
}

// playClientTarget sends one request with an odd target and no Host field to the address of two
// daemons at which clients ask where to connect.
func playClientTarget(r *run) (bool, error) {
	workers, err := r.begin(len(zones), orderWork)
	if err != nil {
		return false, err
	}
	return r.countLostAtDaemons(workers[orderService], func(d *daemon) {
		text := "GET /-/resolve?name=" + host + "&region=" + region + "&zone=" + d.zone + " HTTP/1.1\r\nHost: " + d.registry + "\r\n\r\n"
		if r.trouble {
			text = "GET a: HTTP/1.1\r\n\r\n"
		}
		r.record.printf("client sends %q to the registry address of %s", text, d.name)
		if err := r.sendText(d.registry, text); err != nil {
			r.record.printf("client got an error: %v", err)
		}
	})
}

// countLostAtDaemons reports whether a daemon lost more orders than the rule allows.
func (r *run) countLostAtDaemons(orderWorkers []*worker, trouble func(*daemon)) (bool, error) {
	broken := false
	for _, d := range r.fleet.daemons[:troubledDaemons] {
		lost, err := r.countLost(d, keptConnections, orderWorkers, func() { trouble(d) })
		if err != nil {
			return false, err
		}
		r.record.printf("%s lost %d orders; %d are allowed; its process has ended by itself: %t", d.name, lost, lostAllowed, d.hasExited())
		broken = broken || lost > lostAllowed
	}
	return broken, nil
}
