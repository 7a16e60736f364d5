package document

import (
	"time"

	"shallotglade/internal/strictyaml"
)

// Service is one service's document with its defaults applied.
type Service struct {
	// Service is the name: lower-case letters, digits and dashes, at most 63.
	Service string `yaml:"service"`
	// Team owns the service; its administration keys may change the document.
	// Default: the name of the service.
	Team string `yaml:"team"`
	// Routes say which requests belong to the service besides those that name
	// it in the Shallotglade-Service header. Default: none.
	Routes []Route `yaml:"routes"`
	// Requests says which requests are idempotent and how others are keyed.
	Requests Requests `yaml:"requests"`
	// Upstreams says how the service's upstreams are found.
	Upstreams Upstreams `yaml:"upstreams"`
	// Floor is the least healthy capacity that ejections leave.
	Floor Floor `yaml:"floor"`
	// Timeouts bound a request and its attempts.
	Timeouts Timeouts `yaml:"timeouts"`
	// Retries bound repeated attempts.
	Retries Retries `yaml:"retries"`
	// Limits bound what a single caller may use.
	Limits Limits `yaml:"limits"`
	// Detection weighs fast detection against false ejections.
	Detection Detection `yaml:"detection"`
	// Homes is how many daemons serve the service.
	Homes Homes `yaml:"homes"`
}

// Route selects requests by host and path prefix. The longest path wins, then
// the route that names a host.
type Route struct {
	// Host is compared with the Host header without its port. Default: any.
	Host string `yaml:"host"`
	// Path is a prefix that ends at a path segment. Default: "/".
	Path string `yaml:"path"`
}

// Requests says which requests may run more than once.
type Requests struct {
	// IdempotentMethods may be retried. Default: GET, HEAD, OPTIONS.
	IdempotentMethods []string `yaml:"idempotentMethods"`
	// IdempotentPaths are path prefixes whose requests may be retried whatever
	// their method, for example a search by POST. Default: none.
	IdempotentPaths []string `yaml:"idempotentPaths"`
	// Key says whether other requests need an Idempotency-Key: "required",
	// "optional", or "none" when the header has no meaning. Without a key a
	// request runs at most once each time that its caller sends it. Default:
	// required.
	Key string `yaml:"key"`
	// WhenPlatformAway says what happens to keyed requests while their claim
	// cannot be stored: "refuse" (not run), or "run" without the guarantee
	// against a second send. Default: refuse.
	WhenPlatformAway string `yaml:"whenPlatformAway"`
	// MaxBodyBytes is the largest request body in bytes. Default: 1 MiB.
	MaxBodyBytes int `yaml:"maxBodyBytes"`
}

// Values of Requests.Key and Requests.WhenPlatformAway.
const (
	KeyRequired = "required"
	KeyOptional = "optional"
	KeyNone     = "none"
	AwayRefuse  = "refuse"
	AwayRun     = "run"
)

// Upstreams says how the upstreams of a service are found.
type Upstreams struct {
	// Membership is the service name in the platform's membership list.
	// Default: the name of the service, unless Static is given.
	Membership string `yaml:"membership"`
	// Static lists upstreams in place of the membership list. Default: none.
	Static []StaticUpstream `yaml:"static"`
	// Slots is how many requests an upstream runs at a time, where the
	// membership list does not say. Default: 3.
	Slots int `yaml:"slots"`
	// Connections is the most connections that the fleet opens to one upstream.
	// Default: 330.
	Connections int `yaml:"connections"`
	// HealthPath is probed by HTTP GET; empty means no probes. Default: /health.
	HealthPath string `yaml:"healthPath"`
	// ProbeInterval is the time between two probes of an upstream by one home.
	// Default: 5s.
	ProbeInterval time.Duration `yaml:"probeInterval"`
	// WarmUp is how long the share of a new or returned upstream grows.
	// Default: 10s.
	WarmUp time.Duration `yaml:"warmUp"`
	// Reuse says which requests may use a kept connection: "idempotent", or
	// "all". When a kept connection is closed by the upstream while a request
	// is on its way, nothing tells whether the request was read. Default:
	// idempotent.
	Reuse string `yaml:"reuse"`
}

// Values of Upstreams.Reuse.
const (
	ReuseIdempotent = "idempotent"
	ReuseAll        = "all"
)

// StaticUpstream is an upstream that the document itself lists.
type StaticUpstream struct {
	// ID is unique within the service. Default: the address.
	ID string `yaml:"id"`
	// Address is an IP number and port.
	Address string `yaml:"address"`
	// Domain is the failure domain.
	Domain string `yaml:"domain"`
	// Slots is how many requests it runs at a time. Default: upstreams.slots.
	Slots int `yaml:"slots"`
}

// Floor is the least capacity that ejections leave: the larger of both values.
type Floor struct {
	// Share is the share of the upstreams that are not leaving. Default: 60%.
	Share strictyaml.Share `yaml:"share"`
	// Count is a number of upstreams. Default: 1.
	Count int `yaml:"count"`
}

// Upstreams returns the floor in upstreams, for a service with total upstreams
// that are not leaving. It is rounded up, and at most total.
func (f Floor) Upstreams(total int) int {
	n := int(float64(f.Share)*float64(total) + 0.999)
	return min(max(n, f.Count), total)
}

// Timeouts bound a request. All are durations.
type Timeouts struct {
	// Request bounds a request from its arrival to its whole answer.
	// Default: 2s.
	Request time.Duration `yaml:"request"`
	// Attempt bounds one attempt at one upstream. Default: half of Request.
	Attempt time.Duration `yaml:"attempt"`
	// Connect bounds opening a connection to an upstream. Default: 250ms.
	Connect time.Duration `yaml:"connect"`
}

// Retries bound repeated attempts.
type Retries struct {
	// Budget is the most repeated attempts as a share of requests. Default: 10%.
	Budget strictyaml.Share `yaml:"budget"`
	// Attempts is the most attempts of one request. Default: 2.
	Attempts int `yaml:"attempts"`
	// Window makes the budget hold in every span of this length over all homes
	// of the service. Default: 0, each home saves up retries for itself.
	Window time.Duration `yaml:"window"`
	// Allowance is how many attempts a span allows besides the budget, over all
	// homes. Default: 0.
	Allowance int `yaml:"allowance"`
}

// Limits bound what one caller may use of the service at one home.
type Limits struct {
	// CallerRate is the most requests a second of one caller; 0 means no
	// limit. Default: 0.
	CallerRate float64 `yaml:"callerRate"`
	// CallerBurst is how many requests a caller may send at once on top of
	// its rate. Default: the rate of one second, at least 1.
	CallerBurst int `yaml:"callerBurst"`
	// CallerConcurrency is the most requests of one caller in flight; 0 means
	// no limit. Default: 0.
	CallerConcurrency int `yaml:"callerConcurrency"`
	// Queue is the most requests that wait for a slot at one home; 0 means
	// that the deadline alone bounds the queue. Default: 256.
	Queue int `yaml:"queue"`
}

// Detection weighs fast detection against false ejections.
type Detection struct {
	// Weight runs from 0 (avoid false ejections) to 1 (detect fast).
	// Default: 0.5.
	Weight float64 `yaml:"weight"`
	// Eject says whether sick upstreams are excluded by agreement through the
	// platform: "agreed", or "never", when each home only prefers others.
	// Default: agreed.
	Eject string `yaml:"eject"`
}

// Values of Detection.Eject.
const (
	EjectAgreed = "agreed"
	EjectNever  = "never"
)

// Homes is how many daemons serve the service.
type Homes struct {
	// PerDomain is the number of homes in each failure domain; 0 means that
	// it follows from the number of upstreams. Default: 0.
	PerDomain int `yaml:"perDomain"`
}
