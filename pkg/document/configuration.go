package document

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/account"
)

// ConfigurationsPrefix is the key prefix of the platform objects that hold
// configurations.
const ConfigurationsPrefix = "configurations/"

// Configuration holds all services and routes of a fleet in one object, so that
// they take effect together. It is not used on platforms where operators edit
// one document per service.
type Configuration struct {
	// Version is a number that the operators assign, for logs and metrics.
	Version uint64 `json:"version"`
	// Services are complete documents, in any order.
	Services []*Service `json:"services"`
	// Routes are all routes of the fleet; routes inside Services are ignored.
	Routes []Rule `json:"routes"`
	// Connections limits callers' connections and requests.
	Connections Connections `json:"connections"`
	// Accounts are all client accounts of the fleet; accounts inside Services are ignored.
	Accounts []account.Account `json:"accounts,omitempty"`
	// RequireKeys is true if the requests of all routes that are not open need a key of an
	// account, even if there are no accounts.
	RequireKeys bool `json:"requireKeys,omitempty"`

	// directory holds Accounts once Validate has succeeded.
	directory *account.Directory
}

// Directory returns the directory of the accounts, or nil if requests need no keys.
func (c *Configuration) Directory() (*account.Directory, error) {
	if !c.RequireKeys || c.directory != nil {
		return c.directory, nil
	}
	return account.NewDirectory(c.Accounts)
}

// Connections limits callers' connections and requests. For a zero field, the
// limit of the daemon's settings applies.
type Connections struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of header and body.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int `json:"maxBodyBytes,omitempty"`
	// RequestArrival is the maximum time to receive a request.
	RequestArrival time.Duration `json:"requestArrival,omitempty"`
	// Idle is the maximum time that a connection waits for its next request.
	Idle time.Duration `json:"idle,omitempty"`
}

// RouteType determines which requests of a route may run more than once.
type RouteType string

// Types of routes.
const (
	// ByMethod applies the Requests section of the service's document.
	ByMethod RouteType = ""
	// IdempotentRoute requests may run more than once, whatever their method.
	IdempotentRoute RouteType = "idempotent"
	// AtMostOnceRoute requests run at most once, whatever their method.
	AtMostOnceRoute RouteType = "at-most-once"
)

// Rule maps the requests of one route to backends, with timeout, attempts and
// priority.
type Rule struct {
	// Name identifies the rule in logs.
	Name string `json:"name"`
	// Host is compared with the Host header without its port; empty matches any.
	Host string `json:"host,omitempty"`
	// Path is a prefix of whole path segments. A prefix that ends with a slash
	// matches only paths below it.
	Path string    `json:"path"`
	Type RouteType `json:"type,omitempty"`
	// Timeout limits the time from a request's arrival to the end of its response.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency target: a response within it has the highest value to
	// the caller. 0 means that only Timeout counts.
	TargetLatency time.Duration `json:"target,omitempty"`
	// Attempts is the maximum number of upstreams that may run one request.
	Attempts int `json:"attempts"`
	// Priority orders the routes of a service under overload; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Open is true if requests need no key even if the configuration lists accounts.
	Open bool `json:"open,omitempty"`
	// Backends are the services that serve the route, with their weights.
	Backends []Backend `json:"backends"`
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is relative to the sum of the weights of all backends of the route.
	Weight int `json:"weight"`
}

// Rule returns the rule for requests that select the service by name.
func (s *Service) Rule() Rule {
	return Rule{
		Name: s.Service, Timeout: s.Timeouts.Request, Attempts: s.Retries.Attempts,
		Backends: []Backend{{Service: s.Service, Weight: 1}},
	}
}

// Rules returns one rule for each route of the document. A request for the path of
// the route itself matches with and without a trailing slash.
func (s *Service) Rules() []Rule {
	rules := make([]Rule, len(s.Routes))
	for i, r := range s.Routes {
		rules[i] = s.Rule()
		rules[i].Host, rules[i].Path, rules[i].Open = r.Host, strings.TrimSuffix(r.Path, "/"), r.Open
	}
	return rules
}

// Idempotent reports whether a request that matches the rule and goes to the
// service may run more than once.
func (r *Rule) Idempotent(s *Service, method, path string) bool {
	switch r.Type {
	case IdempotentRoute:
		return true
	case AtMostOnceRoute:
		return false
	}
	return s.Idempotent(method, path)
}

// Groups maps each service to the name of its group. Services that share a route
// host are in one group, because callers ask for the addresses of a host, not of
// a service. A group is named after its alphabetically first service.
func (c *Configuration) Groups() map[string]string {
	parent := map[string]string{}
	for _, s := range c.Services {
		parent[s.Service] = s.Service
	}
	root := func(name string) string {
		for parent[name] != name {
			name = parent[name]
		}
		return name
	}
	hostService := map[string]string{} // maps host to one of its services
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			linked, known := hostService[r.Host]
			if !known {
				hostService[r.Host], linked = b.Service, b.Service
			}
			rootA, rootB := root(b.Service), root(linked)
			parent[max(rootA, rootB)] = min(rootA, rootB)
		}
	}
	for name := range parent {
		parent[name] = root(name)
	}
	return parent
}

// Encode returns the configuration in JSON.
func (c *Configuration) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeConfiguration parses the output of Encode.
func DecodeConfiguration(value []byte) (*Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, errors.Wrap(err, "document: decode configuration")
	}
	return &c, nil
}

// Validate returns an error if a service has no name, if a rule has no backend, a
// backend that is not a service of the configuration, or a negative weight, or if the
// accounts are invalid.
func (c *Configuration) Validate() error {
	names := map[string]bool{}
	for _, s := range c.Services {
		if s == nil || s.Service == "" {
			return errors.New("document: configuration contains a service without a name")
		}
		names[s.Service] = true
	}
	for _, r := range c.Routes {
		if len(r.Backends) == 0 {
			return errors.Newf("document: route %q has no backend", r.Name)
		}
		for _, b := range r.Backends {
			if !names[b.Service] || b.Weight < 0 {
				return errors.Newf("document: route %q: backend %q with weight %d is an unknown service or has a negative weight", r.Name, b.Service, b.Weight)
			}
		}
	}
	directory, err := c.Directory()
	c.directory = directory
	return errors.Wrap(err, "document")
}

// New returns the document of a service with default values.
func New(service string) *Service {
	s := defaults()
	s.Service = service
	s.deriveDefaults()
	return s
}
