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

// clientTimeout bounds one call, longer than the server's own time limit.
const clientTimeout = 10 * time.Second

// Client calls the administration API of the daemons in order until one
// answers.
type Client struct {
	addresses []string
	key       string
	http      *client.Client
}

// NewClient returns a client of daemons' admin addresses (IP:port).
func NewClient(addresses []string, key string) (*Client, error) {
	http, err := client.NewClient(
		// The default dialer now and then reports a new connection as closed by the
		// peer before it is used.
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(2*time.Second), client.WithKeepAlive(false), client.WithClientReadTimeout(clientTimeout),
	)
	if err != nil {
		return nil, err
	}
	return &Client{addresses: addresses, key: key, http: http}, nil
}

// call sends a request and decodes the answer into out. An answer that is no
// success is returned as *Failure. A change is sent to a further daemon only if
// the former one could not be reached at all.
func (c *Client) call(ctx context.Context, method, path string, headers map[string]string, body []byte, out any) error {
	var last error
	for _, address := range c.addresses {
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.SetMethod(method)
		req.SetRequestURI("http://" + address + path)
		req.Header.Set("Authorization", "Bearer "+c.key)
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		req.SetBody(body)
		if last = c.http.DoTimeout(ctx, req, resp, clientTimeout); last != nil {
			if method == "GET" || isDialError(last) {
				continue
			}
			return errors.Wrap(last, "the daemon did not answer; read the document to see whether the change was accepted")
		}
		return decode(resp, out)
	}
	return errors.Wrap(last, "no daemon answered")
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

// isDialError reports whether no connection could be opened, so that the request
// certainly had no effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Services lists the services that the key reaches.
func (c *Client) Services(ctx context.Context) (out []Service, err error) {
	return out, c.call(ctx, "GET", "/v1/services", nil, nil, &out)
}

// Service returns a document.
func (c *Client) Service(ctx context.Context, name string) (out Service, err error) {
	return out, c.call(ctx, "GET", "/v1/services/"+name, nil, nil, &out)
}

// Put creates (version 0) or replaces a document.
func (c *Client) Put(ctx context.Context, name string, version uint64, document []byte) (out Service, err error) {
	return out, c.call(ctx, "PUT", "/v1/services/"+name, condition(version), document, &out)
}

// Delete removes a document at a version.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	return c.call(ctx, "DELETE", "/v1/services/"+name, condition(version), nil, nil)
}

func condition(version uint64) map[string]string {
	if version == 0 {
		return map[string]string{"If-None-Match": "*"}
	}
	return map[string]string{"If-Match": strconv.FormatUint(version, 10)}
}

// Validate returns a *Failure with all problems of a document.
func (c *Client) Validate(ctx context.Context, document []byte) error {
	return c.call(ctx, "POST", "/v1/validate", nil, document, nil)
}

// History lists earlier versions of a document.
func (c *Client) History(ctx context.Context, name string) (out []history.Entry, err error) {
	return out, c.call(ctx, "GET", "/v1/services/"+name+"/history", nil, nil, &out)
}

// Status returns what the asked daemon, or with all every home, sees.
func (c *Client) Status(ctx context.Context, name string, all bool) (out []DaemonStatus, err error) {
	path := "/v1/services/" + name + "/status"
	if all {
		path += "?all=1"
	}
	return out, c.call(ctx, "GET", path, nil, nil, &out)
}

// Daemons lists the daemons that the asked one knows.
func (c *Client) Daemons(ctx context.Context) (out []Daemon, err error) {
	return out, c.call(ctx, "GET", "/v1/daemons", nil, nil, &out)
}

// Drain asks the daemon to leave.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, "POST", "/v1/drain", nil, nil, nil)
}
