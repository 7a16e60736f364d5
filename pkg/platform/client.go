package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// contentType is the content type of the bodies of writes.
const contentType = "application/octet-stream"

// Client is a Store and a Roster that calls the platform stand-in over
// HTTP/JSON. It is safe for concurrent use. See Transport for its errors.
type Client struct {
	transport *Transport
}

var (
	_ Store  = (*Client)(nil)
	_ Roster = (*Client)(nil)
)

// NewClient returns a client that sends its calls through the transport.
func NewClient(transport *Transport) *Client { return &Client{transport: transport} }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, Call{Method: http.MethodGet, Path: objectPath(key)}, &o)
	return o, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return c.put(ctx, key, value, "If-None-Match", "*")
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (Object, error) {
	return c.put(ctx, key, value, "If-Match", strconv.FormatUint(version, 10))
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	return c.call(ctx, Call{
		Method: http.MethodDelete, Path: objectPath(key), Write: true, ContentType: contentType,
		Header: "If-Match", HeaderValue: strconv.FormatUint(version, 10),
	}, &struct{}{})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var reply ObjectsReply
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, Call{Method: http.MethodGet, Path: path}, &reply)
	return reply.Objects, reply.Revision, err
}

// ListStale implements Store; the stand-in's lists are never stale.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.List(ctx, prefix)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	var reply ObjectsReply
	path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&" + pollQuery(after, wait)
	if err := c.call(ctx, Call{Method: http.MethodGet, Path: path, Wait: wait}, &reply); err != nil {
		return nil, after, err
	}
	return reply.Objects, reply.Revision, nil
}

// Members implements Store.
func (c *Client) Members(ctx context.Context, after uint64, wait time.Duration) ([]Member, uint64, error) {
	var reply MembersReply
	path := "/v1/members?" + pollQuery(after, wait)
	if err := c.call(ctx, Call{Method: http.MethodGet, Path: path, Wait: wait}, &reply); err != nil {
		return nil, after, err
	}
	return reply.Members, reply.Revision, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, header, headerValue string) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	var o Object
	err := c.call(ctx, Call{
		Method: http.MethodPut, Path: objectPath(key), Body: value, Write: true, ContentType: contentType,
		Header: header, HeaderValue: headerValue,
	}, &o)
	if err != nil {
		return Object{}, err
	}
	o.Value = bytes.Clone(value)
	return o, nil
}

// call sends one call and decodes the JSON of its reply into out.
func (c *Client) call(ctx context.Context, call Call, out any) error {
	return c.transport.Call(ctx, call, func(r Reply) error {
		if r.Status != http.StatusOK {
			return call.StatusError(r.Status)
		}
		if err := json.Unmarshal(r.Body, out); err != nil {
			return call.NoReplyError(errors.Wrap(err, "reply is not valid JSON"))
		}
		return nil
	})
}

// objectPath encodes the whole key as one path segment, so that paths are unique.
func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

func pollQuery(after uint64, wait time.Duration) string {
	wait = min(max(wait, 0), MaxWatchWait)
	return fmt.Sprintf("after=%d&waitMs=%d", after, wait.Milliseconds())
}
