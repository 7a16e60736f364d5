package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"shallotglade/pkg/account"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// Freshness bounds the age of this daemon's knowledge of accounts. A refusal has the
// verdict not-run, status 503 and a RetryAfter.
type Freshness interface {
	// Check returns nil if the knowledge is fresh enough to accept a request with a key, or
	// the refusal. It may wait a short time for a confirmation.
	Check(ctx context.Context) *verdict.Error
	// CheckUnknown returns nil if the knowledge is fresh enough to conclude that an unknown
	// key does not exist.
	CheckUnknown(ctx context.Context) *verdict.Error
}

// Allowances admits requests within the allowances of accounts. It is called only for
// accounts that have an allowance.
type Allowances interface {
	// Admit takes one request from the account's allowance, or returns the refusal. release
	// returns it if the request turns out not to have run; it is called at most once.
	Admit(ctx context.Context, a *account.Account, deadline time.Time) (release func(), refusal *verdict.Error)
}

// Reasons of refusals for want of a key.
const (
	reasonMissingKey = "missing-key"
	reasonUnknownKey = "unknown-key"
)

// keyState is what became of the key of a request.
type keyState int

const (
	keyNotNeeded keyState = iota
	keyMissing
	keyUnknown
	keyKnown
)

// identity is the route of a request and the account of its key.
type identity struct {
	route   *blackboard.Route
	routed  bool
	key     keyState
	account *account.Account
}

// accountName returns the name of the account, or "" if there is none.
func (id identity) accountName() string {
	if id.account == nil {
		return ""
	}
	return id.account.Name
}

// identify looks up the route of a request, and the account if the route needs a key.
func (p *Proxy) identify(in *Incoming) identity {
	var id identity
	id.route, id.routed = p.Board.FindRoute(in.Service, in.Host, in.Path)
	if id.route.Accounts == nil {
		return id
	}
	key := bearerKey(in.Headers)
	if key == "" {
		id.key = keyMissing
		return id
	}
	id.key = keyUnknown
	if a, known := id.route.Accounts.Find([]byte(key)); known {
		id.account, id.key = a, keyKnown
	}
	return id
}

// authorize returns the route of a request and the account of its key, or the refusal. The
// knowledge of accounts may change while authorize waits for a confirmation of it, so that
// the route and the key are looked up again afterwards. configured is true if the daemon had
// a configuration before the call.
func (p *Proxy) authorize(ctx context.Context, in *Incoming, configured bool) (identity, *verdict.Error) {
	id := p.identify(in)
	if id.key == keyKnown && p.Freshness != nil {
		if refusal := p.Freshness.Check(ctx); refusal != nil {
			return id, refusal
		}
		id = p.identify(in)
	}
	return p.confirmUnknown(ctx, in, id, configured)
}

// authorizeUnread returns the refusal of a request whose body has not been read, or nil.
// It leaves the check of the age of the knowledge to the complete request.
func (p *Proxy) authorizeUnread(ctx context.Context, in *Incoming) *verdict.Error {
	configured := p.Board.Configured()
	id, refusal := p.confirmUnknown(ctx, in, p.identify(in), configured)
	in.configurationVersion, in.unrouted = id.route.Version, !id.routed
	return refusal
}

// confirmUnknown returns the refusal for an identity. A key that is unknown here may be one
// that has just been added.
func (p *Proxy) confirmUnknown(ctx context.Context, in *Incoming, id identity, configured bool) (identity, *verdict.Error) {
	if id.key == keyUnknown && p.Freshness != nil {
		if refusal := p.Freshness.CheckUnknown(ctx); refusal != nil {
			return id, refusal
		}
		id = p.identify(in)
	}
	return id, id.refusal(configured)
}

// refusal returns the refusal of a request without a route or a valid key, or nil.
// configured is true if the daemon had a configuration before the look-up.
func (id identity) refusal(configured bool) *verdict.Error {
	switch {
	case !id.routed:
		return routeNotFound(configured)
	case id.key == keyMissing:
		return verdict.Refuse(http.StatusUnauthorized, reasonMissingKey, "This request needs the key of an account: Authorization: Bearer KEY.")
	case id.key == keyUnknown:
		return verdict.Refuse(http.StatusUnauthorized, reasonUnknownKey, "No account has this key.")
	}
	return nil
}

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer "
)

// bearerKey returns the key of the first Authorization header, or "" if there is none.
func bearerKey(headers []upstream.Header) string {
	for _, h := range headers {
		if !strings.EqualFold(h.Name, headerAuthorization) {
			continue
		}
		if len(h.Value) < len(bearerScheme) || !strings.EqualFold(h.Value[:len(bearerScheme)], bearerScheme) {
			return ""
		}
		return strings.TrimSpace(h.Value[len(bearerScheme):])
	}
	return ""
}

// setAccount makes the request one of the account, or of none if it is nil: what the caller
// says about its account and its key is removed, and the upstream gets the account's name.
func (p *Proxy) setAccount(in *Incoming, a *account.Account) {
	header := p.Dialect.Account
	in.Headers = slices.DeleteFunc(in.Headers, func(h upstream.Header) bool {
		return strings.EqualFold(h.Name, headerAuthorization) || strings.EqualFold(h.Name, header)
	})
	in.Account = a
	if a == nil {
		in.Caller = callerOfAddress(in.remote)
		return
	}
	in.Caller = a.Name
	if header != "" {
		in.Headers = append(in.Headers, upstream.Header{Name: header, Value: a.Name})
	}
}

// callerOfAddress returns the caller name of requests that belong to no account.
func callerOfAddress(remote string) string {
	host, _, _ := net.SplitHostPort(remote)
	return "ip:" + host
}

// admitAllowance takes the request from the allowance of its account, or returns the
// refusal. settle must be called with the verdict of the answer.
func (p *Proxy) admitAllowance(ctx context.Context, rule *document.Rule, in *Incoming) (settle func(verdict.Verdict), refusal *verdict.Error) {
	settle = func(verdict.Verdict) {}
	if p.Allowances == nil || in.Account == nil || in.Account.Rate == 0 {
		return settle, nil
	}
	release, refusal := p.Allowances.Admit(ctx, in.Account, requestDeadline(rule, in))
	if refusal == nil && release != nil {
		settle = func(v verdict.Verdict) {
			if v == verdict.NotRun {
				release()
			}
		}
	}
	return settle, refusal
}

// accountPriority returns the priority of the request that takes precedence over that of
// its route.
func (in *Incoming) accountPriority(rule *document.Rule) int {
	if in.Account == nil {
		return rule.Priority
	}
	return in.Account.PriorityOr(rule.Priority)
}

// weight returns the weight of the request's account in the fair queue, or 0 if it has none.
func (in *Incoming) weight() float64 {
	if in.Account == nil {
		return 0
	}
	return in.Account.Weight()
}
