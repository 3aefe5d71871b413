package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/platform/platformhttp"
)

// Platform emulates the platform: values with revisions, reads and waiting watches, and a count of calls.
type Platform struct {
	mux   *http.ServeMux
	calls atomic.Int64

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	document  versioned
	instances versioned
}

type versioned struct {
	revision platform.Revision
	body     []byte
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), changed: make(chan struct{})}
	p.mux.HandleFunc("GET "+platformhttp.DocumentPath, func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, &p.document) })
	p.mux.HandleFunc("GET "+platformhttp.InstancesPath, func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, &p.instances) })
	return p
}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns how many calls were served, a waiting watch counted as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// PublishDocument serves the document from now on.
func (p *Platform) PublishDocument(d *platform.Document) error {
	return p.publish(&p.document, d.Revision, d)
}

// PublishInstances serves the list from now on.
func (p *Platform) PublishInstances(l *platform.InstanceList) error {
	return p.publish(&p.instances, l.Revision, l)
}

func (p *Platform) publish(v *versioned, revision platform.Revision, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v.revision, v.body = revision, body
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, v *versioned) {
	p.calls.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		value, changed := *v, p.changed
		p.mu.Unlock()
		if value.body != nil && value.revision.Supersedes(platform.Revision(after)) {
			_, _ = w.Write(value.body)
			return
		}
		if waitMS == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
