// Package standin emulates the systems around the entry tier, the targets and the platform, including their
// faults. Tests, the demo and the load tool use it.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/targets/targetshttp"
)

// TargetOptions configures an emulated target. The zero value of each field except Status is usable.
type TargetOptions struct {
	ID     string
	Status targets.Status
	// ServiceTime is the mean service time of a request. Each request takes from 0.5 to 1.5 times as long,
	// uniformly distributed.
	ServiceTime time.Duration
	// Queue is the maximum number of requests that wait for a slot; further requests are shed.
	Queue int
	// ConnectionCost is the time for which one new connection occupies the accept loop.
	ConnectionCost time.Duration
	// A cold start ends after ColdTime or after ColdRequests requests, whichever comes first.
	ColdTime     time.Duration
	ColdRequests int
	// ColdSlowdown multiplies the service time while the target is cold.
	ColdSlowdown float64
	// Seed makes the random choices of the faults repeatable.
	Seed uint64
	// Secrets are the callers' keys. Requests that contain one are counted in Counters.KeysSeen.
	Secrets []string
}

const (
	defaultColdTime     = 1500 * time.Millisecond
	defaultColdRequests = 40
	defaultColdSlowdown = 4
	unlimitedColdTime   = time.Hour
	// coldReactionLimit is the time within which the entry tier must limit its requests after a reply or status
	// report carried the new incarnation. Status polls run every 250 ms, and the design page sets no separate bound.
	coldReactionLimit = 500 * time.Millisecond
	// StopSendingLimit is the time within which the entry tier stops sending requests to draining targets and to
	// targets and zones out of service (design page, P4 and P10).
	StopSendingLimit = 3 * time.Second
	// maxReportHistory is the number of old status reports kept for ReportLagMS.
	maxReportHistory = 256
)

// Counters count the requests, connections and crashes of a target over all of its incarnations.
type Counters struct {
	// Runs counts requests that started to run. Changes counts the runs of each change, keyed by ChangeKey.
	Runs    int            `json:"runs"`
	Changes map[string]int `json:"changes,omitempty"`
	// Searches counts the search requests that arrived, whether or not they ran.
	Searches int `json:"searches"`
	Shed     int `json:"shed"`
	// Gone counts searches refused because the target does not serve the shard in the snapshot.
	Gone    int `json:"gone"`
	Crashes int `json:"crashes"`
	// Cancelled counts requests that the caller cancelled while they waited or ran.
	Cancelled int `json:"cancelled"`
	// HighestConcurrency is the highest number of requests that ran at the same time.
	HighestConcurrency  int `json:"highest_concurrency"`
	Connections         int `json:"connections"`
	MostConnections     int `json:"most_connections"`
	ConnectionsAccepted int `json:"connections_accepted"`
	ConnectionsRefused  int `json:"connections_refused"`
	// ColdOverloads counts requests that arrived at a cold target above its MaxColdRequests. ColdViolations counts
	// those that arrived more than coldReactionLimit after a reply or status report first carried the incarnation.
	ColdOverloads  int `json:"cold_overloads"`
	ColdViolations int `json:"cold_violations"`
	// OutArrivals and DrainArrivals count requests that arrived while the target was out of service or draining.
	// LateOutArrivals and LateDrainArrivals count those that arrived more than StopSendingLimit after it began.
	OutArrivals       int `json:"out_arrivals"`
	LateOutArrivals   int `json:"late_out_arrivals"`
	DrainArrivals     int `json:"drain_arrivals"`
	LateDrainArrivals int `json:"late_drain_arrivals"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keys_seen"`
}

// coldStart is the state of a cold start, which ends at endsAt or once requestsLeft is 0.
type coldStart struct {
	endsAt       time.Time
	requestsLeft int
	// visibleSince is when a reply or status report first carried the new incarnation.
	visibleSince time.Time
}

// statusReport is the status of a target since a point in time.
type statusReport struct {
	at     time.Time
	status targets.Status
}

// reply is a reply of a target. The last one is kept for Faults.Cross.
type reply struct {
	header map[string]string
	body   string
}

// Target emulates one target. Its methods are safe for concurrent use.
type Target struct {
	options TargetOptions
	mux     *http.ServeMux
	server  server

	mu            sync.Mutex
	rng           *rand.Rand
	status        targets.Status
	faults        Faults
	generation    int
	cold          *coldStart
	drainingSince time.Time
	outSince      time.Time
	down          bool
	closed        bool
	running       int
	pending       int           // running or waiting for a slot
	slotFreed     chan struct{} // closed and replaced when a slot is released
	previousReply *reply
	reportHistory []statusReport
	counters      Counters
}

// NewTarget returns a target that serves requests through ServeHTTP and, after Start, on its own listener.
func NewTarget(options TargetOptions) *Target {
	if options.ColdTime == 0 {
		options.ColdTime = defaultColdTime
	}
	if options.ColdRequests == 0 {
		options.ColdRequests = defaultColdRequests
	}
	if options.ColdSlowdown == 0 {
		options.ColdSlowdown = defaultColdSlowdown
	}
	id := fnv.New64a()
	_, _ = id.Write([]byte(options.ID))
	t := &Target{
		options: options, mux: http.NewServeMux(), generation: 1,
		rng:       rand.New(rand.NewPCG(options.Seed, id.Sum64())),
		slotFreed: make(chan struct{}),
		counters:  Counters{Changes: map[string]int{}},
		server:    server{maxConnections: options.Status.Connections, acceptCost: options.ConnectionCost, conns: map[*conn]struct{}{}},
	}
	t.setStatus(options.Status, time.Now())
	t.mux.HandleFunc("POST "+targetshttp.SearchPath, t.handleSearch)
	t.mux.HandleFunc("POST "+targetshttp.ChangePath, t.handleChange)
	t.mux.HandleFunc("GET "+targetshttp.StatusPath, t.handleStatus)
	return t
}

// Start listens on loopback and returns the address, which stays the same after a crash.
func (t *Target) Start() (string, error) {
	if err := t.server.start(t); err != nil {
		return "", err
	}
	return t.server.address, nil
}

// ServeHTTP serves the target's protocol.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// setStatus sets the initial status. A target that starts cold stays so for unlimitedColdTime. The caller holds
// t.mu or has not shared the target yet.
func (t *Target) setStatus(s targets.Status, now time.Time) {
	t.status, t.cold, t.drainingSince = s, nil, time.Time{}
	switch s.State {
	case targets.StateCold:
		t.cold = &coldStart{endsAt: now.Add(unlimitedColdTime), requestsLeft: math.MaxInt}
	case targets.StateDraining:
		t.drainingSince = now
	case targets.StateWarm:
	}
	t.recordReport(now)
}

// setReplicas sets the shards that the target serves.
func (t *Target) setReplicas(replicas []targets.Replica, manifests []targets.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Replicas, t.status.Manifests = replicas, manifests
	t.recordReport(time.Now())
}

// ChangeRuns returns the number of runs of each change, keyed by ChangeKey.
func (t *Target) ChangeRuns() map[string]int { return t.Counters().Changes }

func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.Changes = maps.Clone(out.Changes)
	t.server.fillCounters(&out)
	return out
}

// currentStatus returns the actual status, without reporting faults, and ends a cold start that is over. The
// caller holds t.mu.
func (t *Target) currentStatus(now time.Time) targets.Status {
	s := t.status
	if t.cold != nil && (!now.Before(t.cold.endsAt) || t.cold.requestsLeft <= 0) {
		t.cold = nil
		t.reportHistory = append(t.reportHistory, statusReport{at: now, status: t.statusWithState()})
	}
	s.State = t.statusWithState().State
	s.Load = min(1, float64(t.running)/float64(max(1, s.Slots)))
	return s
}

// statusWithState returns the status with the state derived from the cold start and draining. The caller holds
// t.mu.
func (t *Target) statusWithState() targets.Status {
	s := t.status
	s.State = targets.StateWarm
	if t.cold != nil {
		s.State = targets.StateCold
	}
	if !t.drainingSince.IsZero() {
		s.State = targets.StateDraining
	}
	return s
}

// recordReport stores the status for Faults.ReportLagMS. The caller holds t.mu.
func (t *Target) recordReport(now time.Time) {
	t.reportHistory = append(t.reportHistory, statusReport{at: now, status: t.statusWithState()})
	if len(t.reportHistory) > maxReportHistory {
		t.reportHistory = slices.Delete(t.reportHistory, 0, len(t.reportHistory)-maxReportHistory)
	}
}

// handleStatus serves the status report, with the faults that affect it.
func (t *Target) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	t.mu.Lock()
	status := t.currentStatus(now)
	if lag := time.Duration(t.faults.ReportLagMS) * time.Millisecond; lag > 0 {
		for i := len(t.reportHistory) - 1; i >= 0; i-- {
			status = t.reportHistory[i].status
			if !t.reportHistory[i].at.After(now.Add(-lag)) {
				break
			}
		}
	}
	if t.faults.ReportLoad != nil {
		status.Load = *t.faults.ReportLoad
	}
	if t.faults.ReportWarm {
		status.State = targets.StateWarm
	}
	t.markIncarnationVisible(status.Incarnation, now)
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(status)
}

// markIncarnationVisible records that a reply or status report carries the incarnation, from which on the entry
// tier can react to its cold start. The caller holds t.mu.
func (t *Target) markIncarnationVisible(incarnation string, now time.Time) {
	if t.cold != nil && t.cold.visibleSince.IsZero() && incarnation == t.status.Incarnation {
		t.cold.visibleSince = now
	}
}

// chance returns true with the given probability. The caller holds t.mu.
func (t *Target) chance(probability float64) bool {
	return probability > 0 && t.rng.Float64() < probability
}

// countArrival updates the counters of requests that should not have arrived. The caller holds t.mu.
func (t *Target) countArrival(r *http.Request, body string, now time.Time) {
	if !t.outSince.IsZero() {
		t.counters.OutArrivals++
		if now.Sub(t.outSince) > StopSendingLimit {
			t.counters.LateOutArrivals++
		}
	}
	if !t.drainingSince.IsZero() {
		t.counters.DrainArrivals++
		if now.Sub(t.drainingSince) > StopSendingLimit {
			t.counters.LateDrainArrivals++
		}
	}
	if t.cold != nil && t.pending+1 > max(1, t.status.MaxColdRequests) {
		t.counters.ColdOverloads++
		if !t.cold.visibleSince.IsZero() && now.Sub(t.cold.visibleSince) > coldReactionLimit {
			t.counters.ColdViolations++
		}
	}
	if carriesKey(r, body, t.options.Secrets) {
		t.counters.KeysSeen++
	}
}

// carriesKey reports whether the request has an Authorization header, or one of the secrets in its body, URL or
// headers.
func carriesKey(r *http.Request, body string, secrets []string) bool {
	if r.Header.Get("Authorization") != "" {
		return true
	}
	for _, secret := range secrets {
		if strings.Contains(body, secret) || strings.Contains(r.URL.String(), secret) {
			return true
		}
		for _, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), secret) {
				return true
			}
		}
	}
	return false
}

// admittedRequest is a request that has a slot, with the status and faults at its arrival.
type admittedRequest struct {
	body        string
	status      targets.Status
	faults      Faults
	serviceTime time.Duration
}

// admit reads the request and waits for a slot. It returns false if the request could not be read, was refused
// or was cancelled; a refusal is already written to w then. check reports whether the status allows the request.
func (t *Target) admit(w http.ResponseWriter, r *http.Request, check func(targets.Status) bool) (admittedRequest, bool) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return admittedRequest{}, false
	}
	body, now := string(text), time.Now()
	t.mu.Lock()
	t.countArrival(r, body, now)
	a := admittedRequest{body: body, status: t.currentStatus(now), faults: t.faults}
	if mark := t.faults.CrashMark; mark != "" && strings.Contains(body, mark) {
		t.countRun(r)
		t.mu.Unlock()
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if !check(a.status) {
		t.counters.Gone++
		t.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return admittedRequest{}, false
	}
	if t.pending >= t.status.Slots+t.options.Queue || t.chance(t.faults.Shed) {
		t.counters.Shed++
		t.markIncarnationVisible(a.status.Incarnation, now)
		t.mu.Unlock()
		t.setTargetHeaders(w.Header(), a.status)
		w.Header().Set(targetshttp.HeaderRan, targetshttp.RanNo)
		w.WriteHeader(http.StatusServiceUnavailable)
		return admittedRequest{}, false
	}
	t.pending++
	for t.running >= t.status.Slots {
		freed := t.slotFreed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			t.mu.Lock()
			t.pending--
			t.counters.Cancelled++
			t.mu.Unlock()
			return admittedRequest{}, false
		}
		t.mu.Lock()
	}
	t.running++
	t.countRun(r)
	t.counters.HighestConcurrency = max(t.counters.HighestConcurrency, t.running)
	a.serviceTime = t.drawServiceTime()
	t.mu.Unlock()
	return a, true
}

// countRun counts a request that starts to run. The caller holds t.mu.
func (t *Target) countRun(r *http.Request) {
	t.counters.Runs++
	if r.URL.Path == targetshttp.ChangePath {
		t.counters.Changes[ChangeKey(r.Header.Get(targetshttp.HeaderOrganisation), r.Header.Get(targetshttp.HeaderIdempotencyKey))]++
	}
}

// ChangeKey returns the key of a change in Counters.Changes: "organisation/idempotency key".
func ChangeKey(organisation, idempotencyKey string) string {
	return organisation + "/" + idempotencyKey
}

// drawServiceTime draws the service time of a request, including a cold start and stragglers. The caller holds
// t.mu.
func (t *Target) drawServiceTime() time.Duration {
	d := float64(t.options.ServiceTime) * (0.5 + t.rng.Float64())
	if t.cold != nil {
		d *= t.options.ColdSlowdown
		t.cold.requestsLeft--
	}
	if t.chance(t.faults.Straggle) {
		d += float64(t.faults.StraggleMS) * float64(time.Millisecond)
	}
	return time.Duration(d)
}

// releaseSlot ends a running request and notifies the requests that wait for a slot.
func (t *Target) releaseSlot(cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.pending--
	if cancelled {
		t.counters.Cancelled++
	}
	close(t.slotFreed)
	t.slotFreed = make(chan struct{})
}

func (t *Target) handleSearch(w http.ResponseWriter, r *http.Request) {
	snapshot, err := strconv.ParseUint(r.Header.Get(targetshttp.HeaderSnapshot), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shard := targets.Shard(r.Header.Get(targetshttp.HeaderShard))
	t.mu.Lock()
	t.counters.Searches++
	t.mu.Unlock()
	a, ok := t.admit(w, r, func(s targets.Status) bool { return servesShard(s, shard, targets.Snapshot(snapshot)) })
	if !ok {
		return
	}
	completed := waitOrCancelled(r, a.serviceTime)
	t.releaseSlot(!completed)
	out := &reply{header: map[string]string{}, body: Result(shard, targets.Snapshot(snapshot), a.body)}
	for _, h := range []string{targetshttp.HeaderRequestID, targetshttp.HeaderAttempt, targetshttp.HeaderSnapshot, targetshttp.HeaderShard} {
		out.header[h] = r.Header.Get(h)
	}
	t.sendReply(w, r, a, out, completed)
}

// Result returns the reply body of a target to a search. It contains all inputs of the search, so that a caller
// can verify it.
func Result(shard targets.Shard, snapshot targets.Snapshot, query string) string {
	return fmt.Sprintf("%s@%d:%s", shard, snapshot, query)
}

// Outcome returns the reply body of a target to a change.
func Outcome(change string) string { return "done:" + change }

func servesShard(status targets.Status, shard targets.Shard, snapshot targets.Snapshot) bool {
	return slices.ContainsFunc(status.Replicas, func(r targets.Replica) bool {
		return r.Shard == shard && slices.Contains(r.Snapshots, snapshot)
	})
}

func (t *Target) handleChange(w http.ResponseWriter, r *http.Request) {
	a, ok := t.admit(w, r, func(targets.Status) bool { return true })
	if !ok {
		return
	}
	completed := waitOrCancelled(r, a.serviceTime)
	t.releaseSlot(!completed)
	out := &reply{header: map[string]string{targetshttp.HeaderRequestID: r.Header.Get(targetshttp.HeaderRequestID)}, body: Outcome(a.body)}
	t.sendReply(w, r, a, out, completed)
}

// sendReply writes the reply, with the faults that affect replies. completed is false if the request was
// cancelled while it ran; it then gets a reply only if Faults.Late applies.
func (t *Target) sendReply(w http.ResponseWriter, r *http.Request, a admittedRequest, out *reply, completed bool) {
	now := time.Now()
	t.mu.Lock()
	late, crossed, twice := t.chance(a.faults.Late), t.chance(a.faults.Cross), t.chance(a.faults.Duplicate)
	sent := out
	if crossed && t.previousReply != nil {
		sent = t.previousReply
	}
	t.previousReply = out
	t.markIncarnationVisible(a.status.Incarnation, now)
	t.mu.Unlock()
	if late {
		timer := time.NewTimer(time.Duration(a.faults.LateMS) * time.Millisecond)
		defer timer.Stop()
		<-timer.C
	}
	if !completed && !late {
		return
	}
	header := w.Header()
	for k, v := range sent.header {
		header.Set(k, v)
	}
	t.setTargetHeaders(header, a.status)
	if c, ok := r.Context().Value(connContextKey{}).(*conn); ok && twice {
		header.Set("Content-Length", strconv.Itoa(len(sent.body)))
		c.repeatNextWrite.Store(true)
	}
	_, _ = io.WriteString(w, sent.body)
}

// setTargetHeaders sets the headers with the target's incarnation, state and load.
func (t *Target) setTargetHeaders(h http.Header, status targets.Status) {
	h.Set(targetshttp.HeaderIncarnation, status.Incarnation)
	h.Set(targetshttp.HeaderState, string(status.State))
	h.Set(targetshttp.HeaderLoad, strconv.FormatFloat(status.Load, 'f', 2, 64))
}

// waitOrCancelled waits for d. It returns false early if the request is cancelled.
func waitOrCancelled(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
