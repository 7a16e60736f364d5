// Package confsync replicates the platform objects under given prefixes to
// every daemon. An accepted change takes effect on all daemons within seconds
// and never reverts.
//
// Replica is the local copy. It keeps the highest version of each object,
// regardless of the order of arrival. Syncer keeps the Replica up to date:
//
//   - A relay lists and then watches the platform. It pushes changed objects to
//     the daemons of its failure domain and to one relay of each other domain,
//     which pushes them within its own domain. In a large domain, receivers
//     forward the push, so that a relay sends few copies. A daemon that becomes
//     a relay compares digests with its whole domain in the same way, because
//     it may hold changes that were never pushed.
//   - Every daemon compares digests with a random peer once a second, usually
//     one of its own domain. Both sides end up with the newer objects. If the
//     peer does not answer, the daemon tries others immediately. It forwards
//     the objects that it received to a few daemons of its domain.
//   - Comparisons pass on the age of a copy: the time since it held everything that a relay
//     held. A daemon whose copy is older than a second compares it with a relay. If none
//     answers, directly or through other daemons, it follows the platform itself.
//   - An upstream's entry that is written again with the same content is stored under its
//     new version and not sent on: digests cover the content of these entries.
//   - Relays read the configuration once a second while it has accounts. Other daemons ask
//     them with a confirm message how long ago the store confirmed it. ConfirmedAge and
//     Confirm return what this daemon may conclude (docs/design/freshness.md).
//   - A daemon reports ready after it has listed the platform itself, or has
//     compared digests with several ready peers of more than one domain.
//
// Usage:
//
//	replica := confsync.NewReplica()
//	replica.OnChange(func(o platform.Object) { ... })
//	syncer, err := confsync.New(confsync.Config{Replica: replica, ...})
//	node.Handle(confsync.KindObjects, ...) // each kind calls syncer.Handle
//	go syncer.Run(ctx)
//	<-syncer.ReadyC()
package confsync
