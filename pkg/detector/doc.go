// Package detector judges the upstreams of one service from the outcomes that
// one home observes and from the summaries of the service's other homes.
//
// It is pure: time is a parameter, and a Group is not safe for concurrent use
// (call it under the lock of its shard). A home keeps one Group per service:
//
//	g := detector.NewGroup(detector.TuningFor(weight))
//	g.Retain(now, upstreams)               // on every change of the membership list
//	if g.Observe(now, outcome) { ... }     // true: assess and send the summary now
//	for _, a := range g.Assess(now) { ... }
//	send(g.Summary(now))                   // to the other homes, 4 times a second
//	g.Merge(now, home, summary)            // when one arrives; then assess
//	if g.Redial(upstream) { ... }          // dial again, observe the result
//	g.Restart(now, upstream)               // when the ejection record starts a trial
//
// Each upstream has one CUSUM per alternative hypothesis: three shares of
// failed work and four forms of slowness. An outcome adds the logarithm of its
// likelihood ratio (alternative over baseline, in nats). The baseline is what
// the median upstream of the service does, so that a fault of the whole service
// blames nobody. The threshold follows from a target rate of false alarms.
//
// Rules that the statistics do not show:
//
//   - Probes never make an upstream sick and never clear it. Failing probes add
//     at most one nat to an upstream that real work already incriminates.
//   - A shed request is load and changes nothing.
//   - Failed dials, and time-outs that no other home sees, are PathBad: the
//     home avoids the upstream, and nobody ejects it.
//   - A summary counts at a discount and fades within seconds. It makes an
//     upstream sick only together with own evidence, or when two other homes
//     each judge it sick and the own evidence does not contradict them.
package detector
