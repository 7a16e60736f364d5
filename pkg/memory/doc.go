// Package memory accounts for the memory that a daemon holds for callers and upstreams.
//
// One Budget covers request bodies, headers by their expanded size, requests read ahead, answers
// that are not written yet, copies of requests and answers between daemons, and the
// responses of upstreams. Each holder has an Account. When a reservation does not fit, the holder
// that has made no progress for the longest time is evicted. The package uses no
// clock and starts no goroutine; whoever reserves decides whether to wait or to refuse.
//
//	account := budget.Open(memory.Large, holder)
//	defer account.Close()
//	switch result, released := account.Grow(time.Now(), bytes); result { ... }
package memory
