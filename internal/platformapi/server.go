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
	// maxWait bounds one long poll.
	maxWait = time.Minute
	// exitWait is how long Run waits for calls in progress when it stops.
	exitWait = 500 * time.Millisecond
	// bodySlack is room for a member or faults document beyond a value.
	bodySlack = 64 << 10
)

// Config is what a Server needs.
type Config struct {
	// Listener accepts connections.
	Listener net.Listener
	// Store answers the calls.
	Store *memstore.Store
	// Key is the bearer key that calls must carry; empty admits all calls.
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
		server.WithExitWaitTime(exitWait),
		server.WithMaxRequestBodySize(platform.MaxValueBytes+bodySlack),
		// Keys hold slashes and may hold anything; the handlers decode the
		// raw path themselves, so that no key is normalized into another.
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
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), exitWait)
	defer cancel()
	if err := s.hertz.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
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

// fail answers with the status of a store error.
func fail(c *app.RequestContext, err error) {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		// The client must see a broken connection and no reply.
		_ = c.GetConn().Close()
		c.SetConnectionClose()
	case errors.Is(err, platform.ErrNotFound):
		refuse(c, http.StatusNotFound, err.Error())
	case errors.Is(err, platform.ErrConflict):
		refuse(c, http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, platform.ErrTooLarge):
		refuse(c, http.StatusRequestEntityTooLarge, err.Error())
	default:
		refuse(c, http.StatusServiceUnavailable, err.Error())
	}
}

func refuse(c *app.RequestContext, status int, reason string) {
	c.JSON(status, map[string]string{"error": reason})
}
