// Package health is the controller that turns outcomes into standings: it has
// the upstreams assessed, exchanges reports with the service's other homes,
// probes, and proposes ejections to the platform.
//
// Provision a Controller with its fields, then Run it. It implements the
// notifications that the request path sends.
package health
