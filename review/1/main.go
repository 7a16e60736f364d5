// Command 1 shows that a configuration within the store's size limit never takes effect.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotglade/review/harness"
)

const (
	host        = "stones.example"
	from, to    = "stone-catalogue", "batch-ledger"
	change      = 12 * time.Second
	length      = 40 * time.Second
	applyMs     = 2000
	addedRoutes = 6000
	valueBytes  = 1048576
)

// result is the outcome of one client attempt.
type result struct {
	id, path, daemon string
	sent             time.Time
	status           int
	err              error
}

func main() { harness.Main(run) }

func route(name, prefix, service string) harness.Route {
	return harness.Route{
		Name: name, Host: host, Prefix: prefix, Type: "idempotent", Service: service,
		TimeoutMs: 4000, AimMs: 2000, Priority: 2, Attempts: 2,
	}
}

// before and after return the routes of the two versions: one route moves to another
// service, one is dropped and one is added.
func before() []harness.Route {
	return []harness.Route{route("r-move", "/move/", from), route("r-old", "/old/", from)}
}

func after(added int) []harness.Route {
	routes := []harness.Route{route("r-move", "/move/", to), route("r-new", "/new/", to)}
	for i := range added {
		routes = append(routes, route(fmt.Sprintf("r-%05d", i), fmt.Sprintf("/member%05d/", i), from))
	}
	return routes
}

func run(c *harness.Case) (bool, error) {
	store, err := harness.StartStore()
	if err != nil {
		return false, err
	}
	defer store.Close()
	services, zones := []string{from, to}, []string{"qld-south-a", "qld-south-b", "qld-south-c"}
	store.Put("config", "main", harness.Config(7, before(), services))
	records, serviceOf := &harness.Records{}, map[string]string{}
	for i := range 12 {
		service := services[i%2]
		w, err := harness.StartWorker(fmt.Sprint("w", i), harness.WorkerConfig{
			Service: service, Zone: zones[i%3], Slots: 6, Queue: 24,
			Work: func(*http.Request) time.Duration { return 100 * time.Millisecond },
		}, store, records)
		if err != nil {
			return false, err
		}
		serviceOf[w.ID()] = service
	}
	fleet, err := harness.NewFleet(c.Root, store, zones)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.Start(); err != nil {
		return false, err
	}
	c.Log("fleet ready")
	out, stop := &results{}, make(chan struct{})
	var all sync.WaitGroup
	for _, d := range fleet.Daemons {
		for _, path := range []string{"/move/1", "/old/1", "/new/1"} {
			all.Go(func() { client(d, path, stop, out) })
		}
	}
	time.Sleep(change)
	added := 0
	if c.Trouble {
		added = addedRoutes
	}
	config := harness.Config(9, after(added), services)
	size, err := json.Marshal(config)
	if err != nil {
		return false, err
	}
	store.Put("config", "main", config)
	acked := time.Now()
	c.Result("version 9 accepted by the store: %d routes, %d of %d bytes", added+2, len(size), valueBytes)
	if os.Getenv("REVIEW_RESTART") != "" {
		if err := restart(c, fleet); err != nil {
			return false, err
		}
	}
	time.Sleep(length - change - time.Since(acked))
	close(stop)
	all.Wait()
	return judge(c, out.list, records, serviceOf, acked), nil
}

// restart replaces one daemon. It is not part of the case.
func restart(c *harness.Case, fleet *harness.Fleet) error {
	time.Sleep(4 * time.Second)
	d := fleet.Daemons[0]
	c.Log("SIGTERM to %s", d.Name)
	d.Signal(syscall.SIGTERM)
	<-d.Exited()
	if err := fleet.StartDaemon(d, false); err != nil {
		return err
	}
	c.Log("%s starts again", d.Name)
	return nil
}

type results struct {
	mu   sync.Mutex
	list []result
}

func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// client reads one path again and again on a kept connection.
func client(d *harness.Daemon, path string, stop <-chan struct{}, out *results) {
	var conn *harness.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(200*time.Millisecond + time.Duration(rand.Int64N(int64(200*time.Millisecond)))):
		}
		if conn == nil {
			var err error
			if conn, err = harness.Dial(d.Frontend); err != nil {
				conn = nil
				continue
			}
		}
		r := &harness.Request{ID: harness.NewID(), Method: "GET", Host: host, Path: path, DeadlineMs: 8000}
		one := result{id: r.ID, path: path, daemon: d.Name, sent: time.Now()}
		var a *harness.Answer
		if one.err = conn.Send(r); one.err == nil {
			a, one.err = conn.Receive(8 * time.Second)
		}
		if one.err == nil {
			one.status = a.Status
		}
		out.add(one)
		if one.err != nil || a.Closes() {
			_ = conn.Close()
			conn = nil
		}
	}
}

// judge counts the requests that were sent later than the bound after the ack and were
// handled as only the older version allows.
func judge(c *harness.Case, list []result, records *harness.Records, serviceOf map[string]string, acked time.Time) bool {
	ranBy := map[string]string{}
	for _, r := range records.All() {
		ranBy[r.ID] = serviceOf[r.Server]
	}
	late, stale := 0, map[string]int{}
	for _, r := range list {
		c.LogAt(r.sent, "client sends %s (%s) to %s: status %d, run by %q, error %v", r.id, r.path, r.daemon, r.status, ranBy[r.id], r.err)
		if r.sent.Before(acked.Add(applyMs * time.Millisecond)) {
			continue
		}
		late++
		switch {
		case strings.HasPrefix(r.path, "/move/") && ranBy[r.id] == from:
			stale["run by the old service"]++
		case strings.HasPrefix(r.path, "/old/") && ranBy[r.id] != "":
			stale["run with a dropped route"]++
		case strings.HasPrefix(r.path, "/new/") && r.status == http.StatusNotFound:
			stale["refused with 404 though the route is there"]++
		}
	}
	c.Result("%d requests sent later than %d ms after the ack; handled as only the older version allows: %v", late, applyMs, stale)
	return len(stale) > 0
}
