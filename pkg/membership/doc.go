// Package membership is a daemon's view of the other daemons. The platform's
// membership list (the roster) names them and lags; direct evidence corrects it
// for routing. Nothing that must always hold may depend on it.
//
// View is the pure core in the manner of SWIM: one probe a period, indirect
// probes through two others when a probe is not answered, suspicion that the
// suspected daemon refutes by a higher incarnation, and rumours carried by the
// probes. It is stepped by Tick, Receive and SetRoster under one lock:
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
//	hosts, version := c.Hosts()   // for placement; unchanged while version is
//	c.Observe(id, false)          // a forward to the daemon failed
//	c.Leave()                     // at the start of a graceful exit
//
// Host ids are unique per process start: the daemon id of the certificate
// followed by peer.StartSeparator and a mark of the start, or a daemon id that
// is itself new at each start.
package membership
