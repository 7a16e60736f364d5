// Package upstream sends one attempt of a request to one upstream and classifies
// its outcome.
//
// Client.Do returns a Result. Its Verdict states whether the request may have
// run, and its Kind is evidence about the health of the upstream. Incomplete
// responses are never returned: truncated responses, responses without a
// delimiter, responses with another request id and malformed responses are
// failures. All responses being received share one memory limit; when it is
// reached, the largest response is aborted. A connection is reused only after a
// complete response with no unread bytes after it.
//
// Sender is the interface that the request path uses; tests substitute fakes.
package upstream
