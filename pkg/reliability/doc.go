// Package reliability estimates, for each upstream of a service, the probability that
// the next request to it fails. It works with few outcomes and takes their age into
// account.
//
// Time is a parameter, and the package does no I/O. An Estimator is not safe for
// concurrent use. A home keeps one per service, feeds it its own outcomes and those
// that the other homes report, and queries it before each attempt:
//
//	e := reliability.New(reliability.DefaultModel())
//	e.Retain(ids)                      // on every change of the list of upstreams
//	f := e.Observe(now, outcome)       // own outcomes; send f to the other homes
//	e.Merge(now, home, id, finding)    // findings of other homes
//	p := e.FailureProbability(now, id) // 0 to 1
//
// An upstream is modeled as a two-state Markov chain: it either works or fails most
// requests, and both states last a random time. FailureProbability is the probability
// of the failing state, computed by the forward filter of that chain. Without new
// outcomes it converges to the long-run share of time that upstreams spend failing,
// so that both successes and failures count less as they age.
//
// An upstream may be reachable from some homes only. For each home that lost requests to
// an upstream, or has overdue ones, the Estimator keeps the probability that the home's
// path to it is bad, and further ones of that home count less against the upstream.
//
// Services with a few requests per second and upstream need this. A sequential test
// with a low rate of false alarms (package detector) suits ejections but needs
// several failures, and each of them is a lost request. Here a single failure is
// enough to prefer another upstream, which costs nothing if it occurred by chance.
package reliability
