package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"shallotglade/internal/strictyaml"
)

const (
	minKeyBytes  = 16
	maxNameBytes = 128
	maxDuration  = time.Hour
	maxSizeBytes = 1 << 30
	maxCount     = 1_000_000
	maxCores     = 4096
	maxLinkMbps  = 1_000_000
	maxMemoryMB  = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

var logLevels = []string{"debug", "info", "warn", "error"}

type checker struct {
	src      *strictyaml.Source
	problems strictyaml.Problems
}

func (c *checker) require(ok bool, field, allowed string) {
	if !ok {
		c.problems = append(c.problems, c.src.Problem(field, allowed))
	}
}

func (c *checker) check(s *Settings) {
	c.name("region", s.Region)
	c.name("domain", s.Domain)
	c.require(s.Capacity.Cores >= 0 && s.Capacity.Cores <= maxCores, "capacity.cores", fmt.Sprintf("0 to %d", maxCores))
	c.require(s.Capacity.LinkMbps >= 0 && s.Capacity.LinkMbps <= maxLinkMbps, "capacity.linkMbps", fmt.Sprintf("0 to %d", maxLinkMbps))
	c.require(s.Capacity.MemoryMB >= 0 && s.Capacity.MemoryMB <= maxMemoryMB, "capacity.memoryMB", fmt.Sprintf("0 to %d", maxMemoryMB))
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.admin", s.Listen.Admin)
	c.platform(s.Platform)
	if s.Listen.Addresses != "" {
		c.address("listen.addresses", s.Listen.Addresses)
	}
	if s.Listen.Readiness != "" {
		c.address("listen.readiness", s.Listen.Readiness)
	}
	c.peerTrust(s)
	for i, seed := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		c.address(field+".address", seed.Address)
		if seed.Domain != "" {
			c.name(field+".domain", seed.Domain)
		}
	}
	for i, k := range s.Admin.Keys {
		field := fmt.Sprintf("admin.keys[%d]", i)
		c.require(k.Team == "*" || namePattern.MatchString(k.Team), field+".team", "a team name or *")
		c.adminKey(field+".key", k.Key)
	}
	c.count("callers.maxConnections", s.Callers.MaxConnections, maxCount)
	c.count("callers.maxHeaderBytes", s.Callers.MaxHeaderBytes, maxSizeBytes)
	c.count("callers.maxBodyBytes", s.Callers.MaxBodyBytes, maxSizeBytes)
	c.duration("callers.requestArrival", s.Callers.RequestArrival)
	c.duration("callers.idle", s.Callers.Idle)
	c.duration("addresses.lifetime", s.Addresses.Lifetime)
	c.duration("drain.requests", s.Drain.Requests)
	c.require(s.Drain.Grace >= 0 && s.Drain.Grace <= maxDuration, "drain.grace", "0 to 1h")
	c.require(s.RetryBudget.Ratio >= 0 && s.RetryBudget.Ratio <= 1, "repeats.ratio", "0 to 1")
	c.duration("repeats.window", s.RetryBudget.Window)
	c.require(s.RetryBudget.Allowance >= 0 && s.RetryBudget.Allowance <= maxCount, "repeats.allowance", "0 to 1000000")
	c.accounts(s.Accounts)
	c.count("log.linesPerSecond", s.Log.LinesPerSecond, maxCount)
	c.require(slices.Contains(logLevels, s.Log.Level), "log.level", strings.Join(logLevels, ", "))
}

func (c *checker) accounts(a Accounts) {
	c.duration("accounts.revocation", a.Revocation)
	c.duration("accounts.quota.window", a.Quota.Window)
	c.require(a.Quota.Overshoot >= 0 && a.Quota.Overshoot <= 1, "accounts.quota.overshoot", "0 to 1")
	c.require(a.Quota.Extra >= 0 && a.Quota.Extra <= maxCount, "accounts.quota.extra", fmt.Sprintf("0 to %d", maxCount))
}

// peerTrust checks the settings that the selected trust mode requires.
func (c *checker) peerTrust(s *Settings) {
	switch s.Peers.Trust {
	case TrustRegistered:
		c.name("host", s.Host)
		for field, value := range map[string]string{
			"peers.ca": s.Peers.CA, "peers.certificate": s.Peers.Certificate, "peers.key": s.Peers.Key,
		} {
			c.require(value == "", field, "nothing, since peers.trust is registered")
		}
	case TrustAuthority:
		c.file("peers.ca", s.Peers.CA)
		c.file("peers.certificate", s.Peers.Certificate)
		c.file("peers.key", s.Peers.Key)
	default:
		c.require(false, "peers.trust", TrustAuthority+" or "+TrustRegistered)
	}
}

func (c *checker) platform(p Platform) {
	c.name("platform.adapter", p.Adapter)
	c.require(len(p.Addresses) > 0, "platform.addresses", "at least one base URL")
	for i, a := range p.Addresses {
		u, err := url.Parse(a)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
		c.require(ok, fmt.Sprintf("platform.addresses[%d]", i), "a base URL such as http://10.0.0.1:6000")
	}
	c.duration("platform.timeout", p.Timeout)
	c.require(p.ReadsPerSecond >= 0 && p.ReadsPerSecond <= maxCount, "platform.readsPerSecond", fmt.Sprintf("0 to %d", maxCount))
}

func (c *checker) name(field, value string) {
	c.require(len(value) <= maxNameBytes && namePattern.MatchString(value), field, "letters, digits, dots, dashes and underscores")
}

// adminKey reports a key that is too short, without printing the key.
func (c *checker) adminKey(field, value string) {
	if len(value) >= minKeyBytes {
		return
	}
	p := c.src.Problem(field, fmt.Sprintf("at least %d bytes", minKeyBytes))
	p.Found = fmt.Sprintf("%d bytes", len(value))
	c.problems = append(c.problems, p)
}

func (c *checker) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, field, "an IP number and port such as 10.0.0.7:8080")
}

func (c *checker) file(field, value string) {
	_, err := os.Stat(value)
	c.require(err == nil, field, "a PEM file that can be read")
}

func (c *checker) count(field string, value, high int) {
	c.require(value >= 1 && value <= high, field, fmt.Sprintf("1 to %d", high))
}

func (c *checker) duration(field string, value time.Duration) {
	c.require(value >= time.Millisecond && value <= maxDuration, field, "1ms to 1h")
}
