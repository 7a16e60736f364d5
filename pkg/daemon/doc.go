// Package daemon builds one daemon from its settings and runs it.
//
//	d, err := daemon.New(settings, log)   // opens the ports
//	err = d.Run(ctx)                      // serves until ctx ends, then drains and returns
//
// The rest of the package connects the controllers, which live in separate
// packages and share state through the blackboard.
package daemon
