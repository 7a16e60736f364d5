package ingress

import (
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/httphead"
	"shallotglade/internal/netconn"
)

// Refusal refuses a request whose body has not been read.
type Refusal struct {
	// Status is the status of the answer, Reason its body.
	Status int
	Reason string
	// RetryAfter is sent in whole seconds, rounded up; 0 means none.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "ingress: request refused before its body: " + r.Reason }

// setRetryAfter sets the Retry-After header of an answer.
func (r *Refusal) setRetryAfter(answer *protocol.Response) {
	if r.RetryAfter > 0 {
		answer.Header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
}

const headerRetryAfter = "Retry-After"

// handleReadError ends the connection after a failed read. A malformed or late
// request gets an error answer, after the answers to earlier requests.
func (c *conn) handleReadError(r *Request, err error) {
	if c.hasEnded() {
		c.linger()
		return
	}
	evicted := c.evicted.Load() && errors.Is(err, os.ErrDeadlineExceeded)
	if evicted && r == nil {
		// The requests that it has begun are answered before it closes.
		c.awaitAnswers()
		return
	}
	if evicted {
		err = errNoMemory
	}
	status, reason := refusalFor(r, err)
	if status == 0 {
		c.cancel(ErrCallerGone)
		return
	}
	if c.awaitAnswers() {
		return
	}
	c.server.log.Info().Str("remote", c.remote).Int("status", status).Str("reason", reason).AnErr("cause", loggable(err)).
		Msg("ingress: request refused")
	answer := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(answer)
	answer.SetStatusCode(status)
	if status == http.StatusServiceUnavailable {
		answer.Header.Set(headerRetryAfter, strconv.Itoa(int(noMemoryRetryAfter.Seconds())))
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		refusal.setRetryAfter(answer)
	}
	answer.SetBodyString(reason + "\n")
	answer.SetConnectionClose()
	if c.server.OnRefusal != nil {
		c.server.OnRefusal(answer)
	}
	if writeErr := c.writeResponse(answer); writeErr == nil {
		c.endAfterLastAnswer()
		c.linger()
	}
}

// loggable returns the error without the text that it quotes from the request, which may contain
// a key.
func loggable(err error) error {
	var quoting *hertzerrors.Error
	if errors.As(err, &quoting) && quoting.IsType(hertzerrors.ErrorTypePublic) {
		return errMalformed
	}
	return err
}

var errMalformed = errors.New("the HTTP library cannot read the request")

// linger reads and discards incoming bytes until the caller closes the connection
// or lingerTimeout has passed.
func (c *conn) linger() {
	// Only the end of the read matters, not its cause.
	_, _ = io.Copy(io.Discard, c.netConn.Conn)
}

// refusalFor returns the status and reason for a request that could not be read.
// The status is 0 if there is no request to answer or the connection has failed.
func refusalFor(r *Request, err error) (status int, reason string) {
	var refusal *Refusal
	var malformed *httphead.Error
	switch {
	case errors.As(err, &refusal):
		return refusal.Status, refusal.Reason
	case errors.As(err, &malformed):
		return malformed.Status, malformed.Reason
	case r == nil, errors.IsAny(err, io.EOF, net.ErrClosed, hertzerrors.ErrNothingRead, errConnectionEnding):
		return 0, ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408, "the request did not arrive in time"
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable, "there is no memory for the request"
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return 413, "the body is too large"
	case errors.Is(err, netconn.ErrHeadTooLong):
		return 431, "the header is too large"
	}
	var opError *net.OpError
	if errors.As(err, &opError) {
		return 0, ""
	}
	return 400, "the request is malformed"
}
