// Package standin implements stand-ins for the surroundings of the fleet: upstreams
// with configurable partial failures, and callers that check their answers. The demo
// and the process tests start them through cmd/standin.
package standin
