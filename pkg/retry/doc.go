// Package retry decides whether a failed attempt is sent again.
//
// Keep one Budget per service at each home, under the lock of its shard. Call
// Request once for each request that is dispatched for the first time, and
// Decide after each attempt that did not bring a usable response:
//
//	budget.Request(now)
//	...
//	if d := budget.Decide(now, retry.Attempt{...}); d.Retry { /* another upstream, at once */ }
//
// All attempts beyond the first of a request are paid from the budget,
// including those after an upstream has shed the request, so that attempts
// never exceed (1 + Ratio) times the requests since the start of the budget. With
// Policy.Window set, the bound holds in every span of that length instead; each
// home of a service then has its part of the fleet's Allowance, and a daemon that is
// no longer a home calls HandOver for what each of the homes gets by TakeOver.
package retry
