// Package detector finds unhealthy upstreams of a service from the outcomes that
// one home observes and from the summaries of the service's other homes.
//
// The package is pure: time is a parameter. A Group is not safe for concurrent
// use and must be called under the lock of its shard. A home keeps one Group per
// service:
//
//	g := detector.NewGroup(detector.TuningForWeight(weight))
//	g.SetUpstreams(now, upstreams)         // on every change of the membership list
//	if g.Observe(now, outcome) { ... }     // if true, assess and send the summary now
//	for _, a := range g.Assess(now) { ... }
//	send(g.Summary(now))                   // to the other homes, 4 times a second
//	g.Merge(now, home, summary)            // when a summary arrives; then assess
//	if g.Redial(upstream) { ... }          // dial again and observe the result
//	g.Reset(now, upstream)                 // when the ejection record starts a trial
//
// Each upstream has one CUSUM statistic per alternative hypothesis: three
// failure shares and four kinds of slowness. An outcome adds its log-likelihood
// ratio (alternative over baseline, in nats). The baseline is the behaviour of
// the service's median upstream, so that a fault of the whole service marks no
// single upstream as unhealthy. The threshold is derived from a target rate of
// false alarms.
//
// Additional rules:
//
//   - Probes alone never mark an upstream as healthy or unhealthy. Failing probes
//     add at most one nat to existing evidence from requests.
//   - A shed request indicates load and is not evidence of a fault.
//   - Failed dials, and timeouts that no other home observes, lead to PathBad:
//     this home avoids the upstream, and it is not ejected.
//   - The evidence in a summary is discounted and decays within seconds. It
//     marks an upstream as unhealthy only together with local evidence, or if
//     two other homes classify it as unhealthy and local evidence does not
//     contradict them.
package detector
