package daemon

// registerCounters registers the counters kept by the daemon's components.
func (d *Daemon) registerCounters() {
	if d.lookup != nil {
		d.metrics.RegisterCounter("entries_looked_up_total", "Reads of entries of refused daemons.", d.lookup.ReadCount)
	}
	d.metrics.RegisterGauge("copy_age_seconds", "Time since the copies of platform objects last held everything that a relay held.",
		func() float64 { return d.syncer.CopyAge().Seconds() })
	if d.adapter.RefusedEntries != nil {
		d.metrics.RegisterCounter("entries_refused_total", "Invalid entries of upstreams, each counted once for each reason.", d.adapter.RefusedEntries)
	}
	for _, t := range []struct {
		name, help string
		value      func() uint64
	}{
		{"peer_dials_total", "Handshakes begun with other daemons.", func() uint64 { return d.node.Stats().Dials }},
		{"peer_dial_errors_total", "Handshakes begun with other daemons that failed.", func() uint64 { return d.node.Stats().DialErrors }},
		{"memory_evictions_total", "Connections and responses closed because others needed their memory.", func() uint64 { return d.memory.Stats().Evicted }},
		{"sync_comparison_errors_total", "Failed comparisons of copies with other daemons.", func() uint64 { return d.syncer.Stats().DigestErrors }},
		{"sync_push_errors_total", "Changes that another daemon did not acknowledge.", func() uint64 { return d.syncer.Stats().PushErrors }},
		{"sync_pushes_dropped_total", "Changes not sent because too many were in progress.", func() uint64 { return d.syncer.Stats().Dropped }},
		{"sync_platform_errors_total", "Failed lists and watches at the platform.", func() uint64 { return d.syncer.Stats().PlatformErrors }},
	} {
		d.metrics.RegisterCounter(t.name, t.help, t.value)
	}
}
