package proxy

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ingress"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// AddressResolver returns the addresses that a caller should use.
type AddressResolver func(dialect.AddressQuery) (dialect.AddressAnswer, *verdict.Error)

// Server serves callers' requests over HTTP/1.1.
type Server struct {
	*ingress.Server
	proxy     *Proxy
	addresses AddressResolver
}

// NewServer returns a server on ln; call Run to serve. limits returns the limits
// of the current settings.
func NewServer(ln net.Listener, limits func() settings.Callers, p *Proxy, addresses AddressResolver) *Server {
	s := &Server{proxy: p, addresses: addresses}
	s.Server = ingress.New(ln, func() ingress.Limits { return ingressLimits(limits(), p.Board.Connections()) }, s.handle, p.Log)
	s.DiscardBody = s.isUnrouted
	s.OnRefusal = func(resp *protocol.Response) {
		if p.Dialect.Verdict != "" {
			resp.Header.Set(p.Dialect.Verdict, verdict.NotRun.String())
		}
		setChallenge(resp)
	}
	s.Screen = s.screen
	return s
}

// setChallenge adds the header that an answer with status 401 must have.
func setChallenge(resp *protocol.Response) {
	if resp.StatusCode() == http.StatusUnauthorized {
		resp.Header.Set("WWW-Authenticate", strings.TrimSpace(bearerScheme))
	}
}

const (
	// screenedBodyBytes is the size above which the route and the key of a request are checked
	// before its body is read. Checking twice costs more than reading a smaller body.
	screenedBodyBytes = 64 << 10
	// maxScreenTime limits the wait for a confirmation that a key does not exist. The body
	// stays unread meanwhile.
	maxScreenTime = time.Second
)

// screen refuses a request with a large body that has no route or no valid key before its
// body is read. The complete request is checked again, since a key may be revoked while the
// body arrives.
func (s *Server) screen(r *ingress.Request) *ingress.Refusal {
	length := r.Header.ContentLength()
	if length <= screenedBodyBytes && length != chunkedLength || !s.proxy.Board.NeedsKeys() || s.addresses != nil && isAddressQuery(s.proxy.Dialect, r) {
		return nil
	}
	in, refusal := s.readRequest(r)
	in.Arrived = r.Began
	if refusal == nil {
		ctx, cancel := context.WithTimeout(context.Background(), maxScreenTime)
		defer cancel()
		refusal = s.proxy.authorizeUnread(ctx, in)
	}
	if refusal == nil {
		return nil
	}
	s.proxy.finish(in, "", refusalAnswer(refusal))
	return &ingress.Refusal{Status: refusal.Status, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
}

// isUnrouted reports whether no route matches a request, whose body is then not needed.
func (s *Server) isUnrouted(r *ingress.Request) bool {
	path, _, _ := strings.Cut(string(r.Header.RequestURI()), "?")
	_, ok := s.proxy.Board.FindRoute(string(r.Header.Peek(HeaderService)), string(r.Header.Host()), path)
	return !ok
}

// ingressLimits returns the limits of the settings, overridden by those that the
// current configuration sets.
func ingressLimits(c settings.Callers, configured document.Connections) ingress.Limits {
	l := ingress.Limits{
		Connections: c.MaxConnections, MaxHeaderBytes: c.MaxHeaderBytes, MaxBodyBytes: c.MaxBodyBytes,
		RequestArrival: c.RequestArrival, Idle: c.Idle,
	}
	if configured.MaxHeaderBytes > 0 {
		l.MaxHeaderBytes = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		l.MaxBodyBytes = configured.MaxBodyBytes
	}
	if configured.RequestArrival > 0 {
		l.RequestArrival = configured.RequestArrival
	}
	if configured.Idle > 0 {
		l.Idle = configured.Idle
	}
	return l
}

// handle serves one request of a connection.
func (s *Server) handle(ctx context.Context, r *ingress.Request, resp *protocol.Response) {
	if s.addresses != nil && isAddressQuery(s.proxy.Dialect, r) {
		AnswerAddresses(s.proxy.Dialect, s.addresses, r, resp)
		return
	}
	in, problem := s.readRequest(r)
	var answer *Answer
	if problem != nil {
		answer = s.proxy.finish(in, "", refusalAnswer(problem))
	} else {
		answer = s.serve(ctx, in)
	}
	s.writeAnswer(resp, in, answer)
}

// serve answers that the request may have run if the request path panics.
func (s *Server) serve(ctx context.Context, in *Incoming) (answer *Answer) {
	err := panics.Run(panics.Requests, func() { answer = s.proxy.Serve(ctx, in) })
	if err != nil {
		s.proxy.Log.Error().Str("request", in.ID).Err(err).Msg("request: panic in the request path")
		return refusalAnswer(asVerdict(err))
	}
	return answer
}

// readRequest validates the request and copies it out of the HTTP library's
// memory.
func (s *Server) readRequest(r *ingress.Request) (*Incoming, *verdict.Error) {
	h, d := &r.Header, s.proxy.Dialect
	in := &Incoming{
		ID: string(h.Peek(d.RequestID)), Arrived: r.Arrived, WaitForEarlierAnswers: r.WaitForEarlierAnswers, remote: r.Remote,
		Caller:  string(h.Peek(HeaderCaller)),
		Service: string(h.Peek(HeaderService)),
		Key:     string(h.Peek(HeaderKey)),
		Method:  string(h.Method()),
		Host:    string(h.Host()),
		URI:     string(h.RequestURI()),
		Body:    r.Body(), bodyDiscarded: r.Discarded,
		HasBody: h.ContentLength() > 0 || h.ContentLength() == chunkedLength,
	}
	if !d.CallerSetsRequestID {
		in.ID = newRequestID()
	}
	if in.Caller == "" {
		in.Caller = callerOfAddress(r.Remote)
	}
	in.Path, in.Query, _ = strings.Cut(in.URI, "?")
	if !strings.HasPrefix(in.Path, "/") {
		return in, verdict.Refuse(400, "bad-path", "The path must start with /.")
	}
	if !validHost(in.Host) {
		return in, verdict.Refuse(400, "bad-host", "The Host header must be a host name or an IP number, with an optional port.")
	}
	if in.ID == "" {
		return in, verdict.Refuse(400, "no-id", "The request has no "+d.RequestID+" header.")
	}
	if text := string(h.Peek(d.DeadlineMs)); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > math.MaxInt32 {
			return in, verdict.Refuse(400, "bad-deadline", d.DeadlineMs+" must be a whole number of milliseconds above 0.")
		}
		in.Deadline = in.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	in.Headers = s.endToEndHeaders(h)
	return in, nil
}

// chunkedLength is the content length that the HTTP library reports for a chunked
// body.
const chunkedLength = -1

// endToEndHeaders copies the headers that are forwarded to the upstream.
func (s *Server) endToEndHeaders(h *protocol.RequestHeader) []upstream.Header {
	hopByHop := connectionOptions(string(h.Peek("Connection")))
	out := make([]upstream.Header, 0, h.Len())
	h.VisitAll(func(key, value []byte) {
		name := string(key)
		if s.forwardsHeader(name) && !hopByHop[strings.ToLower(name)] {
			out = append(out, upstream.Header{Name: name, Value: string(value)})
		}
	})
	return out
}

// connectionOptions returns the lower-case names of the hop-by-hop headers that a
// Connection header lists.
func connectionOptions(value string) map[string]bool {
	if value == "" {
		return nil
	}
	out := map[string]bool{}
	for _, option := range strings.Split(value, ",") {
		out[strings.ToLower(strings.TrimSpace(option))] = true
	}
	return out
}

// forwardsHeader reports whether a caller's header is forwarded to the upstream.
func (s *Server) forwardsHeader(name string) bool {
	d := s.proxy.Dialect
	switch name {
	case "Host", "Expect", d.RequestID, d.DeadlineMs, d.Verdict, d.ExpectUpstream:
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

// newRequestID returns 128 random bits in hexadecimal.
func newRequestID() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], rand.Uint64())
	binary.BigEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// problemDetails is the application/problem+json body of a refusal.
type problemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Verdict string `json:"verdict"`
	Request string `json:"request"`
}

func (s *Server) writeAnswer(resp *protocol.Response, in *Incoming, a *Answer) {
	d := s.proxy.Dialect
	resp.SetStatusCode(a.Status)
	for _, h := range a.Headers {
		resp.Header.Add(h.Name, h.Value)
	}
	body := a.Body
	if e := a.Refusal; e != nil {
		body = problemBody(in, a)
		resp.Header.Set("Content-Type", "application/problem+json")
		if e.RetryAfter > 0 {
			resp.Header.Set("Retry-After", d.RetryAfter(e.RetryAfter))
		}
	}
	for _, h := range []upstream.Header{
		{Name: d.Verdict, Value: a.Verdict.String()}, {Name: d.RequestID, Value: in.ID}, {Name: d.Upstream, Value: a.Upstream},
	} {
		if h.Name != "" && h.Value != "" {
			resp.Header.Set(h.Name, h.Value)
		}
	}
	if a.Replayed {
		resp.Header.Set(HeaderReplayed, "true")
	}
	resp.SetBodyRaw(body)
	if a.Refusal != nil {
		setChallenge(resp)
	}
}

// problemBody returns the JSON body of a refusal.
func problemBody(in *Incoming, a *Answer) []byte {
	e := a.Refusal
	// Marshaling a struct of strings and numbers cannot fail.
	body, _ := json.Marshal(problemDetails{
		Type: "urn:shallotglade:" + e.Reason, Title: e.Reason, Status: a.Status, Detail: e.Detail,
		Verdict: a.Verdict.String(), Request: in.ID,
	})
	return body
}

func isAddressQuery(d *dialect.Dialect, r *ingress.Request) bool {
	path, _, _ := strings.Cut(string(r.Header.RequestURI()), "?")
	return path == d.Addresses.Path && string(r.Header.Method()) == "GET"
}

// AnswerAddresses answers a caller's query for the addresses to use.
func AnswerAddresses(d *dialect.Dialect, resolve AddressResolver, r *ingress.Request, resp *protocol.Response) {
	args := r.URI().QueryArgs()
	q := d.Addresses.Parse(func(name string) string { return string(args.Peek(name)) })
	q.Caller = string(r.Header.Peek(HeaderCaller))
	if q.Caller == "" {
		q.Caller = r.Remote
	}
	answer, refusal := resolve(q)
	if refusal != nil {
		in := &Incoming{ID: newRequestID()}
		resp.SetStatusCode(refusal.Status)
		resp.Header.Set("Content-Type", "application/problem+json")
		if d.Verdict != "" {
			resp.Header.Set(d.Verdict, refusal.Verdict.String())
		}
		resp.SetBodyRaw(problemBody(in, refusalAnswer(refusal)))
		return
	}
	body, err := d.Addresses.Encode(answer)
	if err != nil {
		resp.SetStatusCode(500)
		return
	}
	resp.Header.Set("Content-Type", "application/json")
	resp.Header.Set("Cache-Control", "max-age="+strconv.Itoa(int(answer.Lifetime.Seconds())))
	resp.SetBodyRaw(body)
}
