package netconn

import (
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/httphead"
)

var (
	// ErrHeadTooLong means that the head of a message exceeds its size limit.
	ErrHeadTooLong = errors.New("the head does not end within its bound")

	errHeadMismatch = errors.New("the HTTP library parsed the head to a different length")
)

const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200
)

// ReadAnswerHead reads the head of the next final answer and skips interim answers. All heads
// together may have limit bytes.
func (s *Conn) ReadAnswerHead(h *protocol.ResponseHeader, limit int) error {
	for {
		var scanner httphead.Scanner
		if err := s.awaitHead(&scanner, limit); err != nil {
			return err
		}
		size := s.head.remaining
		if err := resp.ReadHeader(h, &s.head); err != nil {
			return errors.Wrap(err, "parse the head of an answer")
		}
		if s.head.remaining != 0 {
			return errHeadMismatch
		}
		if coding := scanner.ContentCoding(); coding != "" {
			// The library keeps the last of several fields.
			h.SetContentEncoding(coding)
		}
		limit -= size
		switch status := h.StatusCode(); {
		case status == statusSwitchingProtocols:
			return errors.Newf("unexpected protocol switch (status %d)", status)
		case status >= firstFinalStatus:
			return nil
		}
	}
}

// ReadRequestHead reads the head of the next request, which may have limit bytes. It returns
// io.ErrUnexpectedEOF if the connection ends before the head does.
func (s *Conn) ReadRequestHead(h *protocol.RequestHeader, limit int) error {
	if err := s.awaitHead(&httphead.Scanner{Request: true}, limit); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	if err := req.ReadHeader(h, &s.head); err != nil {
		return errors.Wrap(err, "parse the head of a request")
	}
	if s.head.remaining != 0 {
		return errHeadMismatch
	}
	return nil
}

// awaitHead waits until the complete head of a message has arrived, and prepares s.head to read
// it. It fails as soon as the scanner, which is new, refuses the bytes, or when the head does not end
// within limit bytes.
func (s *Conn) awaitHead(scanner *httphead.Scanner, limit int) error {
	for n := 1; ; n = s.Len() + 1 {
		if n > limit {
			return ErrHeadTooLong
		}
		if _, err := s.Peek(n); err != nil {
			return err
		}
		received, err := s.Peek(min(s.Len(), limit))
		if err != nil {
			return err
		}
		complete, err := scanner.Scan(received)
		if err != nil {
			return err
		}
		if complete {
			s.head = headReader{s, scanner.Size()}
			return nil
		}
	}
}

// headReader reads the next head of a connection and nothing after it. The library moves the
// bytes after a folded header field within the buffer, so it must see only the head.
type headReader struct {
	*Conn
	remaining int
}

// Len implements network.Reader.
func (r *headReader) Len() int { return r.remaining }

// Peek implements network.Reader.
func (r *headReader) Peek(n int) ([]byte, error) {
	if n > r.remaining {
		return nil, errHeadMismatch
	}
	return r.Conn.Peek(n)
}

// Skip implements network.Reader.
func (r *headReader) Skip(n int) error {
	r.remaining -= n
	return r.Conn.Skip(n)
}
