package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// churnOptions describes a fleet whose upstreams change their entries.
type churnOptions struct {
	daemons, domains, upstreams int
	// changes and rewrites are entries per second that are written with and without a
	// change of their content.
	changes, rewrites float64
	window            time.Duration
}

// measureChurn returns the cost per daemon and second as a text, without QUIC.
func measureChurn(o churnOptions) string {
	f := &fleet{store: memstore.New(), domains: o.domains, prefixes: []string{platform.MembersPrefix}, relaysPerDomain: 1, reduceTraffic: true}
	f.cutDomain.Store(-1)
	versions, states := make([]uint64, o.upstreams), make([]int, o.upstreams)
	for i := range o.upstreams {
		created, err := f.store.Create(context.Background(), upstreamKey(i), upstreamValue(i, 0))
		if err != nil {
			panic(err)
		}
		versions[i] = created.Version
	}
	start := f.readCounters()
	f.startAll(o.daemons)
	for f.daemons[0].replica == nil || !f.allHold(o.upstreams) {
		time.Sleep(10 * time.Millisecond)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "all replicas filled after %v\n", time.Since(start.at).Round(10*time.Millisecond))
	f.report(&out, "start", time.Since(start.at).Seconds())
	time.Sleep(3 * time.Second)
	f.clearCounts()
	before := f.readCounters()
	var written atomic.Int64
	write := func(i, change int) {
		states[i] += change
		updated, err := f.store.Update(context.Background(), upstreamKey(i), versions[i], upstreamValue(i, states[i]))
		if err != nil {
			panic(err)
		}
		versions[i] = updated.Version
		written.Add(1)
	}
	begin, changed, rewritten := time.Now(), 0, 0
	for time.Since(begin) < o.window {
		elapsed := time.Since(begin).Seconds()
		for ; float64(changed) < elapsed*o.changes; changed++ {
			write(changed*7%o.upstreams, 1)
		}
		for ; float64(rewritten) < elapsed*o.rewrites; rewritten++ {
			write(rewritten%o.upstreams, 0)
		}
		time.Sleep(10 * time.Millisecond)
	}
	after := f.readCounters()
	r := ratesBetween(before, after)
	fmt.Fprintf(&out, "%d entries written in %v: %.1f messages/s, %.3f%% of a core a daemon\n", written.Load(), o.window, r.messages, r.cpuPercent)
	f.report(&out, "changes", after.at.Sub(before.at).Seconds())
	return out.String()
}

func upstreamKey(i int) string { return fmt.Sprintf("%si-worker-%04d-1", platform.MembersPrefix, i) }

func upstreamValue(i, state int) []byte {
	m := platform.Member{
		ID: fmt.Sprintf("i-worker-%04d-1", i), Role: platform.RoleUpstream, Service: "registre-steles", Address: fmt.Sprintf("127.31.%d.%d:41000", i/250, i%250),
		Domain: "tetouan", Slots: 2, State: platform.Live, Incarnation: 1_800_000_000_000 + uint64(state),
	}
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return value
}

func (f *fleet) allHold(objects int) bool {
	for _, d := range f.daemons {
		if len(d.replica.Range(platform.MembersPrefix)) < objects {
			return false
		}
	}
	return true
}

func (f *fleet) clearCounts() {
	for _, d := range f.daemons {
		for i := range d.byKind {
			d.byKind[i].Store(0)
		}
		d.crossDomain.Store(0)
	}
}

// report writes the bytes per daemon and second, by kind of message.
func (f *fleet) report(out *strings.Builder, phase string, seconds float64) {
	var total, cross uint64
	fmt.Fprintf(out, "%s, B/s a daemon:", phase)
	for i, kind := range confsync.Kinds() {
		var sum uint64
		for _, d := range f.daemons {
			sum += d.byKind[i].Load()
		}
		total += sum
		fmt.Fprintf(out, " %s %.0f", kind, float64(sum)/seconds/float64(len(f.daemons)))
	}
	for _, d := range f.daemons {
		cross += d.crossDomain.Load()
	}
	fmt.Fprintf(out, "; total %.0f, between domains %.0f (fleet)\n", float64(total)/seconds/float64(len(f.daemons)), float64(cross)/seconds)
}
