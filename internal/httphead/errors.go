package httphead

import "net/http"

// Error is the reason why a head is refused. It quotes nothing of the head, which may contain
// keys.
type Error struct {
	// Status is the status of the answer to a request with this head.
	Status int
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return "malformed head: " + e.Reason }

// ErrMalformedField means that a line is no header field.
var ErrMalformedField = malformed("a line is no header field")

var (
	errStatusLine  = malformed("the bytes begin no status line")
	errRequestLine = malformed("the first line is no request line")
	errTarget      = malformed("the target is neither a path nor a URL with a host")
	errHost        = malformed("the Host field is invalid or not the only one")
	errOtherHost   = malformed("the Host field names another host than the target")
	errNoHost      = malformed("the request has no Host field")
	errVersion     = &Error{http.StatusHTTPVersionNotSupported, "the protocol version is neither HTTP/1.0 nor HTTP/1.1"}
	errJoinedHeads = malformed("a status line stands behind the beginning of another head")
	errControlByte = malformed("a header field has a control byte")
	errFolded      = malformed("a line begins with a blank, but no field may continue on it")
	errFieldOrFold = malformed("a line may be a field or continue the previous one")
	errLineEnd     = malformed("a line does not end with a carriage return and a line feed")
	errTwoLengths  = malformed("there are both a content length and a transfer coding")

	errTransferCoding = malformed("the transfer coding is not chunked")
	errUnknownCoding  = &Error{http.StatusNotImplemented, "a transfer coding before chunked is not supported"}

	errContentLength = malformed("the content length is no number or not the same each time")
	errTrailer       = malformed("the Trailer field is no list of field names")
)

func malformed(reason string) *Error { return &Error{http.StatusBadRequest, reason} }
