package verdict

import (
	"fmt"
	"time"
)

// Error is a refused or failed request, as reported to the caller.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status code of the response.
	Status int
	// Reason is a short fixed identifier such as "queue-full".
	Reason string
	// Detail is a sentence for the caller.
	Detail string
	// RetryAfter is how long the caller should wait; zero means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error; it is logged and never sent to callers.
	Cause error
}

// Refuse returns the error of a request that certainly did not run.
func Refuse(status int, reason, detail string) *Error {
	return &Error{Verdict: NotRun, Status: status, Reason: reason, Detail: detail}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s (%s): %v", e.Reason, e.Detail, e.Verdict, e.Cause)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Detail, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
