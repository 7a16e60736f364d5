package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects of one page of a list.
const pageSize = 500

// stored is an object of the store.
type stored struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
	status   json.RawMessage
}

// change is an event for watches.
type change struct {
	kind    string
	object  stored
	deleted bool
}

// store is a stand-in of the platform's store with objects by kind and name.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	era      uint64
	kinds    map[string]map[string]stored
	history  []change
	// changed is closed and replaced at each change.
	changed chan struct{}
	// away is true while the store answers nothing.
	away bool
}

// copyOfStore is a copy from which the store can be restored.
type copyOfStore struct {
	revision uint64
	kinds    map[string]map[string]stored
}

// startStore starts a store on a free port of a loopback address.
func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), revision: 100, kinds: map[string]map[string]stored{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put creates or replaces an object, as the operator and the workers do. It has no effect while
// the store is away.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.putLocked(kind, name, json.RawMessage(spec))
	}
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) stored {
	old, exists := s.kinds[kind][name]
	if exists && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	o := stored{name: name, revision: s.revision, created: s.revision, spec: spec, status: old.status}
	if exists {
		o.created = old.created
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]stored{}
	}
	s.kinds[kind][name] = o
	s.announceLocked(change{kind: kind, object: o})
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	s.revision++
	o.revision = s.revision
	delete(s.kinds[kind], name)
	s.announceLocked(change{kind: kind, object: o, deleted: true})
}

func (s *store) announceLocked(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the store.
func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{revision: s.revision, kinds: map[string]map[string]stored{}}
	for kind, objects := range s.kinds {
		c.kinds[kind] = map[string]stored{}
		for name, o := range objects {
			c.kinds[kind][name] = o
		}
	}
	return c
}

// goAway makes the store unreachable: it accepts connections and closes them.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store answer again, restored from a copy.
func (s *store) comeBack(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.kinds, s.history = c.revision, c.kinds, nil
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (o stored) json() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.isAway() {
		panic(http.ErrAbortHandler)
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	name, ofStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	default:
		s.write(w, r, kind, name, ofStatus, body)
	}
}

// answer writes an answer. The caller holds s.mu, so that its era is that of its content.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.kinds[kind][name]
	if !found {
		s.answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.answer(w, http.StatusOK, o.json())
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, more := []any{}, len(names) > pageSize
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name].json())
	}
	s.answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if from > s.revision || len(s.history) > 0 && from+1 < s.history[0].object.revision && s.era > 0 {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		events, changed := s.eventsLocked(kind, from), s.changed
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"events": []any{}, "store_revision": s.revision})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsLocked(kind string, from uint64) []any {
	events := []any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.revision > from {
			events = append(events, map[string]any{"object": c.object.json(), "deleted": c.deleted})
		}
	}
	return events
}

// write handles POST, PUT and DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, ofStatus bool, body []byte) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		r.Method != http.MethodPost && exists && in.Metadata.Revision != 0 && in.Metadata.Revision != o.revision:
		s.answer(w, http.StatusConflict, o.json())
	case r.Method != http.MethodPost && !exists:
		s.answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		s.answer(w, http.StatusOK, o.json())
	case ofStatus:
		o.status = in.Status
		s.revision++
		o.revision = s.revision
		s.kinds[kind][name] = o
		s.announceLocked(change{kind: kind, object: o})
		s.answer(w, http.StatusOK, o.json())
	default:
		s.answer(w, http.StatusOK, s.putLocked(kind, name, in.Spec).json())
	}
}
