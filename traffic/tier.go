// Package traffic serves requests: it composes the decisions of the peers' packages for one request, on the
// goroutines of that request. It reads the control state only through published snapshots.
package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets/targetshttp"
)

// Control is what the tier needs of the control goroutine.
type Control interface {
	Snapshot() *control.Snapshot
	RequestTokens(organisation string)
	BeginChange(key sibling.ChangeKey, body sibling.BodyDigest) (sibling.BeginResult, error)
	FinishChange(r sibling.ChangeRecord) ([]sibling.HandOver, error)
}

// Siblings forwards changes and asks witnesses.
type Siblings interface {
	RunChange(ctx context.Context, to sibling.Member, r sibling.ChangeRequest) (sibling.ChangeReply, error)
	RecordChange(ctx context.Context, to sibling.Member, home string, r sibling.ChangeRecord) (sibling.WitnessResult, error)
	HandOver(ctx context.Context, h sibling.HandOver) ([]sibling.ChangeRecord, error)
}

// QueryTier serves requests of callers. It is safe for concurrent use.
type QueryTier struct {
	control  Control
	siblings Siblings
	targets  *targetshttp.Client
	queue    *queue
	recorder Recorder
	// stepHook is called between the steps of a change. Tests stop the process there.
	stepHook func(step string)
	wasReady atomic.Bool

	mu          sync.Mutex
	draining    bool
	running     int
	lastArrival time.Time
	idle        chan struct{} // closed when draining and nothing runs
}

const (
	shortRetry         = 100 * time.Millisecond
	longRetry          = time.Second
	forwardReplyMargin = 2 * time.Millisecond
)

// New returns a tier that forwards changes to siblings, sends to targets through the client and keeps to the
// limits.
func New(control Control, siblings Siblings, targets *targetshttp.Client, limits caller.QueueLimits) *QueryTier {
	return &QueryTier{
		control: control, siblings: siblings, targets: targets, queue: newQueue(limits), recorder: discard{},
		stepHook: func(string) {}, idle: make(chan struct{}),
	}
}

// SetRecorder has the tier report each request to log. It must be called before the tier is used.
func (t *QueryTier) SetRecorder(log Recorder) { t.recorder = log }

// newRecord starts the record of a request. A request without an ID gets one.
func (t *QueryTier) newRecord(id, service string) *Record {
	if id == "" {
		id = uuid.NewString()
	}
	r := &Record{ID: id, Received: time.Now(), Route: service}
	s := t.control.Snapshot()
	if s.Document != nil {
		r.ConfigVersion = s.Document.Revision
	}
	if s.List != nil {
		r.PlatformRevision = s.List.Revision
	}
	return r
}

// report ends the record of a request.
func (t *QueryTier) report(ctx context.Context, r *Record, refusal *caller.Refusal) {
	r.settle(refusal, ctx.Err() != nil && refusal != nil, time.Now())
	t.recorder.Record(r)
}

// Ready reports whether the instance takes new work. A target that is listed later does not make it unready.
func (t *QueryTier) Ready() bool {
	s := t.control.Snapshot()
	if !s.Configured || !s.RateSharesJoined || s.Draining || !s.OutOfServiceSince.IsZero() {
		return false
	}
	if s.TargetsPolled {
		t.wasReady.Store(true)
	}
	return t.wasReady.Load()
}

// Leaving reports that the instance stops or is out of service, so callers should open their next connection
// elsewhere.
func (t *QueryTier) Leaving() bool {
	s := t.control.Snapshot()
	return s.Draining || !s.OutOfServiceSince.IsZero()
}

// begin counts a request as running, unless new requests are refused.
func (t *QueryTier) begin() *caller.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastArrival = time.Now()
	if t.draining {
		return caller.Refuse(caller.CodeDraining, shortRetry, "the instance is stopping")
	}
	t.running++
	return nil
}

// beginFollowUp counts work that a running request leaves behind. The request must not have ended yet.
func (t *QueryTier) beginFollowUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
}

func (t *QueryTier) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.draining && t.running == 0 {
		close(t.idle)
	}
}

// LastArrival returns when the newest request came, refused ones included.
func (t *QueryTier) LastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastArrival
}

// isDraining reports whether new requests are refused.
func (t *QueryTier) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// Drain refuses new requests. The result is closed when the running ones are done. It may be called once.
func (t *QueryTier) Drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if t.running == 0 {
		close(t.idle)
	}
	return t.idle
}
