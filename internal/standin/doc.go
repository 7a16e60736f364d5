// Package standin holds the stand-ins for what surrounds the fleet: upstreams
// that fail in gray ways and callers that check their answers. The demo and the
// process tests start them through cmd/standin.
package standin
