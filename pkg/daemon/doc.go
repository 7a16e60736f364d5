// Package daemon builds one daemon from its settings and runs it.
//
//	d, err := daemon.New(settings, log)   // opens the ports
//	err = d.Run(ctx)                      // until ctx ends, then leaves without loss
//
// Everything else is wiring: each controller lives in a package of its own and
// works on the blackboard.
package daemon
