package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 1500 * time.Millisecond

// worker is a stand-in of a server of the users. It runs requests and keeps its entry in the
// store.
type worker struct {
	id, service, zone, address string
	work                       time.Duration
	record                     *record
	store                      *store
	born                       int64
	// onRun, if not nil, is called with each run and may answer itself.
	onRun func(w http.ResponseWriter, r *http.Request, body []byte) (answered bool)

	mu       sync.Mutex
	sequence int
	runs     []ranRequest
}

// ranRequest is a request that a worker has run.
type ranRequest struct {
	at                   time.Time
	id, method, uri, who string
	bodyBytes            int
}

// startWorker starts a worker that is ready.
func startWorker(r *run, id, service, zone string, work time.Duration) (*worker, error) {
	return startWorkerWith(r, id, service, zone, work, func(w *worker, ln net.Listener) { _ = http.Serve(ln, w) })
}

// startWorkerWith starts a worker whose connections are served by serve.
func startWorkerWith(r *run, id, service, zone string, work time.Duration, serve func(*worker, net.Listener)) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.30.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: ln.Addr().String(), work: work, record: r.record, store: r.store,
		born: time.Now().UnixMilli(),
	}
	go serve(w, ln)
	w.beat()
	go w.beatForever()
	return w, nil
}

func (w *worker) beatForever() {
	for range time.Tick(heartbeat) {
		w.beat()
	}
}

// beat writes the entry of the worker.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.store.put("servers", w.id, w.entryLocked())
}

func (w *worker) entryLocked() string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"max_concurrency":6},`+
		`"status":{"state":"ready","sequence":%d,"warmup_left_ms":0}}`, w.address, w.born, w.service, w.zone, w.sequence)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Attempt-Id")
	out.Header().Set("X-Attempt-Id", id)
	if in.URL.Path == "/healthz" {
		out.Header().Set("X-Instance-Id", w.id)
		return
	}
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	w.noteRun(id, in, body)
	if w.onRun != nil && w.onRun(out, in, body) {
		return
	}
	select {
	case <-time.After(w.work):
	case <-in.Context().Done():
		return
	}
	answer := "answer of " + w.id + " to " + id
	out.Header().Set("X-Response-Signature", signature(w.id, id))
	out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(out, answer)
}

func signature(worker, id string) string { return worker + "." + id }

func (w *worker) noteRun(id string, in *http.Request, body []byte) {
	w.record.printf("worker %s (%s) runs %s: %s %s, body of %d bytes", w.id, w.service, id, in.Method, in.RequestURI, len(body))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, ranRequest{at: time.Now(), id: id, method: in.Method, uri: in.RequestURI, who: w.id, bodyBytes: len(body)})
}

// ran returns the requests that the worker has run.
func (w *worker) ran() []ranRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ranRequest(nil), w.runs...)
}
