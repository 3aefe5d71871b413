// Package standin emulates the systems around the tier, targets and the platform, with the faults that they
// show. It serves tests, the demo and the load tool.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dogwooddrift.org/drift/target"
	"dogwooddrift.org/drift/target/targethttp"
)

// TargetOptions describes an emulated target.
type TargetOptions struct {
	Status target.Status
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration
}

// Target emulates one target. Its handler is safe for concurrent use.
type Target struct {
	options TargetOptions
	mux     *http.ServeMux

	mu      sync.Mutex
	status  target.Status
	running int
	changes map[string]int
}

// NewTarget returns a target that serves requests.
func NewTarget(options TargetOptions) *Target {
	t := &Target{options: options, mux: http.NewServeMux(), status: options.Status, changes: map[string]int{}}
	t.mux.HandleFunc("POST "+targethttp.SearchPath, t.search)
	t.mux.HandleFunc("POST "+targethttp.ChangePath, t.change)
	t.mux.HandleFunc("GET "+targethttp.StatusPath, t.report)
	return t
}

// ServeHTTP serves the target's protocol.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// SetStatus replaces what the target reports and serves.
func (t *Target) SetStatus(s target.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status = s
}

// Changes returns how often each idempotency key ran.
func (t *Target) Changes() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.changes))
	for k, n := range t.changes {
		out[k] = n
	}
	return out
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	status := t.status
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(status)
}

// start takes a slot, or sheds the request.
func (t *Target) start(w http.ResponseWriter) (target.Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.status.Slots {
		w.Header().Set(targethttp.HeaderRan, targethttp.RanNo)
		w.WriteHeader(http.StatusServiceUnavailable)
		return target.Status{}, false
	}
	t.running++
	return t.status, true
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Target) search(w http.ResponseWriter, r *http.Request) {
	status, ok := t.start(w)
	if !ok {
		return
	}
	defer t.finish()
	snapshot, err := strconv.ParseUint(r.Header.Get(targethttp.HeaderSnapshot), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shard := target.Shard(r.Header.Get(targethttp.HeaderShard))
	if !serves(status, shard, target.Snapshot(snapshot)) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	query, err := io.ReadAll(r.Body)
	if err != nil || !t.work(r) {
		return
	}
	for _, h := range []string{targethttp.HeaderRequestID, targethttp.HeaderAttempt, targethttp.HeaderSnapshot, targethttp.HeaderShard} {
		w.Header().Set(h, r.Header.Get(h))
	}
	t.identify(w, status)
	_, _ = fmt.Fprintf(w, "%s@%d:%s", shard, snapshot, query)
}

func serves(status target.Status, shard target.Shard, snapshot target.Snapshot) bool {
	for _, r := range status.Replicas {
		if r.Shard != shard {
			continue
		}
		for _, s := range r.Snapshots {
			if s == snapshot {
				return true
			}
		}
	}
	return false
}

func (t *Target) change(w http.ResponseWriter, r *http.Request) {
	status, ok := t.start(w)
	if !ok {
		return
	}
	defer t.finish()
	key := r.Header.Get(targethttp.HeaderOrganisation) + "/" + r.Header.Get(targethttp.HeaderIdempotencyKey)
	t.mu.Lock()
	t.changes[key]++
	t.mu.Unlock()
	if !t.work(r) {
		return
	}
	w.Header().Set(targethttp.HeaderRequestID, r.Header.Get(targethttp.HeaderRequestID))
	t.identify(w, status)
	_, _ = io.WriteString(w, "done")
}

func (t *Target) identify(w http.ResponseWriter, status target.Status) {
	w.Header().Set(targethttp.HeaderIncarnation, status.Incarnation)
	w.Header().Set(targethttp.HeaderState, string(status.State))
	w.Header().Set(targethttp.HeaderLoad, strconv.FormatFloat(status.Load, 'f', 2, 64))
}

// work takes the service time, unless the request is cancelled.
func (t *Target) work(r *http.Request) bool {
	timer := time.NewTimer(t.options.ServiceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
