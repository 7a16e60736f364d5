package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["earlier-refusal"] = playEarlierRefusal }

const (
	// refusalHead is the head of a refusal as the wire page shows it, without its end.
	refusalHead = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1"
	// ordersSent is how many orders the client sends, ordersPause the pause between two.
	ordersSent  = 150
	ordersPause = 20 * time.Millisecond
	// bookingTime is how long the workers work on an order, and copyAfter when in this time the
	// faulty one writes its earlier refusal once more.
	bookingTime = 60 * time.Millisecond
	copyAfter   = 30 * time.Millisecond
)

// faultyWorker refuses the first order of each connection. With trouble, it writes this
// refusal once more on the kept connection, broken off, while it works on the next order.
type faultyWorker struct{ run *run }

// playEarlierRefusal sends orders to a daemon and counts how often each has run.
func playEarlierRefusal(r *run) (bool, error) {
	var err error
	if r.store, err = startStore("127.0.10.1"); err != nil {
		return false, err
	}
	f := &faultyWorker{run: r}
	faulty, err := startWorkerWith(r, "i-"+orderService+"-1", orderService, zones[0], bookingTime, f.serve)
	if err != nil {
		return false, err
	}
	workers := []*worker{faulty}
	for i, zone := range zones {
		w, err := startWorker(r, fmt.Sprintf("i-%s-%d", orderService, i+2), orderService, zone, bookingTime)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	r.store.put("config", "main", configText(7, routesTo(readService), readService, orderService))
	if err := r.fleet.start(len(zones), r.store.address); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	for range ordersSent {
		r.send(r.fleet.daemons[0].frontend, http.MethodPost, orderPath+"ny95", "order")
		time.Sleep(ordersPause)
	}
	return r.ranTwice(workers), nil
}

// ranTwice reports whether a request has run more than once.
func (r *run) ranTwice(workers []*worker) bool {
	runs := map[string][]string{}
	for _, w := range workers {
		for _, q := range w.ran() {
			runs[q.id] = append(runs[q.id], w.id)
		}
	}
	broken := false
	for id, who := range runs {
		if len(who) > 1 {
			r.record.printf("TWICE: the order %s ran at %v", id, who)
			broken = true
		}
	}
	return broken
}

func (f *faultyWorker) serve(w *worker, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.serveConn(w, c)
	}
}

// serveConn serves the requests of a connection, one at a time.
func (f *faultyWorker) serveConn(w *worker, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for refusals := 0; ; {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		id := in.Header.Get("X-Attempt-Id")
		switch {
		case in.URL.Path == "/healthz":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
		case refusals == 0:
			refusals++
			f.run.record.printf("worker %s refuses %s", w.id, id)
			_, _ = fmt.Fprintf(c, refusalHead+"\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		default:
			f.book(w, c, id, in, body, refusals == 1)
			refusals++
		}
	}
}

// book runs an order and answers it.
func (f *faultyWorker) book(w *worker, c net.Conn, id string, in *http.Request, body []byte, copyRefusal bool) {
	w.noteRun(id, in, body)
	time.Sleep(copyAfter)
	if f.run.trouble && copyRefusal {
		f.run.record.printf("worker %s writes its earlier refusal once more, broken off: %q", w.id, refusalHead)
		_, _ = io.WriteString(c, refusalHead)
	}
	time.Sleep(w.work - copyAfter)
	f.run.record.printf("worker %s answers %s with status 200", w.id, id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: 6\r\n\r\nbooked", id, signature(w.id, id))
}
