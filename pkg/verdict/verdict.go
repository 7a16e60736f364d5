// Package verdict describes whether a request ran at an upstream.
//
// Every outcome of a request carries a Verdict. It decides whether the request may
// be retried, what the caller is told and what is logged. Errors on the request path
// are of type *Error; use Of to get the verdict of any error.
package verdict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Verdict describes whether a request ran at an upstream.
type Verdict uint8

// The zero value is MayHaveRun, so that a forgotten assignment never claims that a
// request did not run.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request ran and its complete response is known.
	Ran
)

// Header is the response header that carries the verdict from a daemon to the caller,
// and from an upstream that sheds load to the daemon.
const Header = "Shallotglade-Verdict"

// String returns the name used in headers, problem bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with the given name. Unknown names yield MayHaveRun, which is
// always safe to assume.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Join returns the combined verdict of two attempts of a request.
func Join(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == MayHaveRun || b == MayHaveRun:
		return MayHaveRun
	default:
		return NotRun
	}
}

// Promises reports whether the status code alone tells a caller that its request has
// not run and will not run.
func StatusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Of returns the verdict of err, or MayHaveRun if it carries none. The verdict of a nil
// error is Ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
