// Package retry decides whether a failed attempt is retried.
//
// Keep one Budget per service at each home, under the lock of its shard. Call
// RecordRequest once per request, before its first attempt, and Decide after each
// attempt without a usable response:
//
//	budget.RecordRequest(now)
//	...
//	if d := budget.Decide(now, retry.Attempt{...}); d.Retry { /* another upstream, at once */ }
//
// All attempts after the first one of a request count against the budget, also
// after an upstream has shed the request, so that attempts never exceed (1 + Ratio)
// times the requests since the start of the budget. With Policy.Window set, the
// bound holds in every window of that length instead, plus Allowance. Each home of a
// service then has its share of the fleet's Allowance. A daemon that is no longer a
// home calls HandOver, and each of the current homes calls TakeOver with the result.
package retry
