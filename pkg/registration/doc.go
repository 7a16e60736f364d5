// Package registration writes an entry for a daemon to the platform. It is used
// with platforms that have no list of daemons. Entries do not expire.
//
//	c := &registration.Controller{Store: store, Self: member, Log: log}
//	go c.Run(ctx)          // creates the entry, and recreates it if it is lost
//	c.HandleChange(object) // for every change of an entry
//	c.Deregister(ctx)      // at the start of a graceful shutdown
//
// There is one entry per host. The next daemon that starts on the host replaces it.
//
// Entries contain the public keys that daemons trust. If a daemon was refused
// because its entry had not arrived from other daemons yet, Lookup reads the
// entry from the platform:
//
//	l := &registration.Lookup{Store: store, LocalID: localID, Apply: apply, OnFound: onFound, Log: log}
//	go l.Run(ctx)
//	l.Request(id)        // id from the certificate of the refused daemon
package registration
