// Package panics contains panics of code that handles bytes from outside: requests, answers of
// upstreams and of the platform, and messages of other daemons.
//
// Such bytes are checked before a library parses them. A panic that happens nevertheless must
// end one connection or call and not the process. It is logged with its stack and counted by
// Collectors. The code that recovers treats it as an error: it closes the connection, releases
// what the message held, and takes a request that was sent for one that may have run.
//
// Goroutines for such bytes are started with Go, or defer Recover; pools of them use Handler.
package panics
