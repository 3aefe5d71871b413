package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as encoded on the wire. Value is encoded as base64.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
}

// Store is a stand-in for the platform's metadata store. It loses nothing and keeps its whole history.
type Store struct {
	Address string

	server  *http.Server
	mu      sync.Mutex
	events  []item        // the event of revision n+1 has index n
	changed chan struct{} // closed and replaced at each change
}

func newStore() *Store { return &Store{changed: make(chan struct{})} }

func (s *Store) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

func (s *Store) close() { _ = s.server.Close() }

// Put writes a value as JSON and returns the time of the acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the cases write values that encode
	}
	return s.write(item{Key: key, Value: text})
}

// PutEntry writes a searcher's entry as Put does, unless nothing but its Sequence would change.
func (s *Store) PutEntry(key string, entry map[string]any) time.Time {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the cases write values that encode
	}
	s.mu.Lock()
	var newest []byte
	for _, i := range s.events {
		if i.Key == key {
			newest = i.Value
		}
	}
	s.mu.Unlock()
	if sameButSequence(newest, text) {
		return time.Now()
	}
	return s.write(item{Key: key, Value: text})
}

// sameButSequence reports whether two entries differ in nothing but their Sequence.
func sameButSequence(a, b []byte) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "Sequence")
	delete(y, "Sequence")
	return reflect.DeepEqual(x, y)
}

// Remove removes a key and returns the time of the acknowledgement.
func (s *Store) Remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *Store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = uint64(len(s.events)) + 1
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *Store) since(revision uint64, prefix string) ([]item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	for _, i := range s.events[min(revision, uint64(len(s.events))):] {
		if strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out, uint64(len(s.events)), s.changed
}

// maxItems is the number of items on a page of a range.
const maxItems = 500

// ServeHTTP answers kv-key, kv-range and kv-watch.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key", "/api/kv-range":
		prefix := query.Get("Prefix")
		if r.URL.Path == "/api/kv-key" {
			prefix = query.Get("Key")
		}
		events, revision, _ := s.since(0, prefix)
		newest := map[string]item{}
		for _, i := range events {
			newest[i.Key] = i
		}
		if r.URL.Path == "/api/kv-key" {
			i, ok := newest[prefix]
			if !ok || i.Removed {
				http.NotFound(w, r)
				return
			}
			reply(w, map[string]any{"Key": i.Key, "Value": i.Value, "Revision": i.Revision, "StoreRevision": revision})
			return
		}
		items := []item{}
		for _, i := range newest {
			if !i.Removed && i.Key > query.Get("after") {
				items = append(items, i)
			}
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		more := len(items) > maxItems
		reply(w, map[string]any{"items": items[:min(len(items), maxItems)], "HasMore": more, "StoreRevision": revision})
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for {
			events, revision, changed := s.since(after, query.Get("Prefix"))
			if len(events) > 0 {
				reply(w, map[string]any{"events": events, "StoreRevision": revision})
				return
			}
			select {
			case <-changed:
			case <-limit:
				reply(w, map[string]any{"events": events, "StoreRevision": revision})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// Route is a route of the operators' configuration.
type Route struct {
	Name, Host, Prefix, Type   string
	Service                    string `json:",omitempty"`
	TimeoutMs, TargetLatencyMs int
	Priority, MaxAttempts      int
	Public                     bool
	// Fanout, TopK and MinCoverage are set instead of Service on a route to many shards.
	Fanout      []string `json:",omitempty"`
	TopK        int      `json:",omitempty"`
	MinCoverage float64  `json:",omitempty"`
}

// Tenant is a tenant of the operators' configuration.
type Tenant struct {
	Name            string
	ApiKeys         []string
	Priority        int
	RatePerS, Burst float64
}

// Configuration returns an operators' configuration for the store.
func Configuration(version int, routes []Route, services []string, tenants []Tenant) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false, "WarmupS": 3.0, "WarmupPerS": 0.0,
		})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
