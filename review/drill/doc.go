// Command drill plays a case of the second review: it starts daemons as separate processes,
// plays the users' store, their servers and their clients on loopback addresses, and checks one
// rule of the users' pages by what clients and servers see.
//
//	drill --daemon target/shallotgladed --template deploy/settings.yaml --record record.txt CASE
//
// Cases:
//
//	earlier-refusal  review/6
//	two-lengths      review/7
//	odd-entry        review/8
//	worker-bytes     review/9
//	client-target    review/10
//	client-field     the fault of review/9 by a client's request
//	restore          a configuration that goes back with the store
//	two-stops        entry 17 of KNOWN-RED.txt
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in
// the environment the disruption is left out.
package main
