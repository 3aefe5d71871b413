package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Searcher is a stand-in for a searcher: it runs Slots requests at a time, lets Queue more wait and turns others away.
type Searcher struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work returns the time that a request takes.
	Work func() time.Duration
	// Crashes reports whether a request crashes the searcher when it begins to run; nil if none does.
	Crashes func(r *http.Request) bool
	// Copy reports whether a second copy of an answer that was just sent follows it late, at the point where the answer to
	// the next request on the connection is expected.
	Copy func() bool
	// Body returns the body of the answer to a request; nil for a short text.
	Body func(r *http.Request) []byte
	// Quiet leaves the runs of this searcher out of the record: the case writes them itself.
	Quiet bool

	leaving string // header field of all answers, empty unless the searcher is leaving
	record  *Record
	address string
	mu      sync.Mutex
	born    int64
	listen  net.Listener
	conns   map[net.Conn]bool
	running int
	slots   chan struct{}
	waiting int
	runs    map[string][]time.Time
}

// AddSearcher starts a searcher and registers it.
func (d *Deployment) AddSearcher(s *Searcher) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.record, s.address, s.runs = d.Record, l.Addr().String(), map[string][]time.Time{}
	d.closers = append(d.closers, s.Stop)
	s.start(l)
	s.Register(d.Store, "ready")
	return nil
}

// Register writes the searcher's entry.
func (s *Searcher) Register(store *Store, state string) time.Time {
	return store.Put(s.Key(), s.Entry(state, 1))
}

// Key returns the key of the searcher's entry.
func (s *Searcher) Key() string { return "servers/" + s.ID }

// Entry returns an entry of the searcher. sequence counts what it has written since its start.
func (s *Searcher) Entry(state string, sequence int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"Service": s.Service, "Address": s.address, "Zone": s.Zone, "Version": "v1", "Capacity": s.Slots, "State": state,
		"WarmupLeftMs": 0, "Sequence": sequence, "born": s.born,
	}
}

// Leave makes the searcher say in all its answers that it is leaving.
func (s *Searcher) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = "Server-Leaving: 1\r\n"
}

func (s *Searcher) start(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listen, s.conns, s.born = l, map[net.Conn]bool{}, time.Now().UnixMilli()
	s.slots, s.waiting, s.running = make(chan struct{}, s.Slots), 0, 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// Stop ends the process: connections are reset or closed, and new ones refused.
func (s *Searcher) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listen != nil {
		_ = s.listen.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

// Restart starts the searcher again at its address and with its ID, and registers it.
func (s *Searcher) Restart(store *Store) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.start(l)
	s.Register(store, "ready")
	return nil
}

// Runs returns when the request with an ID was run here.
func (s *Searcher) Runs(id string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AllRuns returns the times at which requests were run here, by ID.
func (s *Searcher) AllRuns() map[string][]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]time.Time, len(s.runs))
	for id, at := range s.runs {
		out[id] = at
	}
	return out
}

func (s *Searcher) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var late []byte // a second copy that is still to be sent
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != nil {
			s.record.Line("searcher %s, asked for %s, sends a second copy of its last answer: %.60q", s.ID, r.Header.Get("Attempt-Id"), late[9:])
			_, _ = c.Write(late)
			late = nil
		}
		answer, ok := s.answer(r, c)
		if !ok {
			return
		}
		_, _ = c.Write(answer)
		if s.Copy != nil && s.Copy() {
			late = answer
		}
	}
}

// answer returns the answer to a request, and false if the searcher ended meanwhile.
func (s *Searcher) answer(r *http.Request, c net.Conn) ([]byte, bool) {
	id := r.Header.Get("Attempt-Id")
	load := func() string { return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots) }
	s.mu.Lock()
	switch {
	case r.URL.Path == "/health":
		defer s.mu.Unlock()
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\n%sContent-Length: 0\r\n\r\n", s.ID, load(), s.leaving), true
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != s.ID:
		defer s.mu.Unlock()
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, s.ID, s.leaving), true
	case id == "":
		defer s.mu.Unlock()
		return []byte("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"), true
	case len(s.slots) == cap(s.slots) && s.waiting >= s.Queue:
		defer s.mu.Unlock()
		s.record.Line("searcher %s is full and turns %s away", s.ID, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\n%sContent-Length: 0\r\n\r\n", id, load(), s.leaving), true
	}
	slots := s.slots
	s.waiting++
	s.mu.Unlock()
	slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	if !s.conns[c] {
		s.mu.Unlock()
		<-slots
		return nil, false
	}
	s.running++
	s.runs[id] = append(s.runs[id], time.Now())
	s.mu.Unlock()
	if !s.Quiet {
		s.record.Line("searcher %s runs %s of tenant %q", s.ID, id, r.Header.Get("Tenant"))
	}
	if s.Crashes != nil && s.Crashes(r) {
		s.Stop()
		return nil, false
	}
	time.Sleep(s.Work())
	s.mu.Lock()
	s.running--
	text := fmt.Appendf(nil, "done by %s", s.ID)
	if s.Body != nil {
		text = s.Body(r)
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, s.ID, id, load(), s.leaving, len(text), text)
	s.mu.Unlock()
	<-slots
	return answer, true
}
