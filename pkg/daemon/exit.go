package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/placement"
)

const (
	// It takes spreadTime until the daemons of a fleet of up to smallFleet know
	// that this one leaves and name it in no new answer, and largeSpreadTime in
	// a larger one, where the news goes over several others
	// (docs/decisions/membership.md).
	spreadTime      = 3 * time.Second
	largeSpreadTime = 12 * time.Second
	smallFleet      = 48
	// closeTimeout bounds the last steps of an exit.
	closeTimeout = 30 * time.Second
	// announcePart is the part of the grace during which a leaving daemon still
	// takes new requests; the rest is for the requests under way.
	announcePart = 2
	// endMargin is kept between the end of the last request and the end of the
	// grace, for the last steps, and lastMargin between these and the end of the
	// grace, for a busy host.
	endMargin  = 350 * time.Millisecond
	lastMargin = 100 * time.Millisecond
)

// exitPlan is how long the parts of an exit take, from its start.
type exitPlan struct {
	// announce is how long new requests are still taken.
	announce time.Duration
	// requests is when requests that are still under way are cut.
	requests time.Duration
	// end is when the last steps after that are cut.
	end time.Duration
}

// planExit returns the plan for answers to callers that run out after lapse.
// With a grace, which may be too short for that, the exit ends before it does.
func planExit(lapse, requests, grace time.Duration) exitPlan {
	p := exitPlan{announce: lapse, requests: lapse + requests, end: lapse + requests + closeTimeout}
	if grace > 0 {
		p.announce = min(p.announce, grace/announcePart)
		p.requests = min(p.requests, max(grace-endMargin, p.announce))
		p.end = min(p.end, max(grace-lastMargin, p.requests))
	}
	return p
}

// exit leaves the fleet: other daemons stop naming this one, answers that name
// it run out, connections end between requests, the last request ends, outcomes
// are stored.
func (d *Daemon) exit() error {
	start := time.Now()
	plan := planExit(d.spreadTime()+scaledLifetime(placement.MaxLifetime, d.dynamic.Load().Addresses.Lifetime),
		d.settings.Drain.Requests, d.settings.Drain.Grace)
	d.log.Info().Dur("announce_ms", plan.announce).Dur("requests_ms", plan.requests).Msg("drain: leaves; other daemons are told")
	d.roster.leave()
	if d.registration != nil {
		// A failure is logged there; the exit does not wait for the platform.
		go d.registration.Leave(context.Background())
	}
	// Callers' connections end with their next answer from now on, so that those
	// that are still open at the end of the wait have no more use.
	d.callers.EndAfterAnswer()
	time.Sleep(plan.announce)
	d.log.Info().Int("connections", d.callers.Open()).Int("requests", d.callers.Pending()).Msg("drain: takes no new requests")
	d.callers.Drain()
	left := d.endRequests(plan.requests - time.Since(start))
	// Requests that other daemons passed on end before the ledger closes, since
	// they may still claim and settle.
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(plan.end))
	defer cancel()
	err := errors.CombineErrors(errors.Wrap(d.node.Close(ctx), "close the connections to other daemons"),
		errors.CombineErrors(errors.Wrap(d.ledger.Close(ctx), "settle claims"), errors.Wrap(d.admin.Shutdown(ctx), "close the administration port")))
	d.sender.Close()
	d.log.Info().Int("cut", left).Dur("ms", time.Since(start)).Err(err).Msg("drain: left")
	if left > 0 {
		return errors.Newf("%d requests were still under way at the time limit", left)
	}
	return err
}

// endRequests stops accepting connections and waits for those that are open. It
// returns how many were cut.
func (d *Daemon) endRequests(limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.callers.Shutdown(ctx)
	if err == nil {
		return 0
	}
	left := d.callers.Pending()
	d.log.Warn().Int("requests", left).Err(err).Msg("drain: connections were cut at the time limit")
	return left
}

// spreadTime is how long the news that this daemon leaves takes to all others.
func (d *Daemon) spreadTime() time.Duration {
	if len(d.Daemons()) > smallFleet {
		return largeSpreadTime
	}
	return spreadTime
}
