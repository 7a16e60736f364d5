// Package membership maintains a daemon's view of the other daemons. The
// platform's membership list (the roster) names them but lags behind; failure
// detection corrects it for routing. The view is only eventually consistent, so
// no safety property may depend on it.
//
// View implements a SWIM-style protocol without I/O: one probe per period,
// indirect probes through two other daemons when a probe is not answered,
// suspicion that the suspected daemon refutes with a higher incarnation, and
// state updates piggybacked on the probes. The caller drives it with Tick,
// Receive and SetRoster under one lock:
//
//	view := membership.NewView(self, now, membership.DefaultParams())
//	view.SetRoster(now, members)
//	for _, m := range view.Tick(now, rng) { send(m.To, m) }
//	for _, m := range view.Receive(now, message) { send(m.To, m) }
//
// Controller drives a View over pkg/peer:
//
//	c, err := membership.Start(membership.Config{Self: self, Node: node, Seed: seed})
//	c.SetRoster(members)          // on every change of the platform's list
//	hosts, version := c.Hosts()   // for placement; the version grows when hosts change
//	c.Observe(id, false)          // a forward to the daemon failed
//	c.Leave()                     // at the start of a graceful shutdown
//
// Host ids are unique per process: the daemon id of the certificate followed by
// peer.StartSeparator and a suffix unique to the process, or a daemon id that is
// itself new at each start.
package membership
