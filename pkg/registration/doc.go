// Package registration enters a daemon into the platform, for platforms that
// keep no list of daemons themselves. Nothing there expires by itself.
//
//	c := &registration.Controller{Store: store, Self: member, Log: log}
//	go c.Run(ctx)        // creates the entry, and again if it is removed
//	c.Seen(object)       // every change of an entry
//	c.Leave(ctx)         // at the start of a graceful exit
//
// There is one entry for each host, which the next start on the host replaces.
package registration
