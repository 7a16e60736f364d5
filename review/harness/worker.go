package harness

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a server writes its entry.
const heartbeat = 1500 * time.Millisecond

// WorkerConfig configures a server stand-in.
type WorkerConfig struct {
	Service, Zone string
	Slots, Queue  int
	// Work returns how long a request runs.
	Work func(r *http.Request) time.Duration
}

// Run is one request that a server ran.
type Run struct {
	ID, Path string
	Server   string
	Began    time.Time
	// Ended is zero until the run has ended. Whole is true if it ran to its end.
	Ended time.Time
	Whole bool
}

// Worker is a stand-in of a server.
type Worker struct {
	config  WorkerConfig
	store   *Store
	records *Records
	addr    string

	mu       sync.Mutex
	id       string
	boot     int
	born     int64
	sequence int
	slots    chan struct{}
	waiting  int
	leaving  bool
	server   *http.Server
	stop     chan struct{}
}

// Records holds what all servers ran.
type Records struct {
	mu   sync.Mutex
	runs []*Run
}

// All returns a copy of the runs.
func (r *Records) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, len(r.runs))
	for i, run := range r.runs {
		out[i] = *run
	}
	return out
}

func (r *Records) begin(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *Records) end(run *Run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended, run.Whole = time.Now(), whole
}

// StartWorker starts a server and registers it.
func StartWorker(name string, c WorkerConfig, store *Store, records *Records) (*Worker, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	w := &Worker{config: c, store: store, records: records, addr: ln.Addr().String()}
	w.start(name, ln)
	return w, nil
}

// ID returns the id of the current start.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *Worker) start(name string, ln net.Listener) {
	w.mu.Lock()
	w.boot++
	w.id = fmt.Sprintf("i-%s-%d", name, w.boot)
	w.born, w.sequence = time.Now().UnixMilli(), 0
	w.slots, w.waiting = make(chan struct{}, w.config.Slots), 0
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	server, stop := w.server, w.stop
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	w.beat()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				w.beat()
			}
		}
	}()
}

// beat writes the server's entry.
func (w *Worker) beat() {
	w.mu.Lock()
	w.sequence++
	id, entry := w.id, map[string]any{
		"address": w.addr, "born": w.born,
		"info":   map[string]any{"service": w.config.Service, "version": "v1", "zone": w.config.Zone, "max_concurrency": w.config.Slots},
		"status": map[string]any{"state": "ready", "sequence": w.sequence, "warmup_left_ms": 0},
	}
	w.mu.Unlock()
	w.store.Put("servers", id, entry)
}

// Leave makes the server leave without reporting it: its entry is removed, it writes no
// more of them, and all its answers say that it is leaving. It continues to serve.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.leaving = true
	close(w.stop)
	w.stop = make(chan struct{})
	w.mu.Unlock()
	w.store.Delete("servers", w.ID())
}

// LateBeat executes a write of the entry that the server sent before it left and that got
// no response.
func (w *Worker) LateBeat() { w.beat() }

// Exit ends a server that has left. Its entry is removed.
func (w *Worker) Exit() {
	w.Crash()
	w.store.Delete("servers", w.ID())
}

// Crash ends the server at once: its connections close and new ones are refused.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
}

// Restart starts a crashed server again at its address, under a new id. The entry of the
// previous start is removed.
func (w *Worker) Restart(name string) error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.store.Delete("servers", w.ID())
	w.start(name, ln)
	return nil
}

// Signature returns the proof of a server for an answer.
func Signature(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	self, leaving := w.id, w.leaving
	w.mu.Unlock()
	rw.Header().Set("X-Instance-Id", self)
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	refuse := func(status int) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != self {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	received, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	release, ok := w.acquire(r)
	if !ok {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer release()
	run := &Run{ID: id, Path: r.URL.Path, Server: self, Began: time.Now()}
	w.records.begin(run)
	timer := time.NewTimer(w.config.Work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		w.records.end(run, false)
		return
	}
	w.records.end(run, true)
	w.mu.Lock()
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	body := fmt.Appendf(nil, "answer to %s for %s with %d bytes", id, r.URL.Path, len(received))
	rw.Header().Set("X-Response-Signature", Signature(id, body))
	_, _ = rw.Write(body)
}

// acquire waits for a slot. It returns false if the queue is full or the client left.
func (w *Worker) acquire(r *http.Request) (release func(), ok bool) {
	w.mu.Lock()
	slots := w.slots
	if w.waiting >= w.config.Queue+w.config.Slots {
		w.mu.Unlock()
		return nil, false
	}
	w.waiting++
	w.mu.Unlock()
	done := func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots; done() }, true
	case <-r.Context().Done():
		done()
		return nil, false
	}
}
