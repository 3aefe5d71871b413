package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documenthttp"
)

// Outage is how the platform fails.
type Outage string

// The outages of the platform.
const (
	OutageNone Outage = ""
	// OutageRefuse answers each call with 503.
	OutageRefuse Outage = "refuse"
	// OutageHang answers no call until the outage ends.
	OutageHang Outage = "hang"
)

// PlatformFaults are the faults that the platform shows while they are set.
type PlatformFaults struct {
	Outage Outage `json:"outage,omitempty" yaml:"outage"`
	// LagMS is how much later published values can be read.
	LagMS int `json:"lag_ms,omitempty" yaml:"lag_ms"`
	// Stale serves the values before the newest.
	Stale bool `json:"stale,omitempty" yaml:"stale"`
}

// PlatformCounters is the platform's record of calls. A waiting watch counts as one call.
type PlatformCounters struct {
	Calls int64 `json:"calls"`
	// PeakRate is the most calls in any second, by the clock's full seconds.
	PeakRate int64 `json:"peak_rate"`
}

// ErrLowerRevision means that a published value is not newer than the one in force.
var ErrLowerRevision = errors.New("revision is not above the one that is served")

// Platform emulates the platform: values with revisions, reads and waiting watches, and a count of calls.
type Platform struct {
	mux *http.ServeMux

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	faults    PlatformFaults
	document  history
	instances history
	calls     int64
	second    int64
	inSecond  int64
	peak      int64
}

// history is one value of the platform with the value before it.
type history struct {
	newest, previous versioned
}

type versioned struct {
	revision document.Revision
	body     []byte
	visible  time.Time
}

// maxPublishedBytes is the size of the largest value that the platform holds.
const maxPublishedBytes = 1 << 20

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), changed: make(chan struct{})}
	for path, h := range map[string]*history{documenthttp.DocumentPath: &p.document, documenthttp.InstancesPath: &p.instances} {
		p.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, h) })
		p.mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) { p.put(w, r, h) })
	}
	p.mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
	})
	p.mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p.Counters()) })
	return p
}

// ServeHTTP serves the platform's protocol, and PUT /fault, GET /counters and PUT of the values for tests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns how many calls were served, a waiting watch counted as one.
func (p *Platform) Calls() int64 { return p.Counters().Calls }

// Counters returns the record of calls.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCounters{Calls: p.calls, PeakRate: p.peak}
}

// SetFaults replaces the faults that the platform shows. Waiting watches feel them at once.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// wake lets all waiting calls look again. It needs p.mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishDocument serves the document from now on. It refuses a revision that is not above the newest.
func (p *Platform) PublishDocument(d *document.Document) error {
	return p.publish(&p.document, d.Revision, d, false)
}

// PublishInstances serves the list from now on. It refuses a revision that is not above the newest.
func (p *Platform) PublishInstances(l *document.InstanceList) error {
	return p.publish(&p.instances, l.Revision, l, false)
}

// ServeStaleDocument serves the document whatever its revision is, as a platform with stale reads does.
func (p *Platform) ServeStaleDocument(d *document.Document) error {
	return p.publish(&p.document, d.Revision, d, true)
}

// ServeStaleInstances is like ServeStaleDocument for the instance list.
func (p *Platform) ServeStaleInstances(l *document.InstanceList) error {
	return p.publish(&p.instances, l.Revision, l, true)
}

func (p *Platform) publish(h *history, revision document.Revision, value any, stale bool) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return p.set(h, revision, body, stale)
}

func (p *Platform) set(h *history, revision document.Revision, body []byte, stale bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stale && !revision.Supersedes(h.newest.revision) {
		return fmt.Errorf("%w: %d, served is %d", ErrLowerRevision, revision, h.newest.revision)
	}
	lag := time.Duration(p.faults.LagMS) * time.Millisecond
	h.previous = h.newest
	h.newest = versioned{revision: revision, body: body, visible: time.Now().Add(lag)}
	p.wake()
	if lag > 0 {
		time.AfterFunc(lag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.wake()
		})
	}
	return nil
}

// put publishes a value over HTTP. The query parameter stale=true allows any revision.
func (p *Platform) put(w http.ResponseWriter, r *http.Request, h *history) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublishedBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var head struct {
		Revision document.Revision `json:"revision"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.set(h, head.Revision, body, r.URL.Query().Get("stale") == "true"); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (p *Platform) count(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if s := now.Unix(); s != p.second {
		p.second, p.inSecond = s, 0
	}
	p.inSecond++
	p.peak = max(p.peak, p.inSecond)
}

// look returns the value that can be read now, the faults, and a channel that closes at the next change.
func (p *Platform) look(h *history, now time.Time) (versioned, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := h.newest
	if (p.faults.Stale || now.Before(value.visible)) && h.previous.body != nil {
		value = h.previous
	}
	return value, p.faults, p.changed
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, h *history) {
	p.count(time.Now())
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		expired := timer.C
		value, faults, changed := p.look(h, time.Now())
		switch {
		case faults.Outage == OutageRefuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case faults.Outage == OutageHang:
			// A hanging call outlives its own waiting time.
			expired = nil
		case value.body != nil && value.revision.Supersedes(document.Revision(after)):
			_, _ = w.Write(value.body)
			return
		case waitMS == 0:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-expired:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
