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

// Outage is a failure mode of the platform.
type Outage string

// The failure modes of the platform.
const (
	OutageNone Outage = ""
	// OutageRefuse replies to each read with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang replies to no read until the outage ends.
	OutageHang Outage = "hang"
)

// PlatformFaults are the faults that the platform emulates. The zero value is a healthy platform.
type PlatformFaults struct {
	Outage Outage `json:"outage,omitempty" yaml:"outage"`
	// LagMS is the delay in milliseconds from publishing a value until it can be read.
	LagMS int `json:"lag_ms,omitempty" yaml:"lag_ms"`
	// Stale makes reads return the previous values in place of the newest.
	Stale bool `json:"stale,omitempty" yaml:"stale"`
}

// PlatformCounters counts the reads of the platform. A long-poll watch counts as one call.
type PlatformCounters struct {
	Calls int64 `json:"calls"`
	// PeakRate is the highest number of calls in one second; seconds start at full seconds of the clock.
	PeakRate int64 `json:"peak_rate"`
}

// ErrLowerRevision is returned if the revision of a published value is not higher than the newest one.
var ErrLowerRevision = errors.New("revision is not above the one that is served")

// Platform emulates the platform: it stores values with revisions, serves reads and long-poll watches, and counts
// calls. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced when a value or the faults change
	faults        PlatformFaults
	document      valueHistory
	instances     valueHistory
	calls         int64
	currentSecond int64
	callsInSecond int64
	peakRate      int64
}

// valueHistory holds the newest and the previous version of one value of the platform.
type valueHistory struct {
	newest, previous versionedValue
}

type versionedValue struct {
	revision  document.Revision
	body      []byte
	visibleAt time.Time
}

// maxPublishedBytes is the maximum size of a value and of other request bodies.
const maxPublishedBytes = 1 << 20

// NewPlatform returns a platform without values; a read without a watch gets status 404.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), changed: make(chan struct{})}
	for path, h := range map[string]*valueHistory{documenthttp.DocumentPath: &p.document, documenthttp.InstancesPath: &p.instances} {
		p.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { p.handleGet(w, r, h) })
		p.mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) { p.handlePut(w, r, h) })
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

// ServeHTTP serves the platform's protocol. For tests, it also serves PUT of the values, PUT /fault and
// GET /counters.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns the number of reads; a long-poll watch counts as one.
func (p *Platform) Calls() int64 { return p.Counters().Calls }

func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCounters{Calls: p.calls, PeakRate: p.peakRate}
}

// SetFaults replaces the faults that the platform emulates. They also apply at once to watches in progress.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWaiters()
}

// notifyWaiters makes all waiting reads check the values and faults again. The caller holds p.mu.
func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishDocument makes the document the newest one. It returns ErrLowerRevision if its revision is not higher
// than the newest.
func (p *Platform) PublishDocument(d *document.Document) error {
	return p.publish(&p.document, d.Revision, d, false)
}

// PublishInstances makes the list the newest one. It returns ErrLowerRevision if its revision is not higher than
// the newest.
func (p *Platform) PublishInstances(l *document.InstanceList) error {
	return p.publish(&p.instances, l.Revision, l, false)
}

// ServeStaleDocument makes the document the newest one whatever its revision, to emulate a platform whose reads
// go back to an older revision.
func (p *Platform) ServeStaleDocument(d *document.Document) error {
	return p.publish(&p.document, d.Revision, d, true)
}

// ServeStaleInstances does for the instance list what ServeStaleDocument does for the document.
func (p *Platform) ServeStaleInstances(l *document.InstanceList) error {
	return p.publish(&p.instances, l.Revision, l, true)
}

func (p *Platform) publish(h *valueHistory, revision document.Revision, value any, allowStale bool) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return p.set(h, revision, body, allowStale)
}

func (p *Platform) set(h *valueHistory, revision document.Revision, body []byte, allowStale bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !allowStale && !revision.Supersedes(h.newest.revision) {
		return fmt.Errorf("%w: %d, served is %d", ErrLowerRevision, revision, h.newest.revision)
	}
	lag := time.Duration(p.faults.LagMS) * time.Millisecond
	h.previous = h.newest
	h.newest = versionedValue{revision: revision, body: body, visibleAt: time.Now().Add(lag)}
	p.notifyWaiters()
	if lag > 0 {
		time.AfterFunc(lag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.notifyWaiters()
		})
	}
	return nil
}

// handlePut publishes the value in the request body. The query parameter stale=true allows any revision.
func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request, h *valueHistory) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublishedBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var header struct {
		Revision document.Revision `json:"revision"`
	}
	if err := json.Unmarshal(body, &header); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.set(h, header.Revision, body, r.URL.Query().Get("stale") == "true"); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// countCall counts a read and updates the peak rate.
func (p *Platform) countCall(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if s := now.Unix(); s != p.currentSecond {
		p.currentSecond, p.callsInSecond = s, 0
	}
	p.callsInSecond++
	p.peakRate = max(p.peakRate, p.callsInSecond)
}

// currentValue returns the version that a read gets at the given time, the faults, and a channel that is closed at
// the next change of either.
func (p *Platform) currentValue(h *valueHistory, now time.Time) (versionedValue, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := h.newest
	if (p.faults.Stale || now.Before(value.visibleAt)) && h.previous.body != nil {
		value = h.previous
	}
	return value, p.faults, p.changed
}

// handleGet serves a read, or a long-poll watch if wait_ms is positive. A watch waits for a revision above the
// query parameter after, and gets status 304 if none appears in time.
func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request, h *valueHistory) {
	p.countCall(time.Now())
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		expired := timer.C
		value, faults, changed := p.currentValue(h, time.Now())
		switch {
		case faults.Outage == OutageRefuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case faults.Outage == OutageHang:
			// The call hangs even after its wait_ms has passed.
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
