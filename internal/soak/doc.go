// Command soak injects random faults into a fleet of real processes on one machine and
// checks what the callers and the upstreams observe. A seed determines the faults, which
// overlap. They are injected from outside the programs:
//
//   - a loopback proxy in front of each upstream delays or resets connections, or drops
//     the bytes of one or both directions;
//   - signals stop, pause, kill and restart daemons, and pause upstreams;
//   - the platform stand-in is unavailable, is slow or loses replies.
//
// In two thirds of the seeds the service has client accounts and an open route. Callers send
// keys of their accounts, wrong keys and none, and claim accounts of their own choice, while
// changes of the document take keys away, add them, and lower or raise allowances.
//
// Checked properties:
//
//   - An order with a key runs at most once. An order answered with the verdict "ran" has
//     run, and an order whose answers all say "not run" has not.
//   - Every answer is complete and belongs to its request.
//   - A daemon that receives SIGTERM exits with status 0 within its grace period.
//   - Daemons do not exit on their own at any other time.
//   - All requests are served again a few seconds after the last fault.
//   - No upstream gets a key, or an account other than that of the key.
//   - A request whose key no version of the document held does not run, nor does one that was
//     sent after its daemon had the time and the contact to apply a version without the key.
//   - A request gets 401 only if a version without its key may be in force, and 429 only if its
//     account may have an allowance.
//   - No window of 5 s has more requests of an account than its allowance permits.
//   - A request that is answered with the verdict "not run" has not run (with accounts; without,
//     only orders are checked).
//
// go run ./internal/soak -bin bin -seeds 50 runs 50 random seeds; -seed N runs one seed.
//
// With -stops, it injects no faults. It stops and starts daemons in series that overlap,
// reloads others, and slows upstreams down, and checks that each request around a stop gets
// its answer unless checkStops allows another end.
package main
