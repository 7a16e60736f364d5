// Package routing picks the upstream for one attempt of a request.
//
// The few slots of an upstream are shared by the homes of its service. Quotas
// deals each slot to one home, in proportion to the demand that the homes
// report, so that two homes rarely meet at a slot; a home borrows a slot dealt
// to another when the reports say that it is very likely free.
//
// Keep per service a []Candidate and an InFlight. Four times a second send
// InFlight.Report to the other homes; then, and whenever a report arrives
// (Merge), call Refresh and renew Quota and Others of the candidates:
//
//	inFlight.Refresh(now)
//	inFlight.Homes(self, homes) // fills in Demand
//	for i, quota := range routing.Quotas(self, homes, candidates) {
//		candidates[i].Quota = quota
//		candidates[i].Others = inFlight.Others(candidates[i].ID)
//	}
//	queue.SetCapacity(now, routing.Capacity(candidates))
//
// Call Choose for each attempt, with Own up to date:
//
//	choice, ok := routing.Choose(candidates, routing.Request{
//		Domain: "rabat", Idempotent: true, Tried: tried,
//	}, rng)
//	if !ok { /* choice.Reason says why */ }
//
// While fewer requests run at this home than Capacity, Choose finds an upstream
// for a first attempt. When it finds none for a retry, choose again with an
// empty Tried after a few milliseconds: a slot that was taken is soon free.
//
// Without a quota a home only borrows, so Quota must be set even for a single
// home. The package is pure, and Choose allocates nothing. The types are not
// safe for concurrent use; call them under the lock of the service's shard.
package routing
