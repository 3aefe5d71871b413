package bed

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that has reached a searcher.
type Arrival struct {
	Searcher *Searcher
	At       time.Duration
	Attempt  string
	Tenant   string
	Method   string
	URI      string
	Body     []byte
	Header   http.Header
}

// Searcher is a stand-in for a searcher.
type Searcher struct {
	ID, Service, Zone string
	Capacity          int
	// Serve, if set, answers an arrival itself and returns true, or returns false to have it answered as usual.
	Serve func(w http.ResponseWriter, r *http.Request, a Arrival) bool
	// Observe is called for each request that arrives with the right Expect-Instance.
	Observe func(Arrival)
	// Work is how long a request runs.
	Work time.Duration

	bed      *Bed
	listener net.Listener
	server   *http.Server
	born     int64
	mu       sync.Mutex
	sequence int
}

// StartSearcher starts a searcher. It is not registered yet.
func (b *Bed) StartSearcher(s *Searcher) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.Capacity == 0 {
		s.Capacity = 6
	}
	s.bed, s.listener, s.born = b, l, time.Now().UnixMilli()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Address returns the address of the searcher.
func (s *Searcher) Address() string { return s.listener.Addr().String() }

// Stop ends the searcher at once.
func (s *Searcher) Stop() { _ = s.server.Close() }

// Register writes the searcher's entry to the store.
func (s *Searcher) Register(state string, warmupLeft time.Duration) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	s.bed.Store.Put("servers/"+s.ID, map[string]any{
		"Service": s.Service, "Address": s.Address(), "Zone": s.Zone, "Version": "v1", "Capacity": s.Capacity, "State": state,
		"WarmupLeftMs": warmupLeft.Milliseconds(), "Sequence": n, "born": s.born,
	})
}

// Stamp returns the signature of the searcher's answer to an attempt.
func (s *Searcher) Stamp(attempt string) string {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, s.ID, attempt)
	return fmt.Sprintf("%s.%s.%08x", s.ID, attempt, h.Sum32())
}

// ServeHTTP runs a request.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := Arrival{
		Searcher: s, At: s.bed.Now(), Attempt: attempt, Tenant: r.Header.Get("Tenant"), Method: r.Method, URI: r.RequestURI,
		Body: body, Header: r.Header,
	}
	if s.Observe != nil {
		s.Observe(a)
	}
	if s.Serve != nil && s.Serve(w, r, a) {
		return
	}
	time.Sleep(s.Work)
	w.Header().Set("Server-Stamp", s.Stamp(attempt))
	_, _ = w.Write(s.Answer(attempt))
}

// Answer returns the body of the searcher's answer to an attempt: two records.
func (s *Searcher) Answer(attempt string) []byte {
	return []byte(fmt.Sprintf("%-16.16s%-16.16s", s.ID+"/1", s.ID+"/2"))
}
