// Package dialect holds the names under which callers, daemons and upstreams
// exchange what the request path means: header names, the sign of a request
// that was not run, and the form of address answers.
//
// Native is the product's own dialect. The adapter of a platform may bring
// another one; nothing else in the daemon knows such names.
package dialect

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"shallotglade/pkg/verdict"
)

// Dialect is a set of names. An empty header name means that the header is not
// sent or looked at.
type Dialect struct {
	// RequestID carries the id of a request to upstreams and back. With
	// CallersID set, callers choose it; otherwise the daemon does.
	RequestID string
	CallersID bool
	// DeadlineMs is the time left for the answer in whole milliseconds.
	DeadlineMs string
	// ExpectUpstream names the upstream that is to run the request; any other
	// at the same address refuses it.
	ExpectUpstream string
	// Leaving is "true" in an answer of an upstream that takes no more work.
	Leaving string
	// Verdict tells a caller whether its request may have run.
	Verdict string
	// Upstream tells a caller which upstream answered.
	Upstream string
	// Echoes means that upstreams repeat the request id in every answer. An
	// answer without it is not taken for that to the present request when an
	// earlier one was sent on the same connection.
	Echoes bool
	// Unframed means that an answer may have no length and end with its
	// connection. Whoever gets it must be able to tell whether it is whole.
	Unframed bool
	// NotRun reports whether an upstream's answer states that the request did
	// not run.
	NotRun func(status int, header func(name string) string) bool
	// ProbedUpstream returns the id of the upstream that answered a probe, or
	// an empty text if the answer does not say.
	ProbedUpstream func(header func(name string) string) string
	// RetryAfter is the header value for a pause.
	RetryAfter func(time.Duration) string
	// Addresses is how callers ask which addresses to use.
	Addresses Addresses
	// ReadyPath answers 200 while the daemon takes callers' requests, on the
	// readiness listener.
	ReadyPath string
}

// Addresses is how callers ask which addresses to use.
type Addresses struct {
	Path string
	// AnyOrder means that callers use the addresses in any order, so that an
	// answer names none that should come last.
	AnyOrder bool
	// Parse reads a question; get returns a field of the query.
	Parse func(get func(name string) string) AddressQuery
	// Encode returns the JSON body of an answer.
	Encode func(AddressAnswer) ([]byte, error)
}

// AddressQuery is a caller's question which addresses to use.
type AddressQuery struct {
	// Service names a service. If it is empty, Host names the host of routes.
	Service string
	Host    string
	// Domain is the caller's failure domain.
	Domain string
	// Caller spreads callers over homes.
	Caller string
	// Failed lists addresses that have failed for this caller.
	Failed []string
}

// AddressAnswer lists addresses, the best first.
type AddressAnswer struct {
	Service   string
	Addresses []string
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
}

// Names of the native dialect.
const (
	HeaderRequestID  = "Shallotglade-Request-Id"
	HeaderDeadlineMs = "Shallotglade-Deadline-Ms"
	HeaderLeaving    = "Shallotglade-Leaving"
	HeaderUpstream   = "Shallotglade-Upstream"
	AddressesPath    = "/.well-known/shallotglade/addresses"
)

// NativeAnswer is the body of an address answer in the native dialect.
type NativeAnswer struct {
	Service    string   `json:"service"`
	Addresses  []string `json:"addresses"`
	LifetimeMs int64    `json:"lifetimeMs"`
}

// Native returns the product's own dialect.
func Native() *Dialect {
	return &Dialect{
		RequestID:  HeaderRequestID,
		DeadlineMs: HeaderDeadlineMs,
		Leaving:    HeaderLeaving,
		Verdict:    verdict.Header,
		Upstream:   HeaderUpstream,
		NotRun: func(status int, header func(string) string) bool {
			return status == 503 && verdict.Parse(header(verdict.Header)) == verdict.NotRun
		},
		ProbedUpstream: func(func(string) string) string { return "" },
		RetryAfter: func(d time.Duration) string {
			return strconv.Itoa(int(math.Ceil(d.Seconds())))
		},
		Addresses: Addresses{
			Path: AddressesPath,
			Parse: func(get func(string) string) AddressQuery {
				q := AddressQuery{Service: get("service"), Domain: get("domain")}
				if failed := get("failed"); failed != "" {
					q.Failed = strings.Split(failed, ",")
				}
				return q
			},
			Encode: func(a AddressAnswer) ([]byte, error) {
				return json.Marshal(NativeAnswer{Service: a.Service, Addresses: a.Addresses, LifetimeMs: a.Lifetime.Milliseconds()})
			},
		},
		ReadyPath: "/readyz",
	}
}
