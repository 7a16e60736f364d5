package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/placement"
)

const (
	// smallFleetSpreadTime is how long it takes until all other daemons know that
	// this one is leaving and no longer return its address, in a fleet of up to
	// smallFleetMaxDaemons. In a larger fleet, where several daemons relay the
	// message, it is largeFleetSpreadTime (docs/decisions/membership.md).
	smallFleetSpreadTime = 3 * time.Second
	largeFleetSpreadTime = 12 * time.Second
	smallFleetMaxDaemons = 48
	// closeTimeout limits the last steps of the shutdown, after the requests.
	closeTimeout = 30 * time.Second
	// A leaving daemon accepts new requests until announceMargin before half of the grace
	// period, and at least for a quarter of it. The rest is left for requests in flight.
	// The margin covers a busy host, which handles the signal and requests late.
	announceGraceDivisor    = 2
	minAnnounceGraceDivisor = 4
	announceMargin          = 500 * time.Millisecond
	// requestsMargin is the time between the end of the last request and the end
	// of the grace period, reserved for the last steps. shutdownMargin is the time
	// between the last steps and the end of the grace period, for a busy host.
	requestsMargin = 350 * time.Millisecond
	shutdownMargin = 100 * time.Millisecond
	// answerMargin is the time between the deadline of the requests that arrive during
	// the shutdown and the end of the last request, in which they are answered.
	answerMargin = 100 * time.Millisecond
)

// exitPlan holds the deadlines of the shutdown phases, measured from its start.
type exitPlan struct {
	// announce is how long new requests are still accepted.
	announce time.Duration
	// requestsDeadline is when requests still in flight are aborted.
	requestsDeadline time.Duration
	// shutdownDeadline is when the remaining shutdown steps are aborted.
	shutdownDeadline time.Duration
}

// planExit returns the plan for a daemon whose address is still in use until
// answersExpire. If there is a grace period, the shutdown ends within it, even if
// that is too short for all answers to expire.
func planExit(answersExpire, requestTimeout, grace time.Duration) exitPlan {
	p := exitPlan{announce: answersExpire, requestsDeadline: answersExpire + requestTimeout, shutdownDeadline: answersExpire + requestTimeout + closeTimeout}
	if grace > 0 {
		p.announce = min(p.announce, max(grace/announceGraceDivisor-announceMargin, grace/minAnnounceGraceDivisor))
		p.requestsDeadline = min(p.requestsDeadline, max(grace-requestsMargin, p.announce))
		p.shutdownDeadline = min(p.shutdownDeadline, max(grace-shutdownMargin, p.requestsDeadline))
	}
	return p
}

// exit shuts the daemon down gracefully:
//
//  1. Other daemons learn that it is leaving and stop returning its address. Requests
//     that would not end in time are refused from here on, also those that wait.
//  2. Address answers that contain it expire.
//  3. Idle connections close, and the others close after their last answer. Requests that
//     still arrive are refused.
//  4. The outcomes of claimed requests are stored.
func (d *Daemon) exit() error {
	start := time.Now()
	plan := planExit(d.spreadTime()+scaledLifetime(placement.MaxLifetime, d.reloadable.Load().Addresses.Lifetime),
		d.settings.Drain.Requests, d.settings.Drain.Grace)
	d.log.Info().Dur("announce_ms", plan.announce).Dur("requests_ms", plan.requestsDeadline).Msg("drain: started; announcing to other daemons")
	d.proxy.Drain.Start(start.Add(plan.requestsDeadline - answerMargin))
	d.roster.leave()
	if d.registration != nil {
		// Leave logs a failure itself. The shutdown does not wait for the platform.
		go d.registration.Deregister(context.Background())
	}
	// Another daemon takes over the allowances meanwhile.
	go d.releaseAllowances()
	// From now on a caller's connection closes after its next answer, so the
	// connections that are still open at the end of the wait are unused.
	d.callerServer.EndAfterAnswer()
	time.Sleep(plan.announce)
	d.log.Info().Int("connections", d.callerServer.Open()).Int("requests", d.callerServer.Pending()).Msg("drain: no longer accepting requests")
	d.proxy.Drain.EndAccept()
	d.callerServer.Drain()
	cutRequests := d.endRequests(plan.requestsDeadline - time.Since(start))
	// Requests forwarded by other daemons end before the ledger closes, because
	// they may still create claims and store outcomes.
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(plan.shutdownDeadline))
	defer cancel()
	err := errors.CombineErrors(errors.Wrap(d.node.Close(ctx), "close the connections to other daemons"),
		errors.CombineErrors(errors.Wrap(d.ledger.Close(ctx), "store the outcomes of claims"), errors.Wrap(d.admin.Shutdown(ctx), "close the administration port")))
	d.upstreamClient.Close()
	d.log.Info().Int("cut", cutRequests).Int64("unanswered", d.callerServer.Unanswered()).Dur("ms", time.Since(start)).Err(err).Msg("drain: finished")
	if cutRequests > 0 {
		return errors.Newf("%d requests were cut at the time limit of the drain", cutRequests)
	}
	return err
}

// endRequests stops accepting connections and waits until the open ones have
// closed. It returns the number of requests aborted at the limit.
func (d *Daemon) endRequests(limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.callerServer.Shutdown(ctx)
	if err == nil {
		return 0
	}
	pending := d.callerServer.Pending()
	d.log.Warn().Int("requests", pending).Err(err).Msg("drain: connections were cut at the time limit")
	return pending
}

// spreadTime returns how long it takes until all other daemons know that this one
// is leaving.
func (d *Daemon) spreadTime() time.Duration {
	if len(d.Daemons()) > smallFleetMaxDaemons {
		return largeFleetSpreadTime
	}
	return smallFleetSpreadTime
}
