// Package reliability estimates for each upstream of a service the probability
// that the next request to it fails, from few outcomes and their age.
//
// It is pure: time is a parameter, and an Estimator is not safe for concurrent
// use. A home keeps one per service, feeds it its own outcomes and those that
// the other homes report, and asks before each attempt:
//
//	e := reliability.New(reliability.DefaultModel())
//	e.Retain(ids)                      // on every change of the list of upstreams
//	e.Observe(now, outcome)            // own and remote ones
//	p := e.Failing(now, id)            // 0 to 1
//
// An upstream is a two-state Markov chain: it works, or it fails most of what it
// gets; both states last a random time. Failing is the probability of the
// failing state by the forward filter of that chain. Without outcomes it drifts
// towards the share of time that upstreams spend failing: a success counts for
// less the older it is, and so does a failure.
//
// Services with a few requests a second per upstream need this: a sequential
// test at a low rate of false alarms (package detector) is right for ejections
// but takes several failures, and each of them is a lost order. Here one failure
// is enough to prefer another upstream, and costs nothing when it was chance.
package reliability
