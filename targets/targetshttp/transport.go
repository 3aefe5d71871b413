package targetshttp

import (
	"net/http"
	"sync"
)

// Transport sends requests through a transport of its own for each target, so that each target has its own limit
// of connections. It is safe for concurrent use.
type Transport struct {
	// New makes the transport of one target.
	New func() *http.Transport

	mu      sync.RWMutex
	targets map[string]*http.Transport // by address
}

// Limit sets the connections to a target. Zero closes those that are idle and forgets the target. Running requests
// keep the connections they have.
func (t *Transport) Limit(address string, connections int) {
	t.mu.Lock()
	old := t.targets[address]
	if t.targets == nil {
		t.targets = map[string]*http.Transport{}
	}
	delete(t.targets, address)
	if connections > 0 {
		next := t.New()
		next.MaxConnsPerHost, next.MaxIdleConnsPerHost = connections, connections
		t.targets[address] = next
	}
	t.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper. A target without a limit gets one connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.RLock()
	target := t.targets[r.URL.Host]
	t.mu.RUnlock()
	if target == nil {
		t.mu.Lock()
		if target = t.targets[r.URL.Host]; target == nil {
			if t.targets == nil {
				t.targets = map[string]*http.Transport{}
			}
			target = t.New()
			target.MaxConnsPerHost = 1
			t.targets[r.URL.Host] = target
		}
		t.mu.Unlock()
	}
	return target.RoundTrip(r)
}

// CloseIdle closes the idle connections to one target.
func (t *Transport) CloseIdle(address string) {
	t.mu.RLock()
	target := t.targets[address]
	t.mu.RUnlock()
	if target != nil {
		target.CloseIdleConnections()
	}
}
