// Command 2 shows that lookups that were in flight when servers crashed are denied for
// minutes afterwards.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"shallotglade/review/harness"
)

const (
	host       = "stones.example"
	service    = "stone-catalogue"
	downFor    = 5 * time.Second
	length     = 92 * time.Second
	deadlineMs = 8000
	// readers is the number of clients that look up the same stone.
	readers, stones = 2, 16
)

// crashes are the times at which the servers of a zone crash.
var crashes = []time.Duration{10 * time.Second, 28 * time.Second, 46 * time.Second, 64 * time.Second}

// result is the outcome of one client attempt.
type result struct {
	id, path, daemon string
	sent             time.Time
	status           int
	signed           bool
	err              error
}

func main() { harness.Main(run) }

func run(c *harness.Case) (bool, error) {
	store, err := harness.StartStore()
	if err != nil {
		return false, err
	}
	defer store.Close()
	routes := []harness.Route{{
		Name: "r-stones", Host: host, Prefix: "/stone/", Type: "idempotent", Service: service,
		TimeoutMs: 4000, AimMs: 2000, Priority: 2, Attempts: 2,
	}}
	store.Put("config", "main", harness.Config(7, routes, []string{service}))
	zones := []string{"qld-south-a", "qld-south-b", "qld-south-c"}
	records := &harness.Records{}
	var workers []*harness.Worker
	for i, zone := range []int{0, 0, 0, 1, 1, 2} {
		w, err := harness.StartWorker(fmt.Sprint("w", i), harness.WorkerConfig{
			Service: service, Zone: zones[zone], Slots: 6, Queue: 24, Work: workTime,
		}, store, records)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
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
	results, stop := &results{}, make(chan struct{})
	var all sync.WaitGroup
	for stone := range stones {
		for range readers {
			d := fleet.Daemons[stone%len(zones)]
			path := fmt.Sprintf("/stone/%d", stone)
			all.Go(func() { client(d, path, stop, results) })
		}
	}
	for _, at := range crashes {
		time.Sleep(at - time.Since(c.Start))
		if c.Trouble {
			crash(c, workers[:3])
		}
	}
	time.Sleep(length - time.Since(c.Start))
	close(stop)
	all.Wait()
	return judge(c, results, records), nil
}

// workTime returns 0.61 s on average.
func workTime(*http.Request) time.Duration {
	return 305*time.Millisecond + time.Duration(rand.Int64N(int64(610*time.Millisecond)))
}

// crash ends the servers at the same moment and starts them again later.
func crash(c *harness.Case, workers []*harness.Worker) {
	for _, w := range workers {
		c.Log("server %s crashes", w.ID())
		w.Crash()
	}
	time.Sleep(downFor)
	for i, w := range workers {
		if err := w.Restart(fmt.Sprint("w", i)); err != nil {
			c.Log("server does not start: %v", err)
			continue
		}
		c.Log("server %s started", w.ID())
	}
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

// client reads one path again and again on a kept connection. After a refusal it waits as
// told, up to a third of its time limit.
func client(d *harness.Daemon, path string, stop <-chan struct{}, out *results) {
	var conn *harness.Conn
	pause := time.Duration(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause + 50*time.Millisecond + time.Duration(rand.Int64N(int64(100*time.Millisecond)))):
		}
		pause = 0
		if conn == nil {
			addresses, _, err := harness.Resolve(d.Registry, host, d.Zone)
			if err != nil {
				continue
			}
			if conn, err = harness.Dial(addresses[rand.IntN(len(addresses))]); err != nil {
				conn = nil
				continue
			}
		}
		r := &harness.Request{ID: harness.NewID(), Method: "GET", Host: host, Path: path, DeadlineMs: deadlineMs}
		one := result{id: r.ID, path: path, daemon: conn.Address, sent: time.Now()}
		var a *harness.Answer
		if one.err = conn.Send(r); one.err == nil {
			a, one.err = conn.Receive(deadlineMs * time.Millisecond)
		}
		if one.err == nil {
			one.status, one.signed = a.Status, a.FromServer()
			pause = min(a.RetryAfter(), deadlineMs*time.Millisecond/3)
		}
		out.add(one)
		if one.err != nil || a.Closes() {
			_ = conn.Close()
			conn = nil
		}
	}
}

// judge counts the requests that the daemons ended with a 4xx of their own.
func judge(c *harness.Case, results *results, records *harness.Records) bool {
	for _, r := range records.All() {
		c.LogAt(r.Began, "server %s runs %s (%s), whole: %t", r.Server, r.ID, r.Path, r.Whole)
	}
	denied, byPath, statuses := 0, map[string]int{}, map[int]int{}
	for _, r := range results.list {
		c.LogAt(r.sent, "client sends %s (%s) to %s: status %d, of a server: %t, error %v", r.id, r.path, r.daemon, r.status, r.signed, r.err)
		statuses[r.status]++
		switch {
		case r.signed, r.status < 300, r.status >= 500, r.status == 408, r.status == 421, r.status == 429:
		default:
			denied++
			byPath[r.path]++
		}
	}
	limit := 5 + len(results.list)/500
	c.Result("%d requests, by status %v; %d denied by the daemons, by path %v (limit %d)", len(results.list), statuses, denied, byPath, limit)
	return denied > limit
}
