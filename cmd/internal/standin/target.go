// Package standin emulates the systems around the tier, targets and the platform, with the faults that they
// show. It serves tests, the demo and the load tool.
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

// TargetOptions describes an emulated target. The zero value of each field but Status is usable.
type TargetOptions struct {
	ID     string
	Status targets.Status
	// ServiceTime is the mean time of one request. Requests take from half to one and a half of it.
	ServiceTime time.Duration
	// Queue is how many requests wait for a slot before further ones are shed.
	Queue int
	// ConnectionCost is how long the accept path is busy with one new connection.
	ConnectionCost time.Duration
	// ColdTime and ColdRequests end a cold start, whichever comes first: so long, or so many requests run.
	ColdTime     time.Duration
	ColdRequests int
	// ColdSlowdown is the factor on the service time while cold.
	ColdSlowdown float64
	// Seed makes the random choices of the faults repeatable.
	Seed uint64
	// Secrets are the keys of callers. A request that contains one is counted.
	Secrets []string
}

const (
	defaultColdTime     = 1500 * time.Millisecond
	defaultColdRequests = 40
	defaultColdSlowdown = 4
	unlimitedColdTime   = time.Hour
	// noticeTime is how long the tier may take to act on a cold start after the target showed it. Polls run
	// every 250 ms, and the design page asks for no bound of its own.
	noticeTime = 500 * time.Millisecond
	// StopSendingLimit is the design value for leaving targets and zones out of service (P4, P10).
	StopSendingLimit = 3 * time.Second
	// maxReportHistory bounds the old reports kept for ReportLagMS.
	maxReportHistory = 256
)

// Counters are a target's record of what happened to it.
type Counters struct {
	// Runs counts requests that started to run, and Changes those by organisation/idempotency key.
	Runs    int            `json:"runs"`
	Changes map[string]int `json:"changes,omitempty"`
	// Searches counts search requests that arrived, run or not.
	Searches int `json:"searches"`
	Shed     int `json:"shed"`
	Gone     int `json:"gone"`
	Crashes  int `json:"crashes"`
	// Cancelled counts requests whose caller went away before the reply.
	Cancelled int `json:"cancelled"`
	// HighestConcurrency is of running requests.
	HighestConcurrency  int `json:"highest_concurrency"`
	Connections         int `json:"connections"`
	MostConnections     int `json:"most_connections"`
	ConnectionsAccepted int `json:"connections_accepted"`
	ConnectionsRefused  int `json:"connections_refused"`
	// ColdOverloads counts arrivals above what a cold target bears. ColdViolations counts those later than the
	// notice time after the first reply or report that showed the new incarnation.
	ColdOverloads  int `json:"cold_overloads"`
	ColdViolations int `json:"cold_violations"`
	// OutArrivals and DrainArrivals count arrivals while out of service or draining, and the fields with Late
	// those more than LeaveLimit after the start.
	OutArrivals       int `json:"out_arrivals"`
	LateOutArrivals   int `json:"late_out_arrivals"`
	DrainArrivals     int `json:"drain_arrivals"`
	LateDrainArrivals int `json:"late_drain_arrivals"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keys_seen"`
}

type coldStart struct {
	until    time.Time
	requests int
	// shown is when a reply or report first carried the new incarnation.
	shown time.Time
}

type report struct {
	at     time.Time
	status targets.Status
}

// reply is what a target sends, kept for crossed replies.
type reply struct {
	header map[string]string
	body   string
}

// Target emulates one target. Its methods are safe for concurrent use.
type Target struct {
	options TargetOptions
	mux     *http.ServeMux
	server  server

	mu         sync.Mutex
	rng        *rand.Rand
	status     targets.Status
	faults     Faults
	generation int
	cold       *coldStart
	draining   time.Time
	out        time.Time
	down       bool
	closed     bool
	running    int
	present    int // running and waiting
	freed      chan struct{}
	previous   *reply
	history    []report
	counters   Counters
}

// NewTarget returns a target. It serves as a handler, and on a listener of its own after Start.
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
		rng:      rand.New(rand.NewPCG(options.Seed, id.Sum64())),
		freed:    make(chan struct{}),
		counters: Counters{Changes: map[string]int{}},
		server:   server{limit: options.Status.Connections, cost: options.ConnectionCost, conns: map[*conn]struct{}{}},
	}
	t.setStatus(options.Status, time.Now())
	t.mux.HandleFunc("POST "+targetshttp.SearchPath, t.search)
	t.mux.HandleFunc("POST "+targetshttp.ChangePath, t.change)
	t.mux.HandleFunc("GET "+targetshttp.StatusPath, t.report)
	return t
}

// Start listens on loopback and returns the address, which stays the same over crashes.
func (t *Target) Start() (string, error) {
	if err := t.server.start(t); err != nil {
		return "", err
	}
	return t.server.address, nil
}

// ServeHTTP serves the target's protocol.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// setStatus needs t.mu.
func (t *Target) setStatus(s targets.Status, now time.Time) {
	t.status, t.cold, t.draining = s, nil, time.Time{}
	switch s.State {
	case targets.StateCold:
		t.cold = &coldStart{until: now.Add(unlimitedColdTime), requests: math.MaxInt}
	case targets.StateDraining:
		t.draining = now
	case targets.StateWarm:
	}
	t.reported(now)
}

// Serve changes the shards that the target serves.
func (t *Target) serve(replicas []targets.Replica, manifests []targets.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status.Replicas, t.status.Manifests = replicas, manifests
	t.reported(time.Now())
}

// ChangeRuns returns how often each change ran, by organisation/idempotency key.
func (t *Target) ChangeRuns() map[string]int { return t.Counters().Changes }

// Counters returns what happened so far.
func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counters
	out.Changes = maps.Clone(out.Changes)
	t.server.count(&out)
	return out
}

// current returns the true status. It needs t.mu.
func (t *Target) current(now time.Time) targets.Status {
	s := t.status
	if t.cold != nil && (!now.Before(t.cold.until) || t.cold.requests <= 0) {
		t.cold = nil
		t.history = append(t.history, report{at: now, status: t.described()})
	}
	s.State = t.described().State
	s.Load = min(1, float64(t.running)/float64(max(1, s.Slots)))
	return s
}

func (t *Target) described() targets.Status {
	s := t.status
	s.State = targets.StateWarm
	if t.cold != nil {
		s.State = targets.StateCold
	}
	if !t.draining.IsZero() {
		s.State = targets.StateDraining
	}
	return s
}

// reported keeps the status for reports that lag. It needs t.mu.
func (t *Target) reported(now time.Time) {
	t.history = append(t.history, report{at: now, status: t.described()})
	if len(t.history) > maxReportHistory {
		t.history = slices.Delete(t.history, 0, len(t.history)-maxReportHistory)
	}
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	t.mu.Lock()
	status := t.current(now)
	if lag := time.Duration(t.faults.ReportLagMS) * time.Millisecond; lag > 0 {
		for i := len(t.history) - 1; i >= 0; i-- {
			status = t.history[i].status
			if !t.history[i].at.After(now.Add(-lag)) {
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
	t.show(status.Incarnation, now)
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(status)
}

// show notes that the tier can know of the cold start from now on. It needs t.mu.
func (t *Target) show(incarnation string, now time.Time) {
	if t.cold != nil && t.cold.shown.IsZero() && incarnation == t.status.Incarnation {
		t.cold.shown = now
	}
}

func (t *Target) chance(p float64) bool { return p > 0 && t.rng.Float64() < p }

func (t *Target) arrive(r *http.Request, body string, now time.Time) {
	if !t.out.IsZero() {
		t.counters.OutArrivals++
		if now.Sub(t.out) > StopSendingLimit {
			t.counters.LateOutArrivals++
		}
	}
	if !t.draining.IsZero() {
		t.counters.DrainArrivals++
		if now.Sub(t.draining) > StopSendingLimit {
			t.counters.LateDrainArrivals++
		}
	}
	if t.cold != nil && t.present+1 > max(1, t.status.MaxColdRequests) {
		t.counters.ColdOverloads++
		if !t.cold.shown.IsZero() && now.Sub(t.cold.shown) > noticeTime {
			t.counters.ColdViolations++
		}
	}
	if carriesKey(r, body, t.options.Secrets) {
		t.counters.KeysSeen++
	}
}

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

// admitted is one request that the target accepted.
type admitted struct {
	body   string
	status targets.Status
	faults Faults
	work   time.Duration
}

// admit reads the request and waits for a slot. It reports false when the request is over.
func (t *Target) admit(w http.ResponseWriter, r *http.Request, check func(targets.Status) bool) (admitted, bool) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return admitted{}, false
	}
	body, now := string(text), time.Now()
	t.mu.Lock()
	t.arrive(r, body, now)
	a := admitted{body: body, status: t.current(now), faults: t.faults}
	if mark := t.faults.CrashMark; mark != "" && strings.Contains(body, mark) {
		t.run(r)
		t.mu.Unlock()
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if !check(a.status) {
		t.counters.Gone++
		t.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return admitted{}, false
	}
	if t.present >= t.status.Slots+t.options.Queue || t.chance(t.faults.Shed) {
		t.counters.Shed++
		t.show(a.status.Incarnation, now)
		t.mu.Unlock()
		t.identify(w.Header(), a.status)
		w.Header().Set(targetshttp.HeaderRan, targetshttp.RanNo)
		w.WriteHeader(http.StatusServiceUnavailable)
		return admitted{}, false
	}
	t.present++
	for t.running >= t.status.Slots {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			t.mu.Lock()
			t.present--
			t.counters.Cancelled++
			t.mu.Unlock()
			return admitted{}, false
		}
		t.mu.Lock()
	}
	t.running++
	t.run(r)
	t.counters.HighestConcurrency = max(t.counters.HighestConcurrency, t.running)
	a.work = t.duration()
	t.mu.Unlock()
	return a, true
}

// run counts a request that starts to run. It needs t.mu.
func (t *Target) run(r *http.Request) {
	t.counters.Runs++
	if r.URL.Path == targetshttp.ChangePath {
		t.counters.Changes[ChangeKey(r.Header.Get(targetshttp.HeaderOrganisation), r.Header.Get(targetshttp.HeaderIdempotencyKey))]++
	}
}

// ChangeKey is the key of a change in Counters.Changes.
func ChangeKey(organisation, idempotencyKey string) string {
	return organisation + "/" + idempotencyKey
}

// duration chooses how long a request takes. It needs t.mu.
func (t *Target) duration() time.Duration {
	d := float64(t.options.ServiceTime) * (0.5 + t.rng.Float64())
	if t.cold != nil {
		d *= t.options.ColdSlowdown
		t.cold.requests--
	}
	if t.chance(t.faults.Straggle) {
		d += float64(t.faults.StraggleMS) * float64(time.Millisecond)
	}
	return time.Duration(d)
}

func (t *Target) finish(cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.present--
	if cancelled {
		t.counters.Cancelled++
	}
	close(t.freed)
	t.freed = make(chan struct{})
}

func (t *Target) search(w http.ResponseWriter, r *http.Request) {
	snapshot, err := strconv.ParseUint(r.Header.Get(targetshttp.HeaderSnapshot), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shard := targets.Shard(r.Header.Get(targetshttp.HeaderShard))
	t.mu.Lock()
	t.counters.Searches++
	t.mu.Unlock()
	a, ok := t.admit(w, r, func(s targets.Status) bool { return serves(s, shard, targets.Snapshot(snapshot)) })
	if !ok {
		return
	}
	done := wait(r, a.work)
	t.finish(!done)
	out := &reply{header: map[string]string{}, body: Result(shard, targets.Snapshot(snapshot), a.body)}
	for _, h := range []string{targetshttp.HeaderRequestID, targetshttp.HeaderAttempt, targetshttp.HeaderSnapshot, targetshttp.HeaderShard} {
		out.header[h] = r.Header.Get(h)
	}
	t.send(w, r, a, out, done)
}

// Result is the reply of a target to a search, which names all that it depends on.
func Result(shard targets.Shard, snapshot targets.Snapshot, query string) string {
	return fmt.Sprintf("%s@%d:%s", shard, snapshot, query)
}

// Outcome is the reply of a target to a change.
func Outcome(change string) string { return "done:" + change }

func serves(status targets.Status, shard targets.Shard, snapshot targets.Snapshot) bool {
	return slices.ContainsFunc(status.Replicas, func(r targets.Replica) bool {
		return r.Shard == shard && slices.Contains(r.Snapshots, snapshot)
	})
}

func (t *Target) change(w http.ResponseWriter, r *http.Request) {
	a, ok := t.admit(w, r, func(targets.Status) bool { return true })
	if !ok {
		return
	}
	done := wait(r, a.work)
	t.finish(!done)
	out := &reply{header: map[string]string{targetshttp.HeaderRequestID: r.Header.Get(targetshttp.HeaderRequestID)}, body: Outcome(a.body)}
	t.send(w, r, a, out, done)
}

// send writes the reply, with the faults that concern replies.
func (t *Target) send(w http.ResponseWriter, r *http.Request, a admitted, out *reply, done bool) {
	now := time.Now()
	t.mu.Lock()
	late, crossed, twice := t.chance(a.faults.Late), t.chance(a.faults.Cross), t.chance(a.faults.Duplicate)
	sent := out
	if crossed && t.previous != nil {
		sent = t.previous
	}
	t.previous = out
	t.show(a.status.Incarnation, now)
	t.mu.Unlock()
	if late {
		timer := time.NewTimer(time.Duration(a.faults.LateMS) * time.Millisecond)
		defer timer.Stop()
		<-timer.C
	}
	if !done && !late {
		return
	}
	header := w.Header()
	for k, v := range sent.header {
		header.Set(k, v)
	}
	t.identify(header, a.status)
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && twice {
		header.Set("Content-Length", strconv.Itoa(len(sent.body)))
		c.repeat.Store(true)
	}
	_, _ = io.WriteString(w, sent.body)
}

func (t *Target) identify(h http.Header, status targets.Status) {
	h.Set(targetshttp.HeaderIncarnation, status.Incarnation)
	h.Set(targetshttp.HeaderState, string(status.State))
	h.Set(targetshttp.HeaderLoad, strconv.FormatFloat(status.Load, 'f', 2, 64))
}

// wait takes the time, unless the request is cancelled, and reports whether it took all of it.
func wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
