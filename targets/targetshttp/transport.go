package targetshttp

import (
	"net/http"
	"sync"

	"dogwooddrift.org/drift/httpreply"
)

// Transport is an http.RoundTripper with a separate transport for each target, so that the number of connections is limited
// per target. It accepts only sound replies. It is safe for concurrent use.
type Transport struct {
	// New returns the settings for the transport of one target.
	New func() *http.Transport

	mu      sync.RWMutex
	targets map[string]*httpreply.Transport // by address
}

// Limit sets the maximal number of connections to a target. Zero closes the idle ones and removes the target. Running
// requests keep their connections.
func (t *Transport) Limit(address string, connections int) {
	t.mu.Lock()
	old := t.targets[address]
	if t.targets == nil {
		t.targets = map[string]*httpreply.Transport{}
	}
	delete(t.targets, address)
	if connections > 0 {
		settings := t.New()
		settings.MaxConnsPerHost, settings.MaxIdleConnsPerHost = connections, connections
		t.targets[address] = httpreply.NewTransport(settings)
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
				t.targets = map[string]*httpreply.Transport{}
			}
			settings := t.New()
			settings.MaxConnsPerHost = 1
			target = httpreply.NewTransport(settings)
			t.targets[r.URL.Host] = target
		}
		t.mu.Unlock()
	}
	return target.RoundTrip(r)
}

// CloseIdle closes the idle connections to a target.
func (t *Transport) CloseIdle(address string) {
	t.mu.RLock()
	target := t.targets[address]
	t.mu.RUnlock()
	if target != nil {
		target.CloseIdleConnections()
	}
}
