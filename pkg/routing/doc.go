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
//	inFlight.Refresh(now, presentFor)
//	inFlight.Homes(self, homes) // fills in Demand
//	for i, quota := range routing.Quotas(self, homes, candidates) {
//		candidates[i].Quota = quota
//		candidates[i].Others, candidates[i].OthersKnown = inFlight.Others(candidates[i].ID)
//	}
//	capacity, reserve := routing.Capacity(candidates)
//	queue.SetCapacity(now, capacity, reserve)
//
// Call Choose for each attempt, with Own up to date:
//
//	choice, ok := routing.Choose(candidates, routing.Request{
//		Now: now, Domain: "rabat", Idempotent: true, Tried: tried,
//	}, rng)
//	if !ok { /* choice.Reason says why */ }
//
// When an upstream sheds a request, set the candidate's PausedUntil to ShedPause
// from then. While fewer requests run at this home than Capacity and no upstream
// is paused, Choose finds one for a first attempt. When it finds none (AllBusy,
// AllTried), choose again with an empty Tried after a few milliseconds and keep
// the request's permit: a slot that was taken is soon free.
//
// Without a quota a home only borrows, so Quota must be set even for a single
// home. The package is pure, and Choose allocates nothing. The types are not
// safe for concurrent use; call them under the lock of the service's shard.
package routing
