package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotglade/pkg/document"
	"shallotglade/pkg/ingress"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/verdict"
)

// Fleet provides the state of this and other daemons to the API.
type Fleet interface {
	// Status returns the status of a service as this daemon sees it or, with
	// allHomes, as each home sees it.
	Status(ctx context.Context, service string, allHomes bool) []DaemonStatus
	Daemons() []Daemon
	// Drain starts the drain of this daemon and returns at once.
	Drain()
	// Ready reports whether this daemon accepts callers.
	Ready() bool
}

// Server serves the administration API.
type Server struct {
	Documents *Documents
	Fleet     Fleet
	Keys      []settings.AdminKey
	Registry  *prometheus.Registry
	Log       zerolog.Logger

	server *ingress.Server
	routes *route.Engine
}

const (
	maxConnections = 200
	maxHeaderBytes = 64 << 10
	arrivalTimeout = 10 * time.Second
	callTimeout    = 5 * time.Second
)

// Provision sets up the server and its routes on ln, with the memory budget of the daemon; Run
// serves it.
func (s *Server) Provision(ln net.Listener, budget *memory.Budget) {
	limits := ingress.Limits{
		Connections: maxConnections, MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: 2 * document.MaxBytes,
		RequestArrival: arrivalTimeout, Idle: arrivalTimeout,
	}
	s.server = ingress.New(ln, func() ingress.Limits { return limits }, s.handle, s.Log)
	s.server.ShareMemory(budget)
	s.server.OnRefusal = func(answer *protocol.Response) { answer.Header.Set(verdict.Header, verdict.NotRun.String()) }
	s.routes = route.NewEngine(config.NewOptions(nil))
	s.routes.GET("/livez", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	s.routes.GET("/readyz", s.readyz)
	s.routes.GET("/metrics", s.metrics)
	api := s.routes.Group("/v1", s.authenticate)
	api.GET("/services", s.list)
	api.GET("/services/:name", s.get)
	api.PUT("/services/:name", s.put)
	api.DELETE("/services/:name", s.remove)
	api.GET("/services/:name/history", s.history)
	api.GET("/services/:name/status", s.status)
	api.POST("/validate", s.validate)
	api.GET("/daemons", s.daemons)
	api.POST("/drain", s.drain)
}

// handle answers a request by its route. A call that has begun continues when its caller
// disconnects, so that a change and its entry in the history are both stored.
func (s *Server) handle(ctx context.Context, r *ingress.Request, answer *protocol.Response) {
	c := s.routes.NewContext()
	r.CopyTo(&c.Request)
	s.routes.ServeHTTP(context.WithoutCancel(ctx), c)
	c.Response.CopyTo(answer)
}

// Run serves until Shutdown.
func (s *Server) Run() error { return s.server.Run() }

// Shutdown closes the connections and stops the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.server.Drain()
	return s.server.Shutdown(ctx)
}

const teamContextKey = "team"

// authenticate determines the team of the bearer key. It compares hashes of keys in
// constant time, so that the response time reveals nothing about a key.
func (s *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	bearerKey, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	sum := sha256.Sum256([]byte(bearerKey))
	team := ""
	for _, k := range s.Keys {
		want := sha256.Sum256([]byte(k.Key))
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
			team = k.Team
		}
	}
	if team == "" {
		c.Header("WWW-Authenticate", "Bearer")
		writeFailure(c, &Failure{Status: 401, Reason: ReasonUnauthorized, Detail: "A valid administration key is needed."})
		c.Abort()
		return
	}
	c.Set(teamContextKey, team)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Next(ctx)
}

func team(c *app.RequestContext) string { return c.GetString(teamContextKey) }

func writeFailure(c *app.RequestContext, err error) {
	var f *Failure
	if !errors.As(err, &f) {
		f = &Failure{Status: 500, Reason: "internal", Detail: err.Error()}
	}
	c.JSON(f.Status, f)
}

func (s *Server) readyz(_ context.Context, c *app.RequestContext) {
	if !s.Fleet.Ready() {
		c.String(503, "not ready\n")
		return
	}
	c.String(200, "ready\n")
}

func (s *Server) list(_ context.Context, c *app.RequestContext) {
	out := []Service{}
	for _, svc := range s.Documents.Board.Services() {
		d := svc.Document()
		if t := team(c); t == AllTeams || t == d.Team {
			out = append(out, Service{Name: svc.Name, Team: d.Team, Version: svc.Version()})
		}
	}
	c.JSON(200, out)
}

func (s *Server) get(ctx context.Context, c *app.RequestContext) {
	svc, err := s.ownedService(ctx, c)
	if err != nil {
		writeFailure(c, err)
		return
	}
	c.JSON(200, svc)
}

// ownedService returns the service named in the path if the key's team owns it.
func (s *Server) ownedService(ctx context.Context, c *app.RequestContext) (Service, error) {
	svc, err := s.Documents.Get(ctx, c.Param("name"))
	if err != nil {
		return Service{}, err
	}
	return svc, checkOwner(svc, team(c))
}

func (s *Server) put(ctx context.Context, c *app.RequestContext) {
	version, err := editedVersion(c)
	if err != nil {
		writeFailure(c, err)
		return
	}
	name := c.Param("name")
	svc, err := s.Documents.Put(ctx, team(c), name, version, append([]byte(nil), c.Request.Body()...))
	if err != nil {
		s.Log.Info().Str("service", name).Str("team", team(c)).Err(err).Msg("admin: change refused")
		writeFailure(c, err)
		return
	}
	s.Log.Info().Str("service", name).Str("team", team(c)).Uint64("version", svc.Version).Msg("admin: change accepted")
	c.JSON(200, svc)
}

// editedVersion returns the version that the operator edited, or 0 for a new
// service.
func editedVersion(c *app.RequestContext) (uint64, error) {
	if string(c.GetHeader("If-None-Match")) == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(string(c.GetHeader("If-Match")), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, &Failure{Status: 428, Reason: ReasonVersionRequired, Detail: "State the version that was edited in If-Match, or If-None-Match: * for a new service."}
	}
	return version, nil
}

func (s *Server) remove(ctx context.Context, c *app.RequestContext) {
	version, err := editedVersion(c)
	if err == nil {
		err = s.Documents.Delete(ctx, team(c), c.Param("name"), version)
	}
	if err != nil {
		writeFailure(c, err)
		return
	}
	s.Log.Info().Str("service", c.Param("name")).Str("team", team(c)).Msg("admin: service removed")
	c.SetStatusCode(204)
}

func (s *Server) history(ctx context.Context, c *app.RequestContext) {
	svc, err := s.ownedService(ctx, c)
	if err != nil {
		writeFailure(c, err)
		return
	}
	changes, err := s.Documents.History.List(ctx, svc.Name)
	if err != nil {
		writeFailure(c, platformFailure(err))
		return
	}
	c.JSON(200, changes)
}

func (s *Server) status(ctx context.Context, c *app.RequestContext) {
	svc, ok := s.Documents.Board.Service(c.Param("name"))
	if !ok {
		writeFailure(c, &Failure{Status: 404, Reason: ReasonNotFound, Detail: "No such service."})
		return
	}
	if err := checkOwner(Service{Team: svc.Document().Team}, team(c)); err != nil {
		writeFailure(c, err)
		return
	}
	c.JSON(200, s.Fleet.Status(ctx, svc.Name, c.Query("all") != ""))
}

func (s *Server) validate(_ context.Context, c *app.RequestContext) {
	_, problems := document.Parse("document", append([]byte(nil), c.Request.Body()...))
	if len(problems) > 0 {
		writeFailure(c, &Failure{Status: 422, Reason: ReasonInvalid, Detail: "The document has problems.", Problems: problems})
		return
	}
	c.SetStatusCode(204)
}

func (s *Server) daemons(_ context.Context, c *app.RequestContext) { c.JSON(200, s.Fleet.Daemons()) }

func (s *Server) drain(_ context.Context, c *app.RequestContext) {
	if team(c) != AllTeams {
		writeFailure(c, &Failure{Status: 403, Reason: ReasonForbidden, Detail: "Only a key of team * may drain a daemon."})
		return
	}
	s.Fleet.Drain()
	c.SetStatusCode(202)
}
