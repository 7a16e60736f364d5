package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/httpcall"
	"shallotglade/internal/netconn"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/history"
)

const (
	// clientTimeout limits the sending of a request and the wait for its answer; it exceeds the
	// time limit of the server.
	clientTimeout     = 10 * time.Second
	clientDialTimeout = 2 * time.Second
	// maxAnswerBytes limits an answer, of which the status of a large service is the longest.
	maxAnswerBytes = 64 << 20
)

// Client calls the administration API. It tries the daemons in order until one
// answers.
type Client struct {
	addresses []string
	key       string
	http      *httpcall.Client
}

// NewClient returns a client for the admin addresses (IP:port) of daemons.
func NewClient(addresses []string, key string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of a daemon is given")
	}
	return &Client{addresses: addresses, key: key, http: newHTTPClient()}, nil
}

// newHTTPClient returns a client that opens a connection for each call.
func newHTTPClient() *httpcall.Client {
	return &httpcall.Client{Dial: netconn.DialConfig{Timeout: clientDialTimeout}, MaxConnections: 1, MaxBodyBytes: maxAnswerBytes}
}

// call sends a request and decodes the response into out. It returns an error
// response as *Failure. Requests other than GET are sent to the next daemon only
// if no connection to the previous one could be opened.
func (c *Client) call(ctx context.Context, method, path string, headers map[string]string, body []byte, out any) error {
	var lastErr error
	for _, address := range c.addresses {
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.Header.SetMethod(method)
		req.Header.SetRequestURI(path)
		req.Header.SetHost(address)
		req.SetConnectionClose()
		req.Header.Set("Authorization", "Bearer "+c.key)
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		if body != nil {
			req.SetBodyRaw(body)
			req.Header.SetContentLength(len(body))
		}
		lastErr = c.http.Do(ctx, httpcall.Server{Address: address}, httpcall.Call{Request: req, Answer: resp, Timeout: clientTimeout})
		if lastErr != nil {
			if method == "GET" || errors.Is(lastErr, httpcall.ErrNotSent) {
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

// QueryAddresses asks a daemon at its address for callers which addresses to use.
func QueryAddresses(ctx context.Context, address string, query url.Values) (out dialect.NativeAnswer, err error) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(dialect.AddressesPath + "?" + query.Encode())
	req.Header.SetHost(address)
	req.SetConnectionClose()
	if err := newHTTPClient().Do(ctx, httpcall.Server{Address: address}, httpcall.Call{Request: req, Answer: resp, Timeout: clientTimeout}); err != nil {
		return out, err
	}
	if resp.StatusCode() != http.StatusOK {
		return out, errors.Newf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return out, json.Unmarshal(resp.Body(), &out)
}
