// Package dialect defines the names and formats that callers, daemons and upstreams
// use with requests: header names, how an upstream reports that a request was not
// run, and the format of address answers.
//
// Native is the product's own dialect. The adapter of a platform may define another
// one. The rest of the daemon contains no such names.
package dialect

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"shallotglade/pkg/verdict"
)

// Dialect is a set of names and formats. A header with an empty name is neither sent
// nor read.
type Dialect struct {
	// RequestID is the header with the id of a request, sent to upstreams and
	// returned by them. Callers choose the id if CallerSetsRequestID is
	// true, otherwise the daemon does.
	RequestID           string
	CallerSetsRequestID bool
	// Account is the header with the name of the client account, sent to upstreams if the
	// request has a key of an account. What callers send under this name is not forwarded
	// then.
	Account string
	// DeadlineMs is the header with the remaining time for the answer, in whole
	// milliseconds.
	DeadlineMs string
	// ExpectUpstream is the header with the id of the upstream that must run the
	// request. Any other upstream at the same address refuses it.
	ExpectUpstream string
	// Leaving reports whether an answer states that the upstream which sent it accepts
	// no more requests.
	Leaving func(status int, header func(name string) string) bool
	// Pause returns how long the upstream that sent an answer wants no requests from
	// this daemon, or 0.
	Pause func(status int, header func(name string) string) time.Duration
	// Verdict is the header that states to the caller whether its request may
	// have run.
	Verdict string
	// Upstream is the header with the id of the upstream that answered.
	Upstream string
	// EchoesRequestID is true if upstreams return the request id in every answer. On a
	// connection that has carried an earlier request, an answer without the id is
	// then not accepted as the answer to the current request.
	EchoesRequestID bool
	// AllowUnframed is true if an answer without a length, which ends when its
	// connection closes, is allowed. Its receiver must be able to detect
	// truncation.
	AllowUnframed bool
	// NotRun reports whether an upstream's answer states that the request did
	// not run.
	NotRun func(status int, header func(name string) string) bool
	// Valid reports whether the answer of an upstream that ran the request may be one. Others are
	// failed attempts that may have run. It is nil if all answers are valid.
	Valid func(status int, header func(name string) string) bool
	// ProbedUpstream returns the id of the upstream that answered a probe, or
	// "" if the answer does not contain it.
	ProbedUpstream func(header func(name string) string) string
	// RetryAfter formats a pause as the value of the Retry-After header.
	RetryAfter func(time.Duration) string
	// Addresses defines the format of address queries and answers.
	Addresses Addresses
	// ReadyPath is the path on the readiness listener that answers 200 while the
	// daemon accepts callers' requests.
	ReadyPath string
}

// Addresses defines how callers query the addresses to use.
type Addresses struct {
	Path string
	// AnyOrder is true if callers ignore the order of the addresses. Answers then
	// omit addresses that should be used only as a last resort.
	AnyOrder bool
	// Parse returns the address query of a request. get returns a parameter of
	// the URL query.
	Parse func(get func(name string) string) AddressQuery
	// Encode returns the JSON body of an answer.
	Encode func(AddressAnswer) ([]byte, error)
}

// AddressQuery is a caller's query for the addresses to use.
type AddressQuery struct {
	// Service is the name of a service. If it is empty, the service is found by
	// Host, the host of its routes.
	Service string
	Host    string
	// Domain is the caller's failure domain.
	Domain string
	// Caller identifies the caller, so that different callers get different homes.
	Caller string
	// Failed lists addresses that have failed for this caller.
	Failed []string
}

// AddressAnswer lists addresses in order of preference, the best first.
type AddressAnswer struct {
	Service   string
	Addresses []string
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

// Names of the native dialect.
const (
	HeaderRequestID  = "Shallotglade-Request-Id"
	HeaderAccount    = "Shallotglade-Caller"
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
		Account:    HeaderAccount,
		DeadlineMs: HeaderDeadlineMs,
		Leaving:    func(_ int, header func(string) string) bool { return header(HeaderLeaving) == "true" },
		Pause: func(status int, header func(string) string) time.Duration {
			if status != 503 {
				return 0
			}
			return ParseRetryAfter(header("Retry-After"), time.Now())
		},
		Verdict:  verdict.Header,
		Upstream: HeaderUpstream,
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
