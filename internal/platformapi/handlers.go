package platformapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const (
	objectsPath = "/v1/objects/"
	membersPath = "/v1/members/"
)

func (s *Server) list(ctx context.Context, c *app.RequestContext) {
	objects, revision, err := s.config.Store.List(ctx, c.Query("prefix"))
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, platform.ObjectsReply{Objects: objects, Revision: revision})
}

func (s *Server) get(ctx context.Context, c *app.RequestContext) {
	key, ok := pathValue(c, objectsPath)
	if !ok {
		return
	}
	o, err := s.config.Store.Get(ctx, key)
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, o)
}

func (s *Server) put(ctx context.Context, c *app.RequestContext) {
	key, ok := pathValue(c, objectsPath)
	if !ok {
		return
	}
	value := append([]byte(nil), c.Request.Body()...)
	var o platform.Object
	var err error
	if string(c.GetHeader("If-None-Match")) == "*" {
		o, err = s.config.Store.Create(ctx, key, value)
	} else {
		version, ok := ifMatch(c)
		if !ok {
			return
		}
		o, err = s.config.Store.Update(ctx, key, version, value)
	}
	if err != nil {
		writeStoreError(c, err)
		return
	}
	o.Value = nil
	c.JSON(http.StatusOK, o)
}

func (s *Server) remove(ctx context.Context, c *app.RequestContext) {
	key, ok := pathValue(c, objectsPath)
	if !ok {
		return
	}
	version, ok := ifMatch(c)
	if !ok {
		return
	}
	if err := s.config.Store.Delete(ctx, key, version); err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) watch(ctx context.Context, c *app.RequestContext) {
	after, wait, ok := pollQuery(c)
	if !ok {
		return
	}
	objects, revision, err := s.config.Store.Watch(ctx, c.Query("prefix"), after, wait)
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, platform.ObjectsReply{Objects: objects, Revision: revision})
}

func (s *Server) members(ctx context.Context, c *app.RequestContext) {
	after, wait, ok := pollQuery(c)
	if !ok {
		return
	}
	members, revision, err := s.config.Store.Members(ctx, after, wait)
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, platform.MembersReply{Members: members, Revision: revision})
}

func (s *Server) putMember(_ context.Context, c *app.RequestContext) {
	id, ok := pathValue(c, membersPath)
	if !ok {
		return
	}
	var m platform.Member
	if err := json.Unmarshal(c.Request.Body(), &m); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	m.ID = id
	s.config.Store.PutMember(m)
	c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) removeMember(_ context.Context, c *app.RequestContext) {
	id, ok := pathValue(c, membersPath)
	if !ok {
		return
	}
	s.config.Store.RemoveMember(id)
	c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) putFaults(_ context.Context, c *app.RequestContext) {
	var f memstore.Faults
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		writeError(c, http.StatusBadRequest, err.Error())
		return
	}
	s.config.Store.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

func (s *Server) counts(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.config.Store.Counts())
}

// pathValue returns the decoded part of the raw request path after prefix. If that is
// invalid or empty, it answers the request and returns false.
func pathValue(c *app.RequestContext, prefix string) (string, bool) {
	raw, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
	value, err := url.PathUnescape(strings.TrimPrefix(raw, prefix))
	if err != nil || value == "" {
		writeError(c, http.StatusBadRequest, "the path holds no valid key")
		return "", false
	}
	return value, true
}

// ifMatch returns the version in the If-Match header. If there is none, it answers the
// request and returns false.
func ifMatch(c *app.RequestContext) (uint64, bool) {
	text := strings.Trim(string(c.GetHeader("If-Match")), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(c, http.StatusPreconditionRequired, "If-Match: <version> or If-None-Match: * is required")
		return 0, false
	}
	return version, true
}

// pollQuery returns the revision and the maximum wait of a long poll. If they are
// invalid, it answers the request and returns false.
func pollQuery(c *app.RequestContext) (after uint64, wait time.Duration, ok bool) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		writeError(c, http.StatusBadRequest, "after is not a revision")
		return 0, 0, false
	}
	ms, err := strconv.ParseUint(c.DefaultQuery("waitMs", "0"), 10, 32)
	if err != nil {
		writeError(c, http.StatusBadRequest, "waitMs is not a number of milliseconds")
		return 0, 0, false
	}
	return after, min(time.Duration(ms)*time.Millisecond, maxPollWait), true
}
