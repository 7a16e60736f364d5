package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"shallotglade/pkg/dialect"
	"shallotglade/pkg/verdict"
)

// crashHeader is a request header that causes the upstream stand-in running the
// request to crash.
const crashHeader = "X-Crash"

// UpstreamConfig configures an upstream stand-in.
type UpstreamConfig struct {
	Name   string
	Listen string
	Slots  int
	// Queue is how many requests may wait for a slot; further requests are shed.
	Queue int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// Record keeps the header and the time of each request for Arrivals.
	Record bool
	// Crash is called for each executed request with crashHeader; nil ignores the
	// header.
	Crash func()
}

// Upstream is an upstream stand-in that runs a fixed number of requests at a time.
type Upstream struct {
	config UpstreamConfig
	server *server.Hertz
	slots  chan struct{}

	mu      sync.Mutex
	mode    Mode
	waiting int
	runs    map[string]int
	served  int
	// arrivals is empty unless the configuration asks to record.
	arrivals []*Arrival
}

// Arrival is a request that reached the upstream.
type Arrival struct {
	Header http.Header `json:"header"`
	At     time.Time   `json:"at"`
	// Ran is true if the request was executed, and false if it was shed.
	Ran bool `json:"ran"`
}

// ExecutionCounts holds the counts of executed requests.
type ExecutionCounts struct {
	// Runs counts the executions by Idempotency-Key.
	Runs map[string]int `json:"runs"`
	// Served counts all executions.
	Served int `json:"served"`
}

// NewUpstream returns an upstream stand-in; Run serves it.
func NewUpstream(c UpstreamConfig) *Upstream {
	u := &Upstream{config: c, slots: make(chan struct{}, c.Slots), runs: map[string]int{}}
	u.server = server.New(server.WithHostPorts(c.Listen), server.WithDisablePrintRoute(true), server.WithMaxRequestBodySize(64<<20))
	u.server.GET("/health", u.health)
	u.server.PUT("/standin/mode", u.setMode)
	u.server.GET("/standin/executions", u.executions)
	u.server.GET("/standin/arrivals", u.listArrivals)
	u.server.NoRoute(u.serveRequest)
	return u
}

// Run serves until Shutdown.
func (u *Upstream) Run() error { return u.server.Run() }

// Shutdown stops serving.
func (u *Upstream) Shutdown(ctx context.Context) error { return u.server.Shutdown(ctx) }

// SetMode sets the failure mode.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
}

// Executions returns the counts of executed requests.
func (u *Upstream) Executions() ExecutionCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for k, n := range u.runs {
		runs[k] = n
	}
	return ExecutionCounts{Runs: runs, Served: u.served}
}

func (u *Upstream) currentMode() Mode {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mode
}

func (u *Upstream) health(_ context.Context, c *app.RequestContext) {
	m := u.currentMode()
	switch {
	case m.Leaving:
		c.JSON(200, map[string]string{"status": "leaving"})
	case m.ProbeFails:
		c.JSON(500, map[string]string{"status": "failing"})
	default:
		c.JSON(200, map[string]string{"status": "ok"})
	}
}

func (u *Upstream) setMode(_ context.Context, c *app.RequestContext) {
	var m Mode
	if err := json.Unmarshal(c.Request.Body(), &m); err != nil {
		c.String(400, err.Error())
		return
	}
	u.SetMode(m)
	c.SetStatusCode(204)
}

func (u *Upstream) executions(_ context.Context, c *app.RequestContext) {
	c.JSON(200, u.Executions())
}

func (u *Upstream) listArrivals(_ context.Context, c *app.RequestContext) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.JSON(200, u.arrivals)
}

func (u *Upstream) serveRequest(ctx context.Context, c *app.RequestContext) {
	m := u.currentMode()
	arrival := u.recordArrival(c)
	if m.Leaving {
		c.Header(dialect.HeaderLeaving, "true")
	}
	c.Header(dialect.HeaderRequestID, string(c.GetHeader(dialect.HeaderRequestID)))
	if !u.acquireSlot(ctx) {
		c.Header(verdict.Header, verdict.NotRun.String())
		c.String(503, "shed")
		return
	}
	defer func() { <-u.slots }()
	u.recordRun(string(c.GetHeader("Idempotency-Key")), arrival)
	if len(c.GetHeader(crashHeader)) > 0 && u.config.Crash != nil {
		u.config.Crash()
	}
	time.Sleep(u.serviceTime(m))
	u.sendAnswer(c, m)
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx ends.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	u.mu.Lock()
	if u.waiting >= u.config.Queue+u.config.Slots {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordArrival records a request if the configuration asks for it.
func (u *Upstream) recordArrival(c *app.RequestContext) *Arrival {
	a := &Arrival{Header: http.Header{}, At: time.Now()}
	if u.config.Record {
		c.Request.Header.VisitAll(func(name, value []byte) { a.Header.Add(string(name), string(value)) })
		u.mu.Lock()
		defer u.mu.Unlock()
		u.arrivals = append(u.arrivals, a)
	}
	return a
}

func (u *Upstream) recordRun(key string, arrival *Arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	arrival.Ran = true
	if key != "" {
		u.runs[key]++
	}
}

// serviceTime draws from an exponential distribution, capped at four times the mean, and
// adds the extra latency of the mode.
func (u *Upstream) serviceTime(m Mode) time.Duration {
	mean := float64(u.config.ServiceTime)
	t := min(mean*rand.ExpFloat64(), 4*mean)
	return time.Duration(t) + time.Duration(m.ExtraLatencyMs)*time.Millisecond
}

// hangTime is far longer than the timeout of any request.
const hangTime = 10 * time.Second

func (u *Upstream) sendAnswer(c *app.RequestContext, m Mode) {
	body := fmt.Sprintf(`{"upstream":%q,"echo":%q,"path":%q}`, u.config.Name, c.GetHeader(HeaderEcho), c.Request.URI().RequestURI())
	draw := rand.Float64()
	switch {
	case draw < m.HangShare:
		time.Sleep(hangTime)
	case draw < m.HangShare+m.FailShare:
		c.String(500, "failed")
		return
	case draw < m.HangShare+m.FailShare+m.TruncateShare:
		u.truncate(c, body)
		return
	}
	if m.ForeignAnswers {
		c.Header(dialect.HeaderRequestID, "another-request")
	}
	c.Data(200, "application/json", []byte(body))
}

// truncate sends the header and half of the body, then closes the connection.
func (u *Upstream) truncate(c *app.RequestContext, body string) {
	w := c.GetWriter()
	_, _ = w.WriteBinary(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: application/json\r\n\r\n%s", len(body), body[:len(body)/2]))
	_ = w.Flush()
	c.GetConn().Close()
}
