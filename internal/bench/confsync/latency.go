package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const (
	// inForceTimeout is the target for a change to be in force at every daemon.
	inForceTimeout = 5 * time.Second
	// changeInterval is the time between two changes.
	changeInterval = 50 * time.Millisecond
)

// latencyResult holds the time from the start of a change until it is in force,
// over all daemons and changes.
type latencyResult struct {
	Case    string  `json:"case"`
	Variant string  `json:"way"`
	Daemons int     `json:"daemons"`
	Changes int     `json:"changes"`
	P50Ms   float64 `json:"p50Ms"`
	P99Ms   float64 `json:"p99Ms"`
	MaxMs   float64 `json:"maxMs"`
	// Missing counts the pairs of change and live daemon where neither the change
	// nor a later version of the document was in force after inForceTimeout.
	Missing int `json:"missing"`
	// RestartMs is the time until the last daemon that restarted during a
	// platform outage had all documents, or -1 if that took too long.
	RestartMs float64 `json:"restartMs,omitempty"`
}

// recorder records the changes and the times at which daemons receive them.
type recorder struct {
	mu       sync.Mutex
	receipts map[string]map[int][]receipt // by key and daemon number
	changes  []acceptedChange
}

type receipt struct {
	version uint64
	at      time.Time
}

type acceptedChange struct {
	object platform.Object
	at     time.Time
}

func (r *recorder) record(daemon int, o platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receipts[o.Key] == nil {
		r.receipts[o.Key] = map[int][]receipt{}
	}
	r.receipts[o.Key][daemon] = append(r.receipts[o.Key][daemon], receipt{o.Version, time.Now()})
}

// applyChange updates document i modulo docs.
func (r *recorder) applyChange(f *fleet, i, docs int) {
	ctx, key := context.Background(), docKey(i%docs)
	o, err := f.store.Get(ctx, key)
	if err != nil {
		panic(err)
	}
	start := time.Now()
	if o, err = f.store.Update(ctx, key, o.Version, make([]byte, documentBytes)); err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, acceptedChange{o, start})
}

func (r *recorder) result(f *fleet) latencyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	res := latencyResult{Daemons: len(f.daemons), Changes: len(r.changes), Variant: variantName(f.naive)}
	for _, change := range r.changes {
		for _, d := range f.daemons {
			if !d.isAlive() {
				continue
			}
			took := time.Duration(-1)
			for _, v := range r.receipts[change.object.Key][d.number] {
				if v.version >= change.object.Version {
					took = v.at.Sub(change.at)
					break
				}
			}
			if took < 0 || took > inForceTimeout {
				res.Missing++
				continue
			}
			_ = h.RecordValue(max(took.Microseconds(), 1))
		}
	}
	res.P50Ms = float64(h.ValueAtQuantile(50)) / 1000
	res.P99Ms = float64(h.ValueAtQuantile(99)) / 1000
	res.MaxMs = float64(h.Max()) / 1000
	return res
}

func variantName(naive bool) string {
	if naive {
		return "own watch each"
	}
	return "confsync"
}

// measureLatency runs one case.
func measureLatency(name string, o options, naive bool) latencyResult {
	f := newFleet(o.daemons, o.domains, o.docs, naive)
	defer f.close()
	if !f.waitReady(o.docs) {
		panic("fleet did not become ready before the timeout")
	}
	time.Sleep(time.Second)
	r := &recorder{receipts: map[string]map[int][]receipt{}}
	f.recorder.Store(r)
	restartMs := 0.0
	switch name {
	case "domain cut in one direction":
		f.cutDomain.Store(int32(o.domains - 1))
	case "platform down at start":
		restartMs = restartDuringOutage(f, o.docs)
	}
	for i := range o.changes {
		if name == "relays killed" {
			switch i {
			case o.changes / 4: // kill the first relay of each domain
				killAll(f.daemons[:o.domains])
			case o.changes / 2: // then kill the second relay
				killAll(f.daemons[o.domains : 2*o.domains])
			}
		}
		r.applyChange(f, i, o.docs)
		time.Sleep(changeInterval)
	}
	time.Sleep(inForceTimeout + time.Second)
	res := r.result(f)
	res.Case, res.RestartMs = name, restartMs
	return res
}

func killAll(daemons []*daemon) {
	for _, d := range daemons {
		d.kill()
	}
}

// restartDuringOutage restarts a third of the daemons while the platform is
// down. It returns the milliseconds until all daemons have all documents, or -1
// after twice inForceTimeout.
func restartDuringOutage(f *fleet, docs int) float64 {
	f.store.SetFaults(memstore.Faults{Down: true})
	defer f.store.SetFaults(memstore.Faults{})
	start := time.Now()
	for i, d := range f.daemons {
		if i%3 == 1 {
			d.stop()
			d.start()
		}
	}
	for time.Since(start) < 2*inForceTimeout {
		ready := true
		for _, d := range f.daemons {
			ready = ready && d.ready(docs)
		}
		if ready {
			return float64(time.Since(start).Microseconds()) / 1000
		}
		time.Sleep(time.Millisecond)
	}
	return -1
}

func (l latencyResult) String() string {
	return fmt.Sprintf("| %s | %s | %.1f | %.1f | %.0f | %d | %.0f |", l.Case, l.Variant, l.P50Ms, l.P99Ms, l.MaxMs, l.Missing, l.RestartMs)
}
