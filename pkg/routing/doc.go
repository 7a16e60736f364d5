// Package routing selects the upstream for one attempt of a request.
//
// The slots of an upstream are shared by the homes of its service. Quotas assigns
// each slot to one home, in proportion to the demand that the homes report, so that
// two homes rarely use the same slot. A home borrows a slot assigned to another home
// when the reports show that it is very likely free.
//
// Keep a []Candidate and an InFlight per service. Four times a second, send
// InFlight.Report to the other homes. After that, and whenever a report arrives
// (Merge), call Refresh and update Quota and OthersInFlight of the candidates:
//
//	inFlight.Refresh(now, maxCurrentAge)
//	inFlight.FillDemand(self, homes)
//	for i, quota := range routing.Quotas(self, homes, candidates) {
//		candidates[i].Quota = quota
//		c := &candidates[i]
//		c.OthersInFlight, c.OthersCurrent = inFlight.Others(c.ID)
//		c.OwnInFlight = inFlight.Own(c.ID)
//	}
//	capacity, reserve := routing.Capacity(candidates, running)
//	queue.SetCapacity(now, capacity, reserve)
//
// Call Choose for each attempt, with OwnInFlight up to date:
//
//	choice, ok := routing.Choose(candidates, routing.Request{
//		Now: now, Domain: "rabat", Idempotent: true, Tried: tried,
//	}, rng)
//	if !ok { /* choice.Reason is the cause */ }
//
// When an upstream sheds a request, set the candidate's PausedUntil to now plus
// ShedPause. While this home runs fewer requests than Capacity and no upstream is
// paused, Choose finds an upstream for a first attempt. If it finds none (AllBusy,
// AllTried), keep the request's permit and choose again, with an empty Tried, when a
// slot or an upstream becomes free. An Index makes repeated choices cheap.
//
// Without a quota a home can only borrow slots, so set Quota even for a single home.
// The package does no I/O, and Choose does not allocate. The types are not safe for
// concurrent use; call them under the lock of the service's shard.
package routing
