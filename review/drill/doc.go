// Command drill runs one review case: it starts daemons as separate processes, plays the
// users' store, their servers and their clients on loopback addresses, and checks one rule
// of the users' pages by what clients and servers see.
//
//	drill --daemon target/shallotgladed --template deploy/settings.yaml --record record.txt CASE
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in
// the environment the disruption is left out.
package main
