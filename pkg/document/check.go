package document

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"shallotglade/internal/strictyaml"
	"shallotglade/pkg/account"
)

// checker collects the problems of one document.
type checker struct {
	src      *strictyaml.Source
	problems strictyaml.Problems
}

func (c *checker) require(ok bool, field, allowed string) {
	if !ok {
		c.problems = append(c.problems, c.src.Problem(field, allowed))
	}
}

func (c *checker) name(field, value string) {
	c.require(len(value) <= maxNameBytes && namePattern.MatchString(value), field,
		"lower-case letters, digits and dashes, at most 63, starting and ending with a letter or digit")
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	c.require(slices.Contains(allowed, value), field, strings.Join(allowed, " or "))
}

func (c *checker) intRange(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, fmt.Sprintf("%d to %d", low, high))
}

func (c *checker) durationRange(field string, value, low, high time.Duration) {
	c.require(value >= low && value <= high, field, fmt.Sprintf("%v to %v", low, high))
}

func (c *checker) path(field, value string) {
	c.require(strings.HasPrefix(value, "/") && !strings.ContainsAny(value, "?# \t"), field, "a path that starts with / and has no query")
}

func check(s *Service, src *strictyaml.Source) strictyaml.Problems {
	c := &checker{src: src}
	c.name("service", s.Service)
	if src.Has("team") {
		c.name("team", s.Team)
	}
	c.routes(s.Routes)
	c.requests(s.Requests)
	c.upstreams(s.Upstreams)
	c.policies(s)
	c.accounts(s)
	return c.problems
}

func (c *checker) routes(routes []Route) {
	c.require(len(routes) <= maxRoutes, "routes", fmt.Sprintf("at most %d routes", maxRoutes))
	type place struct{ host, path string }
	seen := map[place]bool{}
	for i, r := range routes {
		field := fmt.Sprintf("routes[%d]", i)
		c.path(field+".path", r.Path)
		c.require(r.Host == strings.ToLower(r.Host) && !strings.ContainsAny(r.Host, "/: \t"), field+".host", "a lower-case host name without a port")
		c.require(!seen[place{r.Host, r.Path}], field, "each route once")
		seen[place{r.Host, r.Path}] = true
	}
}

func (c *checker) requests(r Requests) {
	for i, m := range r.IdempotentMethods {
		c.oneOf(fmt.Sprintf("requests.idempotentMethods[%d]", i), m, methods...)
	}
	for i, p := range r.IdempotentPaths {
		c.path(fmt.Sprintf("requests.idempotentPaths[%d]", i), p)
	}
	c.oneOf("requests.key", r.Key, KeyRequired, KeyOptional, KeyNone)
	c.oneOf("requests.whenPlatformAway", r.WhenPlatformAway, PlatformUnavailableRefuse, PlatformUnavailableRun)
	c.intRange("requests.maxBodyBytes", r.MaxBodyBytes, 0, maxBodyBytes)
}

// conceal reports a problem with a field without its text, which may be a key.
func (c *checker) conceal(field, found, allowed string) {
	p := c.src.Problem(field, allowed)
	p.Found = found
	c.problems = append(c.problems, p)
}

// accounts checks the accounts and builds their directory.
func (c *checker) accounts(s *Service) {
	if s.Accounts == nil {
		return
	}
	accounts, valid := make([]account.Account, len(s.Accounts)), true
	for i, a := range s.Accounts {
		out, field := &accounts[i], fmt.Sprintf("accounts[%d]", i)
		*out = account.Account{Name: a.Name, Keys: make([]account.Digest, len(a.Keys)), Priority: a.Priority, Rate: a.Rate, Burst: a.Burst}
		for j, text := range a.Keys {
			if err := out.Keys[j].UnmarshalText([]byte(text)); err != nil {
				c.conceal(fmt.Sprintf("%s.keys[%d]", field, j), fmt.Sprintf("%d bytes", len(text)), "the first 16 bytes of the SHA-256 hash of a key, as 32 hexadecimal digits")
				valid = false
			}
		}
		if err := out.Check(); err != nil {
			c.conceal(field, err.Error(), "a valid account")
			valid = false
		}
	}
	if !valid {
		return
	}
	directory, err := account.NewDirectory(accounts)
	if err != nil {
		c.conceal("accounts", err.Error(), "each name and each key once")
		return
	}
	s.directory = directory
}

func (c *checker) upstreams(u Upstreams) {
	c.require(u.Membership == "" || len(u.Static) == 0, "upstreams", "either membership or static")
	if u.Membership != "" && c.src.Has("upstreams.membership") {
		c.name("upstreams.membership", u.Membership)
	}
	c.require(len(u.Static) <= maxStaticUpstreams, "upstreams.static", fmt.Sprintf("at most %d upstreams", maxStaticUpstreams))
	seen := map[string]bool{}
	for i, s := range u.Static {
		field := fmt.Sprintf("upstreams.static[%d]", i)
		c.require(validAddress(s.Address), field+".address", "an IP number and port such as 10.0.0.7:8080")
		c.name(field+".domain", s.Domain)
		c.intRange(field+".slots", s.Slots, 1, maxSlots)
		c.require(!seen[s.ID], field+".id", "an id that no other upstream has")
		seen[s.ID] = true
	}
	c.intRange("upstreams.slots", u.Slots, 1, maxSlots)
	c.intRange("upstreams.connections", u.Connections, 1, maxSlots)
	if u.HealthPath != "" {
		c.path("upstreams.healthPath", u.HealthPath)
	}
	c.durationRange("upstreams.probeInterval", u.ProbeInterval, 100*time.Millisecond, time.Hour)
	c.durationRange("upstreams.warmUp", u.WarmUp, 0, time.Hour)
	c.oneOf("upstreams.reuse", u.Reuse, ReuseIdempotent, ReuseAll)
}

func (c *checker) policies(s *Service) {
	share := func(field string, value strictyaml.Share) {
		c.require(value >= 0 && value <= 1, field, "0% to 100%")
	}
	share("floor.share", s.Floor.Share)
	c.intRange("floor.count", s.Floor.Count, 1, maxStaticUpstreams)
	c.durationRange("timeouts.request", s.Timeouts.Request, minTimeout, maxTimeout)
	c.durationRange("timeouts.attempt", s.Timeouts.Attempt, minTimeout/2, s.Timeouts.Request)
	c.durationRange("timeouts.connect", s.Timeouts.Connect, minTimeout, maxTimeout)
	share("retries.budget", s.Retries.Budget)
	c.durationRange("retries.window", s.Retries.Window, 0, time.Hour)
	c.intRange("retries.allowance", s.Retries.Allowance, 0, maxQueue)
	c.intRange("retries.attempts", s.Retries.Attempts, 1, maxAttempts)
	c.require(s.Limits.CallerRate >= 0 && s.Limits.CallerRate <= maxCallerRate, "limits.callerRate", "0 to 1000000 requests a second")
	c.intRange("limits.callerBurst", s.Limits.CallerBurst, 1, maxCallerRate)
	c.intRange("limits.callerConcurrency", s.Limits.CallerConcurrency, 0, maxCallerRate)
	c.intRange("limits.queue", s.Limits.Queue, 0, maxQueue)
	c.require(s.Detection.Weight >= 0 && s.Detection.Weight <= 1, "detection.weight", "0 to 1")
	c.oneOf("detection.eject", s.Detection.Eject, EjectAgreed, EjectNever)
	c.intRange("homes.perDomain", s.Homes.PerDomain, 0, maxHomesPerDomain)
}
