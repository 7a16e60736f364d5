package proxy

import (
	"context"
	"time"

	"shallotglade/pkg/account"
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
