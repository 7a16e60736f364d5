package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The services and routes of all cases. readService serves idempotent requests, orderService
// those that may run at most once.
const (
	readService  = "huvo11a"
	orderService = "wuno96b"
	otherService = "kafi81c"
	readPath     = "/lepu270/"
	orderPath    = "/xapu221/"
)

// settleTime is how long a case waits after the start of its daemons: contact_ms (3 s) and
// some more, so that all of them are in touch.
const settleTime = 5 * time.Second

// routesTo returns the routes of the cases, with the given service behind the reads.
func routesTo(reads string) []routeSpec {
	return []routeSpec{{"r-9n73hh2", readPath, "idempotent", reads, 4000}, {"r-b9wu3fe", orderPath, "non_idempotent", orderService, 6000}}
}

// begin starts the store, three workers of each service and the daemons, and waits until all
// daemons are in touch.
func (r *run) begin(daemons int, work time.Duration) (map[string][]*worker, error) {
	var err error
	if r.store, err = startStore("127.0.10.1"); err != nil {
		return nil, err
	}
	workers := map[string][]*worker{}
	for _, service := range []string{readService, orderService, otherService} {
		for i, zone := range zones {
			w, err := startWorker(r, fmt.Sprintf("i-%s-%d", service, i+1), service, zone, work)
			if err != nil {
				return nil, err
			}
			workers[service] = append(workers[service], w)
		}
	}
	r.store.put("config", "main", configText(7, routesTo(readService), readService, orderService, otherService))
	if err := r.fleet.start(daemons, r.store.address); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return workers, nil
}

// keptConnection is a client's connection that has already carried a request.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	to     string
}

// openKept opens a connection and sends an order on it, which has to succeed.
func (r *run) openKept(to string) (*keptConnection, error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	k := &keptConnection{conn: c, reader: bufio.NewReader(c), to: to}
	if a := r.order(k); a.status != http.StatusOK {
		return nil, fmt.Errorf("the first order on a connection got status %d: %w", a.status, a.problem)
	}
	return k, nil
}

// order sends an order on a kept connection and waits for its answer.
func (r *run) order(k *keptConnection) attempt {
	a := attempt{id: newAttemptID(), method: http.MethodPost, uri: orderPath + "ny95", host: host, to: k.to, sentAt: time.Now()}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
		a.uri, host, a.id, timeLimit.Milliseconds())
	a.problem = a.exchangeOn(k, text)
	a.endedAt = time.Now()
	r.record.printf("client sent %s to %s on a kept connection: POST %s -> status %d, problem %v, after %d ms",
		a.id, a.to, a.uri, a.status, a.problem, a.endedAt.Sub(a.sentAt).Milliseconds())
	return a
}

func (a *attempt) exchangeOn(k *keptConnection, text string) error {
	_ = k.conn.SetDeadline(time.Now().Add(timeLimit))
	if _, err := io.WriteString(k.conn, text); err != nil {
		return err
	}
	answer, err := http.ReadResponse(k.reader, &http.Request{Method: a.method})
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

// countLost sends an order on each of several kept connections to a daemon, runs trouble while
// the workers are at work on them, and returns how many of the orders were passed on to a worker
// and got no answer before their connection closed.
func (r *run) countLost(d *daemon, connections int, orderWorkers []*worker, trouble func()) (int, error) {
	var kept []*keptConnection
	for range connections {
		k, err := r.openKept(d.frontend)
		if err != nil {
			return 0, err
		}
		kept = append(kept, k)
	}
	attempts := make([]attempt, len(kept))
	var orders sync.WaitGroup
	for i, k := range kept {
		orders.Go(func() { attempts[i] = r.order(k) })
	}
	time.Sleep(orderWork / 4)
	trouble()
	orders.Wait()
	ran := map[string]bool{}
	for _, w := range orderWorkers {
		for _, q := range w.ran() {
			ran[q.id] = true
		}
	}
	lost := 0
	for _, a := range attempts {
		timedOut := a.endedAt.Sub(a.sentAt) >= timeLimit
		if a.status == 0 && ran[a.id] && !timedOut {
			r.record.printf("LOST: %s was passed on to a worker, and %s closed its kept connection without an answer", a.id, d.name)
			lost++
		}
	}
	return lost, nil
}

// orderWork is how long a worker works on a request in the cases that count lost orders.
const orderWork = time.Second
