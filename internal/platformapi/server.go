package platformapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const (
	// maxPollWait is the maximum duration of a long poll.
	maxPollWait = time.Minute
	// shutdownTimeout is how long Run waits for calls in progress when it stops.
	shutdownTimeout = 500 * time.Millisecond
	// extraBodyBytes is added to the maximum size of a value to leave space for the JSON
	// of a member or of faults.
	extraBodyBytes = 64 << 10
)

// Config configures a Server.
type Config struct {
	// Listener accepts connections.
	Listener net.Listener
	// Store answers the calls.
	Store *memstore.Store
	// Key is the bearer token that calls must carry; if empty, all calls are accepted.
	Key string
}

// Server is the platform stand-in.
type Server struct {
	config Config
	hertz  *server.Hertz
}

// New returns a server that is not yet running.
func New(c Config) *Server {
	s := &Server{config: c}
	s.hertz = server.New(
		server.WithListener(c.Listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithMaxRequestBodySize(platform.MaxValueBytes+extraBodyBytes),
		// Keys may contain slashes and any other characters. The handlers decode
		// the raw path, so that no key is normalized into another.
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithRemoveExtraSlash(false),
		server.WithRedirectTrailingSlash(false),
	)
	s.routes()
	return s
}

// Run serves until ctx ends or the listener fails.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.hertz.Run() }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "platform stand-in")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.hertz.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Wrap(err, "stop platform stand-in")
	}
	return nil
}

func (s *Server) routes() {
	h := s.hertz
	h.Use(s.authorize)
	h.GET("/v1/objects", s.list)
	h.GET("/v1/objects/*key", s.get)
	h.PUT("/v1/objects/*key", s.put)
	h.DELETE("/v1/objects/*key", s.remove)
	h.GET("/v1/watch", s.watch)
	h.GET("/v1/members", s.members)
	h.PUT("/v1/members/*id", s.putMember)
	h.DELETE("/v1/members/*id", s.removeMember)
	h.PUT("/standin/faults", s.putFaults)
	h.GET("/standin/counts", s.counts)
}

func (s *Server) authorize(ctx context.Context, c *app.RequestContext) {
	if s.config.Key != "" && string(c.GetHeader("Authorization")) != "Bearer "+s.config.Key {
		c.AbortWithStatus(http.StatusUnauthorized)
		return
	}
	c.Next(ctx)
}

// writeStoreError answers a request with the status code for an error of the store.
func writeStoreError(c *app.RequestContext, err error) {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		// Simulates a lost reply: the client sees a closed connection.
		_ = c.GetConn().Close()
		c.SetConnectionClose()
	case errors.Is(err, platform.ErrNotFound):
		writeError(c, http.StatusNotFound, err.Error())
	case errors.Is(err, platform.ErrConflict):
		writeError(c, http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, platform.ErrHistoryGone):
		writeError(c, http.StatusGone, err.Error())
	case errors.Is(err, platform.ErrTooLarge):
		writeError(c, http.StatusRequestEntityTooLarge, err.Error())
	default:
		writeError(c, http.StatusServiceUnavailable, err.Error())
	}
}

func writeError(c *app.RequestContext, status int, reason string) {
	c.JSON(status, map[string]string{"error": reason})
}
