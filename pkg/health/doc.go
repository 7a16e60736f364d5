// Package health implements the health controller of a daemon. It assesses
// upstreams from request outcomes and probes, exchanges reports with the other
// homes of each service, and proposes ejections to the platform.
//
// Fill in a Controller, call Provision, then Run. The controller implements the
// Notifier interface of the request path.
package health
