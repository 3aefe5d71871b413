package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Selection filters targets by ID, service and zone. An empty field matches every target.
type Selection struct {
	Target  string `json:"target,omitempty" yaml:"target"`
	Service string `json:"service,omitempty" yaml:"service"`
	Zone    string `json:"zone,omitempty" yaml:"zone"`
}

// FaultRequest is the body of PUT /fault. For the selected targets, it replaces the faults if Faults is set and
// performs the action if Action is set.
type FaultRequest struct {
	Selection
	Faults *Faults `json:"faults,omitempty"`
	Action Action  `json:"action,omitempty"`
}

// SnapshotRequest is the body of PUT /snapshot, which publishes a new index snapshot of a sharded service.
// StepMS is the pause between the updates of two targets.
type SnapshotRequest struct {
	Service string `json:"service"`
	Shards  int    `json:"shards"`
	StepMS  int    `json:"step_ms"`
}

// Apply sets the faults and performs the action of the request on the selected targets. It returns the number of
// selected targets, or the error of the first action that fails.
func (f *Fleet) Apply(r FaultRequest) (int, error) {
	targets := f.Select(r.Target, r.Service, r.Zone)
	for _, t := range targets {
		if r.Faults != nil {
			t.SetFaults(*r.Faults)
		}
		if r.Action != "" {
			if err := t.Do(r.Action); err != nil {
				return 0, err
			}
		}
	}
	return len(targets), nil
}

// FaultHandler serves PUT /fault, PUT /snapshot, GET /counters and GET /instances, for tests and manual use.
func (f *Fleet) FaultHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var request FaultRequest
		if !decode(w, r, &request) {
			return
		}
		n, err := f.Apply(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if n == 0 {
			http.Error(w, "no target matches", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]int{"targets": n})
	})
	mux.HandleFunc("PUT /snapshot", func(w http.ResponseWriter, r *http.Request) {
		var request SnapshotRequest
		if !decode(w, r, &request) {
			return
		}
		if err := f.PublishSnapshot(request.Service, request.Shards, time.Duration(request.StepMS)*time.Millisecond); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Counters()) })
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Instances) })
	return mux
}

// decode reads a JSON body into value. If the body is malformed, too large or has unknown fields, it replies
// with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPublishedBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
