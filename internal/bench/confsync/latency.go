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
	// limit is when a change must be in force.
	limit = 5 * time.Second
	// spacing is the time between two changes.
	spacing = 50 * time.Millisecond
)

// latencyResult is the time from an accepted change to its being in force,
// over all daemons and changes.
type latencyResult struct {
	Case    string  `json:"case"`
	Way     string  `json:"way"`
	Daemons int     `json:"daemons"`
	Changes int     `json:"changes"`
	P50Ms   float64 `json:"p50Ms"`
	P99Ms   float64 `json:"p99Ms"`
	MaxMs   float64 `json:"maxMs"`
	// Missing are pairs of change and live daemon that were not in force 5 s
	// after the change (a later version of the same document counts).
	Missing int `json:"missing"`
	// RestartMs is the longest time until a daemon that started while the
	// platform was down held all documents; -1 means that it did not.
	RestartMs float64 `json:"restartMs,omitempty"`
}

// recorder notes when each daemon first holds a version of each change.
type recorder struct {
	mu   sync.Mutex
	at   map[string]map[int][]held // key, daemon
	made []made
}

type held struct {
	version uint64
	at      time.Time
}

type made struct {
	o  platform.Object
	at time.Time
}

func (r *recorder) hold(daemon int, o platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at[o.Key] == nil {
		r.at[o.Key] = map[int][]held{}
	}
	r.at[o.Key][daemon] = append(r.at[o.Key][daemon], held{o.Version, time.Now()})
}

// change updates one document in turn.
func (r *recorder) change(f *fleet, i, docs int) {
	ctx, key := context.Background(), docKey(i%docs)
	o, err := f.store.Get(ctx, key)
	if err != nil {
		panic(err)
	}
	start := time.Now()
	if o, err = f.store.Update(ctx, key, o.Version, make([]byte, docBytes)); err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made = append(r.made, made{o, start})
}

func (r *recorder) result(f *fleet) latencyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	res := latencyResult{Daemons: len(f.daemons), Changes: len(r.made), Way: way(f.naive)}
	for _, m := range r.made {
		for _, d := range f.daemons {
			if !d.isAlive() {
				continue
			}
			took := time.Duration(-1)
			for _, v := range r.at[m.o.Key][d.number] {
				if v.version >= m.o.Version {
					took = v.at.Sub(m.at)
					break
				}
			}
			if took < 0 || took > limit {
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

func way(naive bool) string {
	if naive {
		return "own watch each"
	}
	return "confsync"
}

// latency runs one case.
func latency(name string, o options, naive bool) latencyResult {
	f := newFleet(o.daemons, o.domains, o.docs, naive)
	defer f.close()
	if !f.waitReady(o.docs) {
		panic("the fleet did not start")
	}
	time.Sleep(time.Second)
	r := &recorder{at: map[string]map[int][]held{}}
	f.recorder.Store(r)
	restart := 0.0
	switch name {
	case "domain cut in one direction":
		f.cut.Store(int32(o.domains - 1))
	case "platform down at start":
		restart = restartDuringOutage(f, o.docs)
	}
	for i := range o.changes {
		if name == "relays killed" {
			switch i {
			case o.changes / 4: // the first relay of each domain
				killAll(f.daemons[:o.domains])
			case o.changes / 2: // and then the second
				killAll(f.daemons[o.domains : 2*o.domains])
			}
		}
		r.change(f, i, o.docs)
		time.Sleep(spacing)
	}
	time.Sleep(limit + time.Second)
	res := r.result(f)
	res.Case, res.RestartMs = name, restart
	return res
}

func killAll(daemons []*daemon) {
	for _, d := range daemons {
		d.kill()
	}
}

// restartDuringOutage replaces a third of the daemons while the platform is
// down, and returns how long it took until the last one held everything.
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
	for time.Since(start) < 2*limit {
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
	return fmt.Sprintf("| %s | %s | %.1f | %.1f | %.0f | %d | %.0f |", l.Case, l.Way, l.P50Ms, l.P99Ms, l.MaxMs, l.Missing, l.RestartMs)
}
