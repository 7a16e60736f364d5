// Package placement selects the homes of a service, the relays of a failure domain,
// and the addresses that a caller is given. Its functions are pure: they use no
// clock, goroutines or state.
//
//	homes := placement.Homes("bons-chantier", hosts, placement.Demand{PerDomain: placement.DefaultHomesPerDomain})
//	relays := placement.Relays("rabat", hosts, 2)
//	answer := placement.Addresses(placement.Query{Service: "bons-chantier", Domain: "rabat", Caller: "account-7", Now: now}, hosts, placement.Demand{PerDomain: 2})
//
// Homes and relays are selected by rendezvous hashing: each host gets a score from a
// hash of its name and the service or domain, and the hosts with the highest scores
// are selected. A host that joins or leaves moves only the services that it is or was
// a home of. Daemons with different views of the fleet may disagree for a while, so
// no invariant may depend on their agreement.
//
// A call costs one hash per host (see docs/decisions/placement.md). Callers that need
// the homes of the same service for every request should cache the result until the
// list of hosts changes.
package placement
