// Package registration enters a daemon into the platform, for platforms that
// keep no list of daemons themselves. Nothing there expires by itself.
//
//	c := &registration.Controller{Store: store, Self: member, Log: log}
//	go c.Run(ctx)        // creates the entry, and again if it is removed
//	c.Seen(object)       // every change of an entry
//	c.Leave(ctx)         // at the start of a graceful exit
//
// There is one entry for each host, which the next start on the host replaces.
//
// Entries name the keys that daemons trust. Lookup reads the entry of a daemon
// that was refused because its entry had not arrived by way of other daemons:
//
//	l := &registration.Lookup{Store: store, Held: held, Apply: apply, Found: found, Log: log}
//	go l.Run(ctx)
//	l.Request(id)        // the id in the certificate of the refused daemon
package registration
