package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/netconn"
)

// Limits bound connections and requests.
type Limits struct {
	// Connections is the most open connections; further ones are closed as
	// soon as they are accepted.
	Connections int
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body.
	MaxHeaderBytes, MaxBodyBytes int
	// RequestArrival is how long a request may take from its first byte to its
	// last.
	RequestArrival time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Handler answers a request by filling the response. The request and the
// response are the server's again when it returns.
type Handler func(ctx context.Context, r *Request, resp *protocol.Response)

// ErrCallerGone is the cause of the end of a request's context when its caller
// has closed the connection.
var ErrCallerGone = errors.New("ingress: the caller closed the connection")

// errEnding ends the requests behind an answer that closes the connection.
var errEnding = errors.New("ingress: the connection ends with an earlier answer")

// Server serves the connections of one listener.
type Server struct {
	listener net.Listener
	limits   func() Limits
	handler  Handler
	log      zerolog.Logger
	// OnRefusal adds to the answer of a request that could not be read; it is
	// set before Run.
	OnRefusal func(*protocol.Response)

	ending   atomic.Bool
	draining atomic.Bool

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed chan struct{}
	empty  chan struct{} // closed and replaced when the last connection ends
}

// New returns a server on ln. limits is asked anew for each request.
func New(ln net.Listener, limits func() Limits, handler Handler, log zerolog.Logger) *Server {
	return &Server{
		listener: ln, limits: limits, handler: handler, log: log,
		conns: map[*conn]struct{}{}, closed: make(chan struct{}), empty: make(chan struct{}),
	}
}

// acceptPause is how long the server waits after a failed accept, which happens
// when descriptors run out.
const acceptPause = 10 * time.Millisecond

// Run accepts connections until Shutdown, and returns nil then.
func (s *Server) Run() error {
	for {
		nc, err := s.listener.Accept()
		switch {
		case err == nil:
			s.take(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.log.Warn().Err(err).Msg("ingress: connection not accepted")
			time.Sleep(acceptPause)
		}
	}
}

// take serves a connection unless there are too many.
func (s *Server) take(nc net.Conn) {
	wrapped, err := netconn.Wrap(nc)
	if err != nil {
		s.log.Debug().Err(err).Msg("ingress: connection ended at once")
		return
	}
	c := newConn(s, wrapped)
	s.mu.Lock()
	if len(s.conns) >= s.limits().Connections {
		s.mu.Unlock()
		nc.Close()
		s.log.Warn().Str("remote", c.remote).Msg("ingress: too many connections; closed a new one")
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 {
		close(s.empty)
		s.empty = make(chan struct{})
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Pending returns the number of requests that have arrived and were not answered.
func (s *Server) Pending() int {
	n := 0
	for _, c := range s.list() {
		n += c.unanswered()
	}
	return n
}

func (s *Server) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// EndAfterAnswer makes every connection end with the answer to its next
// request. Unlike Drain it closes no connection between requests, on which a
// request may just be arriving.
func (s *Server) EndAfterAnswer() { s.ending.Store(true) }

// Drain makes every connection end with its last answer. Connections without a
// request end now.
func (s *Server) Drain() {
	s.draining.Store(true)
	for _, c := range s.list() {
		c.endIfIdle()
	}
}

// Shutdown stops accepting and waits until all connections have ended. When ctx
// ends first, it closes the rest and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	for {
		s.mu.Lock()
		left, empty := len(s.conns), s.empty
		s.mu.Unlock()
		if left == 0 {
			return err
		}
		select {
		case <-empty:
		case <-ctx.Done():
			for _, c := range s.list() {
				c.abort(ErrCallerGone)
			}
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}
