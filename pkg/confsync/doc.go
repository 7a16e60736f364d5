// Package confsync keeps a copy of the platform objects under given prefixes
// in every daemon, so that an accepted change is in force everywhere within
// seconds and never reverts.
//
// Replica is the copy: of two versions of an object it keeps the higher one,
// whatever the order in which they arrive. Syncer is the controller that feeds
// it:
//
//   - A relay lists and then watches the platform. It pushes what it learns to
//     the daemons of its failure domain and to one relay of each other domain,
//     which pushes it on within its own domain. In a large domain the push goes
//     through daemons that pass it on, so that a relay sends few copies. When it
//     takes its role it compares digests with its whole domain in the same way,
//     since it may hold changes that were pushed to nobody.
//   - Every daemon compares digests with one random peer each second, mostly
//     of its own domain, and both sides end with the newer objects. When the
//     peer does not answer, others are asked at once. What a daemon learns in
//     this way it passes on to a few daemons of its domain.
//   - A daemon reports ready when it has listed the platform itself, or has
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
