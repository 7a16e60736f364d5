package daemon

import (
	"context"
	"strconv"

	"shallotglade/pkg/account"
	"shallotglade/pkg/allowance"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/placement"
)

// maxGrantorCandidates is the number of daemons that are asked for a grantor in turn.
const maxGrantorCandidates = 6

// provisionAllowances creates the check of the allowances of accounts. Call it when the
// components of the request path exist, before Run.
func (d *Daemon) provisionAllowances(limits allowance.Limits, accounts allowance.Directory) {
	d.allowances = &allowance.Controller{Config: allowance.Config{
		Self:   allowance.Self{ID: d.self.ID, Host: d.self.Host, Address: d.self.PeerAddress},
		Limits: limits, Store: d.store, Transport: d.node, Candidates: d.grantorCandidates,
		Accounts: accounts, Registered: d.registeredProcess, Log: d.log,
	}}
	d.allowances.Provision()
	d.node.Handle(allowance.Kind, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		return d.allowances.Handle(ctx, from.ID, body)
	})
	stats := d.allowances.Stats
	for _, t := range []struct {
		name, help string
		value      func() uint64
	}{
		{"allowance_admitted_total", "Requests of accounts with an allowance that were admitted with a token.", func() uint64 { return stats().ByToken }},
		{"allowance_admitted_by_reserve_total", "Requests admitted with a reserve token, without a grantor.", func() uint64 { return stats().ByReserve }},
		{"allowance_used_up_total", "Requests refused because the allowance was used up.", func() uint64 { return stats().Exhausted }},
		{"allowance_unchecked_total", "Requests refused because no grantor answered.", func() uint64 { return stats().WithoutGrantor }},
		{"allowance_messages_total", "Messages to grantors.", func() uint64 { return stats().Messages }},
		{"allowance_message_errors_total", "Messages to grantors without a reply.", func() uint64 { return stats().FailedMessages }},
		{"allowance_platform_calls_total", "Calls to the platform for leases of grantors.", func() uint64 { return stats().StoreCalls }},
		{"allowance_leases_taken_total", "Leases of grantors that this daemon has taken.", func() uint64 { return stats().Terms }},
	} {
		d.metrics.RegisterCounter(t.name, t.help, t.value)
	}
	d.metrics.RegisterGauge("allowance_leases", "Leases of grantors that this daemon holds.", func() float64 { return float64(stats().Held) })
}

// boardAccounts is the allowance.Directory of the accounts in force.
type boardAccounts struct{ board *blackboard.Board }

// Version implements allowance.Directory.
func (a boardAccounts) Version() uint64 { return a.board.RoutesVersion() }

// Find implements allowance.Directory.
func (a boardAccounts) Find(name string) (*account.Account, bool) { return a.board.Account(name) }

// HasRates implements allowance.Directory.
func (a boardAccounts) HasRates() bool { return a.board.HasAllowances() }

// grantorCandidates returns the daemons that can be the grantor of a shard, in order of
// preference.
func (d *Daemon) grantorCandidates(shard int) []allowance.Candidate {
	if d.adapter.SelfRegistration && !d.rosterLoaded.Load() && !d.serving.Load() {
		// This daemon knows only itself. It has the configuration already, as that is listed
		// first.
		return nil
	}
	d.roster.mu.Lock()
	hosts := d.roster.hosts
	d.roster.mu.Unlock()
	var out []allowance.Candidate
	for _, h := range placement.Grantors(strconv.Itoa(shard), hosts, maxGrantorCandidates) {
		out = append(out, allowance.Candidate{ID: h.ID, Address: h.PeerAddress})
	}
	return out
}

// registeredProcess returns the registered entry of a host's daemon. Platforms with a list
// of daemons of their own have none.
func (d *Daemon) registeredProcess(host string) (id string, version uint64, ok bool) {
	if !d.adapter.SelfRegistration {
		return "", 0, false
	}
	m, ok := d.catalog.Daemon(host)
	return m.ID, m.Version, ok
}

// releaseAllowances gives up the leases of this daemon at the start of its shutdown, so that
// another daemon is the grantor at once.
func (d *Daemon) releaseAllowances() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Platform.Timeout)
	defer cancel()
	d.allowances.Release(ctx)
}
