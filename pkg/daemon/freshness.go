package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/verdict"
)

const (
	// usableShare is the share of the bound up to which knowledge of accounts is used. The
	// rest is for the time between the check and the caller's own time of sending.
	usableShare = 0.9
	// refreshShare is the share of the usable age from which it is refreshed in the
	// background, so that requests do not wait: 1.5 s of 4.5 s.
	refreshShare = 1.0 / 3
	// maxUnknownKeyAge is the age up to which an unknown key does not exist. A key must be
	// accepted 2.5 s after it was added.
	maxUnknownKeyAge = 2 * time.Second
	// confirmWait is how long a request waits for a confirmation.
	confirmWait = 300 * time.Millisecond
	// refreshTimeout limits a confirmation in the background.
	refreshTimeout = time.Second
	// staleRetryAfter is the time after which a refused caller may find another host, or
	// this one may have found a relay.
	staleRetryAfter = time.Second
)

// Reasons of refusals.
const (
	reasonAccountsStale   = "accounts-stale"
	reasonKeyNotConfirmed = "key-not-confirmed"
)

// ageSource is the part of confsync.Syncer that knows the age of the configuration.
type ageSource interface {
	ConfirmedAge() (age time.Duration, known bool)
	Confirm(ctx context.Context, maxAge time.Duration) bool
}

// freshnessConfig configures a freshness. All fields are required.
type freshnessConfig struct {
	Source ageSource
	// Stats returns the totals of the confirmations.
	Stats func() confsync.Stats
	// Needed reports whether the configuration in force has accounts.
	Needed func() bool
	// FailClosed refuses requests with keys once the knowledge of accounts may be older
	// than Bound.
	FailClosed bool
	Bound      time.Duration
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// freshness decides whether this daemon's knowledge of accounts is young enough. It is
// safe for concurrent use.
type freshness struct {
	config freshnessConfig
	// usableAge is the age up to which keys are accepted.
	usableAge time.Duration
	// refreshing is true while a confirmation runs in the background.
	refreshing atomic.Bool
	// failing is true if the last confirmation failed and none has succeeded since.
	failing atomic.Bool

	refusals *prometheus.CounterVec
	// logLimit limits the log lines about refusals; unlogged counts those since the last.
	logLimit *rate.Limiter
	unlogged atomic.Uint64
}

func newFreshness(c freshnessConfig) *freshness {
	f := &freshness{
		config: c, usableAge: time.Duration(usableShare * float64(c.Bound)),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "stale_refusals_total", Help: "Requests refused because knowledge of accounts may be out of date.",
		}, []string{"reason"}),
		logLimit: rate.NewLimiter(1, 1),
	}
	c.Registerer.MustRegister(f.refusals, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Name: "configuration_age_seconds",
		Help: "Time since the store confirmed the configuration held, -1 if unknown.",
	}, func() float64 {
		age, known := c.Source.ConfirmedAge()
		if !known {
			return -1
		}
		return age.Seconds()
	}))
	registerConfirmations(c.Registerer, c.Stats)
	return f
}

// registerConfirmations registers the counters of confirmations by source.
func registerConfirmations(r prometheus.Registerer, stats func() confsync.Stats) {
	for source, value := range map[string]func(confsync.Stats) uint64{
		"store":      func(s confsync.Stats) uint64 { return s.ConfirmedByStore },
		"list":       func(s confsync.Stats) uint64 { return s.ConfirmedByList },
		"relay":      func(s confsync.Stats) uint64 { return s.ConfirmedByRelay },
		"comparison": func(s confsync.Stats) uint64 { return s.ConfirmedByComparison },
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "configuration_confirmations_total",
			Help: "Confirmations that the configuration held is current.", ConstLabels: prometheus.Labels{"source": source},
		}, func() float64 { return float64(value(stats())) }))
	}
}

// Check implements proxy.Freshness. The caller must look up the key after it, since the
// confirmation that it waits for may bring a version without the key.
func (f *freshness) Check(ctx context.Context) *verdict.Error {
	if !f.config.FailClosed || f.isUsable() || f.confirm(ctx, f.usableAge) {
		return nil
	}
	f.failing.Store(true)
	return f.refuse(reasonAccountsStale, "The daemon cannot confirm that its list of accounts is up to date.")
}

// CheckUnknown implements proxy.Freshness. The caller must look up the key again after it.
func (f *freshness) CheckUnknown(ctx context.Context) *verdict.Error {
	if f.confirm(ctx, maxUnknownKeyAge) {
		return nil
	}
	return f.refuse(reasonKeyNotConfirmed, "The key is unknown, and the daemon cannot confirm that its list of accounts is up to date.")
}

// isUsable reports whether keys may be accepted now, and refreshes an age that will soon
// be too old.
func (f *freshness) isUsable() bool {
	age, known := f.config.Source.ConfirmedAge()
	if !known || age > f.usableAge {
		return false
	}
	f.failing.Store(false)
	if refreshAge := f.refreshAge(); age > refreshAge {
		f.refresh(refreshAge)
	}
	return true
}

func (f *freshness) refreshAge() time.Duration {
	return time.Duration(refreshShare * float64(f.usableAge))
}

// refresh starts a confirmation in the background, unless one is running.
func (f *freshness) refresh(maxAge time.Duration) {
	if f.refreshing.Swap(true) {
		return
	}
	go func() {
		defer f.refreshing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		defer cancel()
		f.config.Source.Confirm(ctx, maxAge)
		age, known := f.config.Source.ConfirmedAge()
		f.failing.Store(!known || age > f.usableAge)
	}()
}

// confirm reports whether the age is at most maxAge, and waits for a confirmation if
// it is not.
func (f *freshness) confirm(ctx context.Context, maxAge time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	return f.config.Source.Confirm(ctx, maxAge)
}

// refuse returns the refusal of a request, and logs refusals once per second.
func (f *freshness) refuse(reason, detail string) *verdict.Error {
	f.refusals.WithLabelValues(reason).Inc()
	refused := f.unlogged.Add(1)
	if f.logLimit.Allow() {
		f.unlogged.Store(0)
		age, known := f.config.Source.ConfirmedAge()
		f.config.Log.Warn().Str("reason", reason).Bool("known", known).Dur("age_ms", age).Dur("usable_ms", f.usableAge).
			Uint64("requests", refused).Msg("accounts: requests refused, knowledge of accounts may be out of date")
	}
	err := verdict.Refuse(503, reason, detail)
	err.RetryAfter = staleRetryAfter
	return err
}

// omitsSelf reports whether this daemon should not be in its address answers, because it
// refuses requests with keys. An idle daemon whose age is too old has not asked yet: it
// asks now, and stays in the answers unless that fails.
func (f *freshness) omitsSelf() bool {
	if f == nil || !f.config.FailClosed || !f.config.Needed() || f.isUsable() {
		return false
	}
	f.refresh(f.refreshAge())
	return f.failing.Load()
}

// addresses resolves an address query. If this daemon is to be omitted, its own address is
// left out while there are others.
func (f *freshness) addresses(q placement.Query, own string, resolve func(placement.Query) placement.Answer) placement.Answer {
	if !f.omitsSelf() {
		return resolve(q)
	}
	q.Failed = append(slices.Clone(q.Failed), own)
	answer := resolve(q)
	isOwn := func(address string) bool { return address == own }
	if others := slices.DeleteFunc(slices.Clone(answer.Addresses), isOwn); len(others) > 0 {
		answer.Addresses = others
	}
	return answer
}
