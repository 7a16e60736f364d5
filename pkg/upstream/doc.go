// Package upstream sends one attempt of a request to one upstream and says
// exactly how it ended.
//
// Client.Do returns a Result whose Verdict tells whether the request may have
// run there, and whose Kind is evidence about the upstream. An answer that is
// not whole is never returned: answers cut short, answers without a delimiter
// and answers that name another request id are failures, and so are bytes that
// are no answer. All answers that are arriving share a bound of memory; when it
// is reached, the largest one ends. A connection is used again only after a
// whole answer with nothing unread behind it.
//
// Sender is the interface that the request path uses; tests put fakes behind it.
package upstream
