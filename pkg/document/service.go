package document

import (
	"time"

	"shallotglade/internal/strictyaml"
	"shallotglade/pkg/account"
)

// Service is one service's document with its defaults applied.
type Service struct {
	// Service is the name: lower-case letters, digits and dashes, at most 63.
	Service string `yaml:"service"`
	// Team owns the service; the administration keys of the team may change the
	// document. Default: the name of the service.
	Team string `yaml:"team"`
	// Routes select requests for the service, in addition to requests that name
	// it in the Shallotglade-Service header. Default: none.
	Routes []Route `yaml:"routes"`
	// Requests defines which requests are idempotent and which need a key.
	Requests Requests `yaml:"requests"`
	// Upstreams defines how the service's upstreams are found and used.
	Upstreams Upstreams `yaml:"upstreams"`
	// Floor is the minimum capacity that ejections must leave.
	Floor Floor `yaml:"floor"`
	// Timeouts limit the duration of a request and its attempts.
	Timeouts Timeouts `yaml:"timeouts"`
	// Retries limit repeated attempts.
	Retries Retries `yaml:"retries"`
	// Limits restrict the use by each caller and the length of the queue.
	Limits Limits `yaml:"limits"`
	// Detection balances fast detection against false ejections.
	Detection Detection `yaml:"detection"`
	// Homes sets how many daemons serve the service.
	Homes Homes `yaml:"homes"`
	// Accounts are the client accounts of the service. If the document has this field, each
	// request needs a key of one of them, unless its route is open. Default: none, and
	// requests need no key.
	Accounts []Account `yaml:"accounts"`

	// directory holds Accounts, or is nil if requests need no key.
	directory *account.Directory
}

// Directory returns the directory of the accounts, or nil if requests need no key.
func (s *Service) Directory() *account.Directory { return s.directory }

// Account is a client account of a service.
type Account struct {
	// Name has 1 to 128 visible ASCII characters; upstreams get it in Shallotglade-Caller.
	Name string `yaml:"name"`
	// Keys are the digests of the account's keys: the first 16 bytes of the SHA-256 hash, in
	// hexadecimal digits.
	Keys []string `yaml:"keys"`
	// Priority orders accounts under overload; 0 is the highest. Default: the priority of
	// the route.
	Priority *int `yaml:"priority"`
	// Rate is the allowance in requests per second over the whole fleet; 0 means no limit.
	// Default: 0.
	Rate float64 `yaml:"rate"`
	// Burst is the number of requests that the account may send at once on top of its rate.
	// Default: 0.
	Burst float64 `yaml:"burst"`
}

// Route selects requests by host and path prefix. The longest path has precedence;
// among equal paths, a route with a host has precedence.
type Route struct {
	// Host is compared with the Host header without its port. Default: any.
	Host string `yaml:"host"`
	// Path is a prefix of whole path segments. Default: "/".
	Path string `yaml:"path"`
	// Open is true if requests of the route need no key even if the document lists accounts.
	// Default: false.
	Open bool `yaml:"open"`
}

// Requests defines which requests may run more than once.
type Requests struct {
	// IdempotentMethods may be retried. Default: GET, HEAD, OPTIONS.
	IdempotentMethods []string `yaml:"idempotentMethods"`
	// IdempotentPaths are path prefixes whose requests may be retried whatever
	// their method, for example a search by POST. Default: none.
	IdempotentPaths []string `yaml:"idempotentPaths"`
	// Key controls the Idempotency-Key header of other requests: "required",
	// "optional", or "none" if the header is ignored. A request without a key runs
	// at most once each time that its caller sends it. Default: required.
	Key string `yaml:"key"`
	// WhenPlatformAway controls requests with a key while their claim cannot be
	// stored: "refuse" rejects them, "run" runs them, but a request that the
	// caller sends again may run again. Default: refuse.
	WhenPlatformAway string `yaml:"whenPlatformAway"`
	// MaxBodyBytes is the maximum size of a request body. Default: 1 MiB.
	MaxBodyBytes int `yaml:"maxBodyBytes"`
}

// Values of Requests.Key and Requests.WhenPlatformAway.
const (
	KeyRequired               = "required"
	KeyOptional               = "optional"
	KeyNone                   = "none"
	PlatformUnavailableRefuse = "refuse"
	PlatformUnavailableRun    = "run"
)

// Upstreams defines how the upstreams of a service are found and used.
type Upstreams struct {
	// Membership is the service name in the platform's membership list.
	// Default: the name of the service, unless Static is set.
	Membership string `yaml:"membership"`
	// Static lists upstreams in place of the membership list. Default: none.
	Static []StaticUpstream `yaml:"static"`
	// Slots is the number of requests that an upstream runs concurrently, unless
	// the membership list states it. Default: 3.
	Slots int `yaml:"slots"`
	// Connections is the maximum number of connections that the whole fleet opens
	// to one upstream. Default: 330.
	Connections int `yaml:"connections"`
	// HealthPath is probed by HTTP GET; empty means no probes. Default: /health.
	HealthPath string `yaml:"healthPath"`
	// ProbeInterval is the interval at which one home probes an upstream.
	// Default: 5s.
	ProbeInterval time.Duration `yaml:"probeInterval"`
	// WarmUp is the time over which the share of a new or readmitted upstream
	// rises to its full value. Default: 10s.
	WarmUp time.Duration `yaml:"warmUp"`
	// Reuse selects the requests that may use a kept-alive connection:
	// "idempotent" or "all". If the upstream closes such a connection while a
	// request is being sent, it is unknown whether the upstream read the request.
	// Default: idempotent.
	Reuse string `yaml:"reuse"`
}

// Values of Upstreams.Reuse.
const (
	ReuseIdempotent = "idempotent"
	ReuseAll        = "all"
)

// StaticUpstream is an upstream that is listed in the document.
type StaticUpstream struct {
	// ID is unique within the service. Default: the address.
	ID string `yaml:"id"`
	// Address is an IP number and port.
	Address string `yaml:"address"`
	// Domain is the failure domain.
	Domain string `yaml:"domain"`
	// Slots is the number of requests that it runs concurrently. Default:
	// upstreams.slots.
	Slots int `yaml:"slots"`
}

// Floor is the minimum capacity that ejections must leave: the larger of both
// values.
type Floor struct {
	// Share is a share of the upstreams that are not leaving. Default: 60%.
	Share strictyaml.Share `yaml:"share"`
	// Count is a number of upstreams. Default: 1.
	Count int `yaml:"count"`
}

// MinUpstreams returns the floor as a number of upstreams. total is the number of
// upstreams that are not leaving. The result is rounded up and at most total.
func (f Floor) MinUpstreams(total int) int {
	n := int(float64(f.Share)*float64(total) + 0.999)
	return min(max(n, f.Count), total)
}

// Timeouts limit the duration of a request and its attempts.
type Timeouts struct {
	// Request limits the time from a request's arrival to the end of its
	// response. Default: 2s.
	Request time.Duration `yaml:"request"`
	// Attempt limits one attempt at one upstream. Default: half of Request.
	Attempt time.Duration `yaml:"attempt"`
	// Connect limits the opening of a connection to an upstream. Default: 250ms.
	Connect time.Duration `yaml:"connect"`
}

// Retries limit repeated attempts.
type Retries struct {
	// Budget is the maximum ratio of repeated attempts to requests. Default: 10%.
	Budget strictyaml.Share `yaml:"budget"`
	// Attempts is the maximum number of attempts per request. Default: 2.
	Attempts int `yaml:"attempts"`
	// Window applies the budget to every time window of this length, over all
	// homes of the service together. Default: 0, each home accumulates its own
	// retries.
	Window time.Duration `yaml:"window"`
	// Allowance is the number of attempts per window that are allowed beyond the
	// budget, over all homes. Default: 0.
	Allowance int `yaml:"allowance"`
}

// Limits restrict the use of the service at one home.
type Limits struct {
	// CallerRate is the maximum number of requests per second from one caller;
	// 0 means no limit. Default: 0.
	CallerRate float64 `yaml:"callerRate"`
	// CallerBurst is the number of requests that a caller may send at once on top
	// of its rate. Default: the rate of one second, at least 1.
	CallerBurst int `yaml:"callerBurst"`
	// CallerConcurrency is the maximum number of requests in flight from one
	// caller; 0 means no limit. Default: 0.
	CallerConcurrency int `yaml:"callerConcurrency"`
	// Queue is the maximum number of requests that wait for a slot at one home;
	// 0 means that only deadlines limit the queue. Default: 256.
	Queue int `yaml:"queue"`
}

// Detection balances fast detection against false ejections.
type Detection struct {
	// Weight ranges from 0 (avoid false ejections) to 1 (detect fast).
	// Default: 0.5.
	Weight float64 `yaml:"weight"`
	// Eject controls how unhealthy upstreams are handled: "agreed" excludes them by
	// agreement through the platform; with "never", each home only prefers other
	// upstreams. Default: agreed.
	Eject string `yaml:"eject"`
}

// Values of Detection.Eject.
const (
	EjectAgreed = "agreed"
	EjectNever  = "never"
)

// Homes sets how many daemons serve the service.
type Homes struct {
	// PerDomain is the number of homes in each failure domain; 0 means that it is
	// derived from the number of upstreams. Default: 0.
	PerDomain int `yaml:"perDomain"`
}
