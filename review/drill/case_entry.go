package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["odd-entry"] = playOddEntry }

// playOddEntry lets another writer leave an entry among those of the workers, for an HTTP
// server that is no worker. The fields version, sequence and warmup_left_ms are missing.
func playOddEntry(r *run) (bool, error) {
	workers, err := r.begin(3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	ln, err := net.Listen("tcp", "127.0.31.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(r.answerAsOtherServer)) }()
	if r.trouble {
		entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"zone":%q,"max_concurrency":6},"status":{"state":"ready"}}`,
			ln.Addr(), time.Now().UnixMilli(), readService, zones[0])
		r.store.put("servers", "monitor-1", entry)
		r.record.printf("another writer leaves the entry monitor-1: %s", entry)
	}
	time.Sleep(2 * time.Second)
	broken := false
	for range 60 {
		for _, d := range r.fleet.daemons {
			a := r.send(d.frontend, http.MethodGet, readPath+"2f", "")
			if a.status/100 == 2 && !signedBy(a, workers[readService]) {
				r.record.printf("MIXED: the client got a success without a worker's signature for %s: %q", a.id, a.body)
				broken = true
			}
		}
	}
	return broken, nil
}

// answerAsOtherServer answers as an HTTP server that knows nothing of the users' protocol.
func (r *run) answerAsOtherServer(w http.ResponseWriter, in *http.Request) {
	r.record.printf("the other server gets %s %s, X-Attempt-Id %q", in.Method, in.RequestURI, in.Header.Get("X-Attempt-Id"))
	_, _ = io.WriteString(w, "monitor: all well\n")
}

func signedBy(a attempt, workers []*worker) bool {
	for _, w := range workers {
		if a.signature == signature(w.id, a.id) {
			return true
		}
	}
	return false
}
