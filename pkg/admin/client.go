package admin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/history"
)

// clientTimeout limits one call; it exceeds the time limit of the server.
const clientTimeout = 10 * time.Second

// Client calls the administration API. It tries the daemons in order until one
// answers.
type Client struct {
	addresses []string
	key       string
	http      *client.Client
}

// NewClient returns a client for the admin addresses (IP:port) of daemons.
func NewClient(addresses []string, key string) (*Client, error) {
	http, err := client.NewClient(
		// The default dialer occasionally reports a new connection as closed by the
		// peer before its first use.
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(2*time.Second), client.WithKeepAlive(false), client.WithClientReadTimeout(clientTimeout),
	)
	if err != nil {
		return nil, err
	}
	return &Client{addresses: addresses, key: key, http: http}, nil
}

// call sends a request and decodes the response into out. It returns an error
// response as *Failure. Requests other than GET are sent to the next daemon only
// if no connection to the previous one could be opened.
func (c *Client) call(ctx context.Context, method, path string, headers map[string]string, body []byte, out any) error {
	var lastErr error
	for _, address := range c.addresses {
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.SetMethod(method)
		req.SetRequestURI("http://" + address + path)
		req.Header.Set("Authorization", "Bearer "+c.key)
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		req.SetBody(body)
		if lastErr = c.http.DoTimeout(ctx, req, resp, clientTimeout); lastErr != nil {
			if method == "GET" || isDialError(lastErr) {
				continue
			}
			return errors.Wrap(lastErr, "the daemon did not answer; read the document to see whether the change was accepted")
		}
		return decode(resp, out)
	}
	return errors.Wrap(lastErr, "no daemon answered")
}

func decode(resp *protocol.Response, out any) error {
	if resp.StatusCode() >= 300 {
		f := &Failure{}
		if err := json.Unmarshal(resp.Body(), f); err != nil {
			return errors.Newf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		f.Status = resp.StatusCode()
		return f
	}
	if out == nil || len(resp.Body()) == 0 {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// isDialError reports whether opening the connection failed, in which case the
// request had no effect.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Services lists the services that the key may access.
func (c *Client) Services(ctx context.Context) (out []Service, err error) {
	return out, c.call(ctx, "GET", "/v1/services", nil, nil, &out)
}

// Service returns a document.
func (c *Client) Service(ctx context.Context, name string) (out Service, err error) {
	return out, c.call(ctx, "GET", "/v1/services/"+name, nil, nil, &out)
}

// Put creates (version 0) or replaces a document.
func (c *Client) Put(ctx context.Context, name string, version uint64, document []byte) (out Service, err error) {
	return out, c.call(ctx, "PUT", "/v1/services/"+name, conditionHeaders(version), document, &out)
}

// Delete removes a document if it is at the given version.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	return c.call(ctx, "DELETE", "/v1/services/"+name, conditionHeaders(version), nil, nil)
}

func conditionHeaders(version uint64) map[string]string {
	if version == 0 {
		return map[string]string{"If-None-Match": "*"}
	}
	return map[string]string{"If-Match": strconv.FormatUint(version, 10)}
}

// Validate returns a *Failure with all problems of a document.
func (c *Client) Validate(ctx context.Context, document []byte) error {
	return c.call(ctx, "POST", "/v1/validate", nil, document, nil)
}

// History lists the latest changes of a document.
func (c *Client) History(ctx context.Context, name string) (out []history.Entry, err error) {
	return out, c.call(ctx, "GET", "/v1/services/"+name+"/history", nil, nil, &out)
}

// Status returns the service's status as the contacted daemon sees it or, with
// allHomes, as each home sees it.
func (c *Client) Status(ctx context.Context, name string, allHomes bool) (out []DaemonStatus, err error) {
	path := "/v1/services/" + name + "/status"
	if allHomes {
		path += "?all=1"
	}
	return out, c.call(ctx, "GET", path, nil, nil, &out)
}

// Daemons lists the daemons that the contacted daemon knows.
func (c *Client) Daemons(ctx context.Context) (out []Daemon, err error) {
	return out, c.call(ctx, "GET", "/v1/daemons", nil, nil, &out)
}

// Drain asks the daemon to drain and stop.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, "POST", "/v1/drain", nil, nil, nil)
}
