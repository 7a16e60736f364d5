// Command soak plays random faults against the real programs as separate processes on
// one machine and checks what the callers and the upstreams see. The faults come from
// outside: a proxy on loopback before each upstream that delays, resets, silences or
// cuts connections one way; signals that stop, pause, kill and start daemons and pause
// upstreams; a platform that is away, slow or loses replies. They come in series that
// overlap, from a seed.
//
// The promises that are checked:
//
//   - an order with a key runs at most once; one that is answered as run has run, and
//     one that is only ever refused as not run has not;
//   - an answer belongs to its request and is whole;
//   - a daemon that is told to stop ends by itself, with success, within its grace;
//   - no daemon ends by itself otherwise;
//   - some seconds after the last fault every request is served.
//
// go run ./internal/soak -bin bin -seeds 50 plays fresh seeds, -seed N one of them.
package main
