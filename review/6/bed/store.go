package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    int
	Removed  bool `json:",omitempty"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	bed      *Bed
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	events  []item
	changed chan struct{}
}

func newStore(b *Bed) (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{bed: b, listener: l, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *Store) close() { _ = s.server.Close() }

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes a value as JSON and returns its revision. When it returns, the write is acknowledged.
func (s *Store) Put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // cases write values that encode
	}
	return s.write(item{Key: key, Value: text})
}

// Remove removes a key.
func (s *Store) Remove(key string) uint64 { return s.write(item{Key: key, Removed: true}) }

func (s *Store) write(i item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = uint64(len(s.events)) + 100
	i.Created = i.Revision
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	s.bed.Record("store: %s written at revision %d, removed: %t, %d bytes", i.Key, i.Revision, i.Removed, len(i.Value))
	return i.Revision
}

func (s *Store) revision() uint64 { return uint64(len(s.events)) + 99 }

// ServeHTTP answers as the platform's page says.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	reply := func(v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	switch r.URL.Path {
	case "/api/kv-range":
		s.mu.Lock()
		newest := map[string]item{}
		for _, i := range s.events {
			if strings.HasPrefix(i.Key, q.Get("Prefix")) {
				newest[i.Key] = i
			}
		}
		revision := s.revision()
		s.mu.Unlock()
		items := []item{}
		for _, i := range newest {
			if !i.Removed && i.Key > q.Get("after") {
				items = append(items, i)
			}
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		more := len(items) > 500
		reply(map[string]any{"items": items[:min(len(items), 500)], "HasMore": more, "StoreRevision": revision})
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			out := []item{}
			for _, i := range s.events {
				if i.Revision > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
					out = append(out, i)
				}
			}
			revision, changed := s.revision(), s.changed
			s.mu.Unlock()
			if len(out) > 0 {
				reply(map[string]any{"events": out, "StoreRevision": revision})
				return
			}
			select {
			case <-changed:
			case <-limit:
				reply(map[string]any{"events": out, "StoreRevision": revision})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		http.NotFound(w, r)
	}
}
