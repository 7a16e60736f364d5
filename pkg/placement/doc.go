// Package placement decides which daemons are homes of a service, which are
// relays of a failure domain, and which addresses a caller is given. It is
// pure: no clock, no goroutine, no state.
//
//	homes := placement.Homes("bons-chantier", hosts, placement.DefaultPerDomain)
//	relays := placement.Relays("rabat", hosts, 2)
//	answer := placement.Addresses(placement.Query{Service: "bons-chantier", Domain: "rabat", Caller: "account-7", Now: now}, hosts, 2)
//
// Homes and relays follow from rendezvous hashing: each host gets a score from
// a hash of its id and the service, and the highest scores win. A host that
// comes or goes moves only the services that it wins or had won. Daemons with
// different views of the fleet may disagree for a while; nothing that must
// always hold may depend on their agreement.
//
// A call costs one hash per host (see docs/decisions/placement.md). Callers
// that ask for the homes of the same service for each request should keep the
// result until the list of hosts changes.
package placement
