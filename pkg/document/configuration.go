package document

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ConfigurationsPrefix is the prefix of the platform objects that hold whole
// configurations.
const ConfigurationsPrefix = "configurations/"

// Configuration is everything that operators state about a fleet, in one
// object: all services and routes come into force together. A platform whose
// operators edit one document per service has none.
type Configuration struct {
	// Version is the operators' own number, for logs.
	Version uint64 `json:"version"`
	// Services are complete documents, in any order.
	Services []*Service `json:"services"`
	// Routes are all routes; those of the documents are not looked at.
	Routes []Rule `json:"routes"`
	// Connections bounds callers' connections and requests.
	Connections Connections `json:"connections"`
}

// Connections bounds what callers send; a zero field leaves the bound of the
// daemon's settings in force.
type Connections struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int `json:"maxBodyBytes,omitempty"`
	// RequestArrival is how long a request may take to arrive.
	RequestArrival time.Duration `json:"requestArrival,omitempty"`
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration `json:"idle,omitempty"`
}

// RouteType says which requests of a route may run more than once.
type RouteType string

// Types of routes.
const (
	// ByMethod leaves it to Requests of the service's document.
	ByMethod RouteType = ""
	// IdempotentRoute requests may run more than once, whatever their method.
	IdempotentRoute RouteType = "idempotent"
	// AtMostOnceRoute requests run once at most, whatever their method.
	AtMostOnceRoute RouteType = "at-most-once"
)

// Rule is how the requests of one route are treated.
type Rule struct {
	// Name identifies the rule in logs.
	Name string `json:"name"`
	// Host is compared with the Host header without its port; empty means any.
	Host string `json:"host,omitempty"`
	// Path is a prefix that ends at a path segment. One that ends with a slash
	// covers only paths below it.
	Path string    `json:"path"`
	Type RouteType `json:"type,omitempty"`
	// Timeout bounds a request from its arrival to its whole answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the latency up to which an answer is worth most to the caller;
	// 0 means that only Timeout counts.
	Target time.Duration `json:"target,omitempty"`
	// Attempts is the most upstreams that may run one request.
	Attempts int `json:"attempts"`
	// Priority ranks routes of one service under overload, 0 first.
	Priority int `json:"priority,omitempty"`
	// Backends are the services that serve the route, by weight.
	Backends []Backend `json:"backends"`
}

// Backend is a service that gets a part of a route's requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is the backend's part of the sum of all weights.
	Weight int `json:"weight"`
}

// Rule returns the rule for requests that name the service itself.
func (s *Service) Rule() Rule {
	return Rule{
		Name: s.Service, Timeout: s.Timeouts.Request, Attempts: s.Retries.Attempts,
		Backends: []Backend{{Service: s.Service, Weight: 1}},
	}
}

// Rules returns the rules that follow from the routes of a document. A path of a
// document covers itself, with and without a slash at its end.
func (s *Service) Rules() []Rule {
	rules := make([]Rule, len(s.Routes))
	for i, r := range s.Routes {
		rules[i] = s.Rule()
		rules[i].Host, rules[i].Path = r.Host, strings.TrimSuffix(r.Path, "/")
	}
	return rules
}

// Idempotent reports whether a request of the rule to the service may run more
// than once.
func (r *Rule) Idempotent(s *Service, method, path string) bool {
	switch r.Type {
	case IdempotentRoute:
		return true
	case AtMostOnceRoute:
		return false
	}
	return s.Idempotent(method, path)
}

// Groups returns for each service the name of its group: services behind the
// routes of one host belong together, since callers ask for the addresses of a
// host and not of a service. The name is that of the group's first service in
// alphabetical order.
func (c *Configuration) Groups() map[string]string {
	group := map[string]string{}
	for _, s := range c.Services {
		group[s.Service] = s.Service
	}
	root := func(name string) string {
		for group[name] != name {
			name = group[name]
		}
		return name
	}
	first := map[string]string{} // a service of each host
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			other, known := first[r.Host]
			if !known {
				first[r.Host], other = b.Service, b.Service
			}
			x, y := root(b.Service), root(other)
			group[max(x, y)] = min(x, y)
		}
	}
	for name := range group {
		group[name] = root(name)
	}
	return group
}

// Encode returns the value to distribute.
func (c *Configuration) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeConfiguration reads a value that Encode made. It returns an error for a
// rule that leads to no service of the configuration.
func DecodeConfiguration(value []byte) (*Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, errors.Wrap(err, "document: decode configuration")
	}
	names := map[string]bool{}
	for _, s := range c.Services {
		if s == nil || s.Service == "" {
			return nil, errors.New("document: configuration with a service without a name")
		}
		names[s.Service] = true
	}
	for _, r := range c.Routes {
		if len(r.Backends) == 0 {
			return nil, errors.Newf("document: route %q has no backend", r.Name)
		}
		for _, b := range r.Backends {
			if !names[b.Service] || b.Weight < 0 {
				return nil, errors.Newf("document: route %q has backend %q of weight %d", r.Name, b.Service, b.Weight)
			}
		}
	}
	return &c, nil
}

// New returns a document of the service with the defaults applied.
func New(service string) *Service {
	s := defaults()
	s.Service = service
	s.deriveDefaults()
	return s
}
