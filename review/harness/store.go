package harness

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// Store is a stand-in of the platform's store.
type Store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storeObject
	events   []storeEvent
	changed  chan struct{}
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

// StartStore starts a store on a free loopback port.
func StartStore() (*Store, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	s := &Store{addr: ln.Addr().String(), revision: 100, objects: map[string]map[string]*storeObject{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put creates or replaces an object, as an operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, b)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind, name)
}

func (s *Store) putLocked(kind, name string, spec json.RawMessage) *storeObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storeObject{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &storeObject{Metadata: objectMeta{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.notifyLocked(kind, *o, false)
	return o
}

func (s *Store) deleteLocked(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.notifyLocked(kind, gone, true)
}

func (s *Store) notifyLocked(kind string, o storeObject, deleted bool) {
	s.events = append(s.events, storeEvent{kind: kind, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	rest, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(rest, "/")
	var in storeObject
	_ = json.Unmarshal(body, &in) // empty for reads
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(r.Context(), w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		revision := in.Metadata.Revision
		if text := r.URL.Query().Get("revision"); text != "" {
			revision, _ = strconv.ParseUint(text, 10, 64)
		}
		if !named {
			name = in.Metadata.Name
		}
		s.write(w, r.Method, kind, name, revision, in.Spec)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		reply(w, http.StatusOK, o)
		return
	}
	reply(w, http.StatusNotFound, struct{}{})
}

func (s *Store) write(w http.ResponseWriter, method, kind, name string, revision uint64, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case method == http.MethodPost && o != nil, o != nil && revision != 0 && revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case method == http.MethodPost:
		reply(w, http.StatusCreated, s.putLocked(kind, name, spec))
	case o == nil:
		reply(w, http.StatusNotFound, struct{}{})
	case method == http.MethodPut:
		if string(o.Spec) != string(spec) {
			o = s.putLocked(kind, name, spec)
		}
		reply(w, http.StatusOK, o)
	default:
		s.deleteLocked(kind, name)
		reply(w, http.StatusOK, o)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []storeObject{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, *s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) watch(ctx context.Context, w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		case <-ctx.Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
