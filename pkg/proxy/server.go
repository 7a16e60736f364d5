package proxy

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/listener"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// AddressesPath is where callers ask which addresses to use.
const AddressesPath = "/.well-known/shallotglade/addresses"

// AddressQuery is a caller's question which addresses to use.
type AddressQuery struct {
	Service string
	Domain  string
	Caller  string
	Failed  []string
}

// AddressAnswer lists addresses, the best first.
type AddressAnswer struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
	// LifetimeMs is how long the caller may keep the answer.
	LifetimeMs int64 `json:"lifetimeMs"`
}

// Server takes callers' requests over HTTP/1.1.
type Server struct {
	proxy     *Proxy
	addresses func(AddressQuery) (AddressAnswer, *verdict.Error)
	listener  *listener.Listener
	http      *server.Hertz
}

// NewServer returns a server on ln; Run serves it.
func NewServer(ln net.Listener, c settings.Callers, p *Proxy, addresses func(AddressQuery) (AddressAnswer, *verdict.Error)) *Server {
	s := &Server{proxy: p, addresses: addresses}
	s.listener = listener.New(ln, listener.Limits{RequestArrival: c.RequestArrival, Connections: c.MaxConnections})
	s.http = server.New(
		server.WithListener(s.listener), server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(listener.ContextFor),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(c.MaxBodyBytes), server.WithMaxHeaderBytes(c.MaxHeaderBytes),
		server.WithReadTimeout(c.RequestArrival), server.WithIdleTimeout(c.Idle),
		server.WithDisableDefaultContentType(true), server.WithDisableDefaultDate(true),
		server.WithDisablePreParseMultipartForm(true), server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true), server.WithRedirectTrailingSlash(false),
	)
	s.http.Name = "" // no Server header of our own
	s.http.GET(AddressesPath, s.handleAddresses)
	s.http.NoRoute(s.handle)
	return s
}

// Run serves until Shutdown.
func (s *Server) Run() error { return s.http.Run() }

// EndAfterAnswer makes each connection end after the answer to its next request.
func (s *Server) EndAfterAnswer() { s.listener.EndAfterAnswer() }

// Drain makes each connection end after its present request, and at once when
// it has none.
func (s *Server) Drain() { s.listener.Drain() }

// OpenConnections returns the number of callers' connections.
func (s *Server) OpenConnections() int { return s.listener.Open() }

// Shutdown stops accepting and waits until the connections have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	listener.Begin(ctx)
	in, problem := incoming(c)
	var answer *Answer
	if problem != nil {
		answer = s.proxy.finish(in, "", refused(problem))
	} else {
		answer = s.serve(ctx, in)
	}
	write(c, in, answer)
	if listener.Ending(ctx) {
		c.SetConnectionClose()
	}
}

// serve contains a panic of the request path, whose request may have run.
func (s *Server) serve(ctx context.Context, in *Incoming) (answer *Answer) {
	defer func() {
		if r := recover(); r != nil {
			cause := errors.Newf("panic: %v", r)
			s.proxy.Log.Error().Str("request", in.ID).Err(cause).Msg("request: the request path failed")
			answer = refused(asVerdict(cause))
		}
	}()
	return s.proxy.Serve(ctx, in)
}

// incoming copies the request out of the HTTP library's memory.
func incoming(c *app.RequestContext) (*Incoming, *verdict.Error) {
	h := &c.Request.Header
	in := &Incoming{
		ID: newRequestID(), Arrived: time.Now(),
		Caller:  string(h.Peek(HeaderCaller)),
		Service: string(h.Peek(HeaderService)),
		Key:     string(h.Peek(HeaderKey)),
		Method:  string(h.Method()),
		Host:    string(h.Host()),
		URI:     string(h.RequestURI()),
		Body:    append([]byte(nil), c.Request.Body()...),
	}
	if in.Caller == "" {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		in.Caller = "ip:" + host
	}
	in.Path, in.Query, _ = strings.Cut(in.URI, "?")
	if !strings.HasPrefix(in.Path, "/") {
		return in, verdict.Refuse(400, "bad-path", "The path must start with /.")
	}
	if !validHost(in.Host) {
		return in, verdict.Refuse(400, "bad-host", "The Host header must be a host name or an IP number, with an optional port.")
	}
	if text := string(h.Peek(upstream.HeaderDeadlineMs)); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > math.MaxInt32 {
			return in, verdict.Refuse(400, "bad-deadline", "Shallotglade-Deadline-Ms must be a whole number of milliseconds above 0.")
		}
		in.Deadline = in.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	in.Headers = make([]upstream.Header, 0, h.Len())
	h.VisitAll(func(key, value []byte) {
		if name := string(key); passesOn(name) {
			in.Headers = append(in.Headers, upstream.Header{Name: name, Value: string(value)})
		}
	})
	return in, nil
}

// passesOn reports whether a header of the caller goes to the upstream.
func passesOn(name string) bool {
	switch name {
	case "Host", "Expect", upstream.HeaderRequestID, upstream.HeaderDeadlineMs, verdict.Header:
		return false
	}
	return !upstream.IsHopHeader(name)
}

func validHost(host string) bool {
	if len(host) > 255 {
		return false
	}
	for i := range len(host) {
		b := host[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && !strings.ContainsRune(".-_:[]", rune(b)) {
			return false
		}
	}
	return true
}

// newRequestID returns 128 random bits in hexadecimal digits.
func newRequestID() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], rand.Uint64())
	binary.BigEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// problem is the body of a refusal, as application/problem+json.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Verdict string `json:"verdict"`
	Request string `json:"request"`
}

func write(c *app.RequestContext, in *Incoming, a *Answer) {
	c.Response.Reset()
	c.Response.Header.SetNoDefaultContentType(true)
	c.Response.Header.SetNoDefaultDate(true)
	c.Response.SetStatusCode(a.Status)
	body := a.Body
	for _, h := range a.Headers {
		c.Response.Header.Add(h.Name, h.Value)
	}
	if e := a.Refusal; e != nil {
		body, _ = json.Marshal(problem{
			Type: "urn:shallotglade:" + e.Reason, Title: e.Reason, Status: a.Status, Detail: e.Detail,
			Verdict: a.Verdict.String(), Request: in.ID,
		})
		c.Response.Header.Set("Content-Type", "application/problem+json")
		if e.RetryAfter > 0 {
			c.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		}
	}
	c.Response.Header.Set(verdict.Header, a.Verdict.String())
	c.Response.Header.Set(upstream.HeaderRequestID, in.ID)
	if a.Upstream != "" {
		c.Response.Header.Set(HeaderUpstream, a.Upstream)
	}
	if a.Replayed {
		c.Response.Header.Set(HeaderReplayed, "true")
	}
	c.Response.SetBody(body)
}

func (s *Server) handleAddresses(ctx context.Context, c *app.RequestContext) {
	listener.Begin(ctx)
	q := AddressQuery{Service: c.Query("service"), Domain: c.Query("domain"), Caller: string(c.GetHeader(HeaderCaller))}
	if q.Caller == "" {
		q.Caller = c.RemoteAddr().String()
	}
	if failed := c.Query("failed"); failed != "" {
		q.Failed = strings.Split(failed, ",")
	}
	answer, refusal := s.addresses(q)
	if refusal != nil {
		write(c, &Incoming{ID: newRequestID()}, refused(refusal))
	} else {
		c.JSON(200, answer)
		c.Response.Header.Set("Cache-Control", fmt.Sprintf("max-age=%d", answer.LifetimeMs/1000))
	}
	if listener.Ending(ctx) {
		c.SetConnectionClose()
	}
}
