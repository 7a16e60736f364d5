// Package verdict says whether a request may have run at an upstream.
//
// Every outcome of a request carries a Verdict. It decides whether the request
// may be retried, what the caller is told and what is logged. Errors on the
// request path are of type *Error; use Of to read the verdict of any error.
package verdict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run.
type Verdict uint8

// The zero value is MayHaveRun, so that a forgotten assignment never claims
// that a request was not run.
const (
	// MayHaveRun means that nothing is known for certain.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request ran and its whole answer is known.
	Ran
)

// Header is the response header that carries the verdict to the caller, and
// from an upstream that sheds load to the daemon.
const Header = "Shallotglade-Verdict"

// String returns the form used in headers, problem bodies and logs.
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

// Parse returns the verdict of its header form. Any unknown text is
// MayHaveRun, the only answer that is never false.
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

// Join returns the verdict of a request after two attempts with verdicts a and b.
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

// Promises reports whether the status code alone tells a caller that its request
// has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
// A nil error is Ran.
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
