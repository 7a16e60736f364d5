package document

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotglade/internal/strictyaml"
)

// MaxBytes is the maximum size of a document.
const MaxBytes = 64 << 10

// Limits of document fields.
const (
	maxNameBytes       = 63
	maxRoutes          = 256
	maxStaticUpstreams = 2000
	maxSlots           = 10_000
	maxBodyBytes       = 64 << 20
	maxTimeout         = 10 * time.Minute
	minTimeout         = time.Millisecond
	maxAttempts        = 10
	maxHomesPerDomain  = 64
	maxQueue           = 1_000_000
	maxCallerRate      = 1_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Parse checks a document that an operator submits and returns all problems. file
// is the file name that the problems refer to.
func Parse(file string, data []byte) (*Service, strictyaml.Problems) {
	s, src, problems := decode(file, data)
	if len(problems) > 0 && src == nil {
		return nil, problems
	}
	problems = append(problems, check(s, src)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Load reads a document that was accepted earlier. It ignores unknown fields and
// returns their names; any other problem is an error of type strictyaml.Problems.
func Load(data []byte) (*Service, []string, error) {
	s, src, problems := decode("", data)
	var unknown []string
	var remaining strictyaml.Problems
	for _, p := range problems {
		if p.Found == unknownField {
			unknown = append(unknown, p.Field)
		} else {
			remaining = append(remaining, p)
		}
	}
	if src != nil {
		remaining = append(remaining, check(s, src)...)
	}
	if len(remaining) > 0 {
		return nil, unknown, remaining
	}
	return s, unknown, nil
}

// Hash returns a hash of the text of a document.
func Hash(data []byte) uint64 { return xxhash.Sum64(data) }

// unknownField is what strictyaml reports for an unknown field.
const unknownField = "an unknown field"

func decode(file string, data []byte) (*Service, *strictyaml.Source, strictyaml.Problems) {
	if len(data) > MaxBytes {
		return nil, nil, strictyaml.Problems{{File: file, Line: 1, Found: "a document that is too large", Allowed: "at most 64 KiB"}}
	}
	s := defaults()
	src, problems := strictyaml.Decode(file, data, s)
	for i := range problems {
		if strings.HasPrefix(problems[i].Field, "accounts") && problems[i].Found != unknownField {
			problems[i].Found = "another value" // The text may be a key.
		}
	}
	s.deriveParsedDefaults(src)
	return s, src, problems
}

func defaults() *Service {
	return &Service{
		Requests: Requests{
			IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
			Key:               KeyRequired,
			WhenPlatformAway:  PlatformUnavailableRefuse,
			MaxBodyBytes:      1 << 20,
		},
		Upstreams: Upstreams{
			Slots: 3, Connections: 330, HealthPath: "/health",
			ProbeInterval: 5 * time.Second, WarmUp: 10 * time.Second, Reuse: ReuseIdempotent,
		},
		Floor:     Floor{Share: 0.6, Count: 1},
		Timeouts:  Timeouts{Request: 2 * time.Second, Connect: 250 * time.Millisecond},
		Retries:   Retries{Budget: 0.1, Attempts: 2},
		Limits:    Limits{Queue: 256},
		Detection: Detection{Weight: 0.5, Eject: EjectAgreed},
	}
}

// deriveParsedDefaults sets the fields whose default depends on another field.
func (s *Service) deriveParsedDefaults(src *strictyaml.Source) {
	s.deriveDefaults()
	if s.Limits.CallerBurst == 0 && !src.Has("limits.callerBurst") {
		s.Limits.CallerBurst = max(1, int(s.Limits.CallerRate))
	}
}

func (s *Service) deriveDefaults() {
	if s.Team == "" {
		s.Team = s.Service
	}
	if len(s.Upstreams.Static) == 0 && s.Upstreams.Membership == "" {
		s.Upstreams.Membership = s.Service
	}
	for i := range s.Upstreams.Static {
		u := &s.Upstreams.Static[i]
		if u.ID == "" {
			u.ID = u.Address
		}
		if u.Slots == 0 {
			u.Slots = s.Upstreams.Slots
		}
	}
	for i := range s.Routes {
		if s.Routes[i].Path == "" {
			s.Routes[i].Path = "/"
		}
	}
	if s.Timeouts.Attempt == 0 {
		s.Timeouts.Attempt = s.Timeouts.Request / 2
	}
}

// Idempotent reports whether a request may run more than once.
func (s *Service) Idempotent(method, path string) bool {
	if slices.Contains(s.Requests.IdempotentMethods, method) {
		return true
	}
	return slices.ContainsFunc(s.Requests.IdempotentPaths, func(prefix string) bool {
		return PathHasPrefix(path, prefix)
	})
}

// PathHasPrefix reports whether path is prefix or lies below it, comparing whole
// path segments.
func PathHasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}
