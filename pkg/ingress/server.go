package ingress

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/panics"
)

// Limits holds the limits of connections and requests.
type Limits struct {
	// Connections is the maximum number of open connections. Further ones are
	// closed as soon as they are accepted.
	Connections int
	// MaxHeaderBytes and MaxBodyBytes limit the size of the header and the body.
	MaxHeaderBytes, MaxBodyBytes int
	// RequestArrival is how long a request may take from its first byte to its
	// last.
	RequestArrival time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Handler answers a request by filling in the response. It must not use the
// request and the response after it returns, because the server reuses them.
type Handler func(ctx context.Context, r *Request, resp *protocol.Response)

// ErrCallerGone is the cause of a request's context when its caller has closed the
// connection.
var ErrCallerGone = errors.New("ingress: the caller closed the connection")

// errConnectionEnding is the cause for requests after an answer that closes the
// connection.
var errConnectionEnding = errors.New("ingress: the connection ends with an earlier answer")

// Server serves the connections of one listener.
type Server struct {
	listener net.Listener
	limits   func() Limits
	handler  Handler
	log      zerolog.Logger
	// OnRefusal, if set, amends the answer to a request that could not be read.
	// It must be set before Run.
	OnRefusal func(*protocol.Response)
	// Screen, if set, is called when the header of a request has been read, and before its
	// body is. If it returns a refusal, the body is not read, and the connection closes after
	// the refusal. It must be set before Run.
	Screen func(r *Request) *Refusal

	// DiscardBody, if set, reports whether the body of a request is not needed, which is decided
	// on its header. Such a body is read and not kept. It must be set before Run.
	DiscardBody func(*Request) bool
	// LimitsMemory limits the connections by the size of the memory budget, and counts the
	// memory that each request needs besides its bytes. It must be set before Run.
	LimitsMemory bool
	// ConnectionParts divides the limit of LimitsMemory if it is above 1, for a listener that needs
	// few connections. It must be set before Run.
	ConnectionParts int

	memory *memory.Budget
	// evictions counts the connections told to close for others.
	evictions atomic.Int64
	// unanswered counts the requests that were read and not answered, because an earlier
	// answer closed the connection.
	unanswered atomic.Int64

	endAfterAnswer atomic.Bool
	draining       atomic.Bool
	// acceptUntil is set by Drain: when Run stops accepting at the latest.
	acceptUntil atomic.Pointer[time.Time]

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closing is the number of connections told to close for new ones.
	closing int
	// acceptEnded is closed when Run returns. It is nil before Run.
	acceptEnded chan struct{}
	allClosed   chan struct{} // closed and replaced when the last connection closes
}

// New returns a server on ln. limits is called each time a limit is applied, so the
// limits can change while the server runs.
func New(ln net.Listener, limits func() Limits, handler Handler, log zerolog.Logger) *Server {
	return &Server{
		listener: ln, limits: limits, handler: handler, log: log,
		memory: memory.New(0), conns: map[*conn]struct{}{}, allClosed: make(chan struct{}),
	}
}

// ShareMemory makes the server use a memory budget that others use too. It must be called before
// Run.
func (s *Server) ShareMemory(b *memory.Budget) { s.memory = b }

// Evictions returns how many connections were told to close because others needed their memory
// or their place.
func (s *Server) Evictions() int64 { return s.evictions.Load() }

const (
	// acceptRetryDelay is how long the server waits after a failed accept, which happens
	// when file descriptors run out.
	acceptRetryDelay = 10 * time.Millisecond
	// pendingAcceptTime is how long a draining server waits for a further connection
	// before it stops accepting, and maxPendingAcceptTime how long it accepts in all.
	// Closing the listener resets the connections that are not accepted yet, on which
	// requests may have been sent.
	pendingAcceptTime    = 5 * time.Millisecond
	maxPendingAcceptTime = 200 * time.Millisecond
)

// Run accepts connections until Drain or Shutdown is called, and then returns nil. It may
// be called once.
func (s *Server) Run() error {
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.acceptEnded = ended
	s.mu.Unlock()
	pending := false
	for {
		draining := s.limitAccept(pending)
		nc, err := s.listener.Accept()
		switch {
		case err == nil:
			pending = false
			s.serveConn(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !draining {
				continue
			}
			// On a busy host the time may be over before the accept looked for a connection.
			if pending = s.hasPendingConnection() && time.Now().Before(*s.acceptUntil.Load()); !pending {
				return ignoreClosed(s.listener.Close())
			}
		default:
			s.log.Warn().Err(err).Msg("ingress: connection not accepted")
			s.mu.Lock()
			s.evictIdlest()
			s.mu.Unlock()
			time.Sleep(acceptRetryDelay)
		}
	}
}

// limitAccept limits the next accept if the server drains, and reports whether it does. pending
// is true if a connection is known to wait.
func (s *Server) limitAccept(pending bool) bool {
	until := s.acceptUntil.Load()
	if until == nil {
		return false
	}
	deadline := time.Now().Add(pendingAcceptTime)
	if pending || until.Before(deadline) {
		deadline = *until
	}
	s.setAcceptDeadline(deadline)
	return true
}

// setAcceptDeadline sets the deadline of the current and the next accepts. A listener
// without deadlines is closed.
func (s *Server) setAcceptDeadline(t time.Time) {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && l.SetDeadline(t) == nil {
		return
	}
	_ = s.listener.Close()
}

// hasPendingConnection reports whether a connection waits to be accepted.
func (s *Server) hasPendingConnection() bool {
	l, ok := s.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	controlErr := raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return controlErr == nil && pending
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// serveConn serves a connection. If there are too many, it closes the one without progress for
// the longest time, or the new one if all make progress.
func (s *Server) serveConn(nc net.Conn) {
	t := &transport{Conn: nc}
	wrapped, err := netconn.Wrap(t)
	if err != nil {
		s.log.Debug().Err(err).Msg("ingress: accepted connection is unusable")
		return
	}
	c := newConn(s, t, wrapped)
	s.mu.Lock()
	if len(s.conns)-s.closing >= s.connectionLimit() && !s.evictIdlest() {
		s.mu.Unlock()
		nc.Close()
		s.log.Warn().Str("remote", c.remote).Msg("ingress: too many connections; new connection closed")
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.reserved = s.memory.Open(false, c)
	panics.Go(panics.Requests, c.serve, c.abort)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.countedAsClosing {
		s.closing--
	}
	if len(s.conns) == 0 {
		close(s.allClosed)
		s.allClosed = make(chan struct{})
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Pending returns the number of requests that have arrived and are not answered yet.
func (s *Server) Pending() int {
	n := 0
	for _, c := range s.connections() {
		n += c.pendingRequests()
	}
	return n
}

// Unanswered returns how many requests were read and not answered because an earlier answer
// closed their connection.
func (s *Server) Unanswered() int64 { return s.unanswered.Load() }

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// EndAfterAnswer makes every connection close after the answers to the requests that it
// handles, or after the next one. Requests that have arrived are among them, also if they are not
// read yet. Unlike Drain, it does not close idle connections, on which a request may be about to
// arrive.
func (s *Server) EndAfterAnswer() {
	s.markStop()
	s.endAfterAnswer.Store(true)
}

// markStop must be called before the server begins to stop, so that no connection drops a request
// that has arrived.
func (s *Server) markStop() {
	for _, c := range s.connections() {
		c.markStop()
	}
}

// endsConnections reports whether the server stops, so that no connection takes further
// requests behind those that it handles.
func (s *Server) endsConnections() bool { return s.endAfterAnswer.Load() || s.draining.Load() }

// Drain stops accepting and makes every connection close as EndAfterAnswer does. Idle
// connections close now, but for those without any request yet: their callers have sent
// one or are about to.
func (s *Server) Drain() {
	s.markStop()
	until := time.Now().Add(maxPendingAcceptTime)
	s.acceptUntil.Store(&until)
	s.draining.Store(true)
	s.setAcceptDeadline(time.Now()) // ends the current accept
	for _, c := range s.connections() {
		c.endIfIdle()
	}
}

// Shutdown stops accepting and waits until all connections have closed. If ctx
// ends first, it closes the remaining ones and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	acceptEnded := s.acceptEnded
	s.mu.Unlock()
	if s.draining.Load() && acceptEnded != nil {
		select {
		case <-acceptEnded:
		case <-ctx.Done():
		}
	}
	err := ignoreClosed(s.listener.Close())
	for {
		s.mu.Lock()
		remaining, allClosed := len(s.conns), s.allClosed
		s.mu.Unlock()
		if remaining == 0 {
			return err
		}
		select {
		case <-allClosed:
		case <-ctx.Done():
			for _, c := range s.connections() {
				c.abort(ErrCallerGone)
			}
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}
