// Package traffic serves requests: it applies the decisions of packages caller, sibling, targets and routing to one
// request, on the goroutines of that request. It reads the control state only through published snapshots.
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

// Control gives access to the control goroutine: its published snapshots, the rate tokens and the log of changes.
type Control interface {
	// Snapshot returns the newest control state.
	Snapshot() *control.Snapshot
	// RequestTokens requests that control pull tokens of an organisation from siblings. It does not wait for them.
	RequestTokens(organisation string)
	// BeginChange records a change at this instance as its home, unless an earlier attempt prevents it.
	BeginChange(key sibling.ChangeKey, body sibling.BodyDigest) (sibling.BeginResult, error)
	// FinishChange records the outcome of a change that BeginChange recorded and returns the messages that inform the
	// other instances with a record of it.
	FinishChange(r sibling.ChangeRecord) ([]sibling.HandOver, error)
}

// Siblings sends changes and their records to sibling instances.
type Siblings interface {
	// RunChange sends a change to its home instance and returns the reply. The error is sibling.ErrNotSent if the home
	// instance certainly did not receive it.
	RunChange(ctx context.Context, to sibling.Member, r sibling.ChangeRequest) (sibling.ChangeReply, error)
	// RecordChange requests that the witness records a change of the given home instance.
	RecordChange(ctx context.Context, to sibling.Member, home string, r sibling.ChangeRecord) (sibling.WitnessResult, error)
	// HandOver sends records of changes to another instance.
	HandOver(ctx context.Context, h sibling.HandOver) ([]sibling.ChangeRecord, error)
}

// QueryTier serves the queries and changes of callers. It is safe for concurrent use.
type QueryTier struct {
	control  Control
	siblings Siblings
	targets  *targetshttp.Client
	queue    *admissionQueue
	recorder Recorder
	// stepHook is called between the steps of a change, with the name of the point that the change has reached. Tests use
	// it to stop the process or to cause events there.
	stepHook func(step string)
	wasReady atomic.Bool

	mu          sync.Mutex
	draining    bool
	running     int
	lastArrival time.Time
	idle        chan struct{} // closed when draining is set and running is 0
}

const (
	// shortRetry and longRetry are the retry delays that refusals recommend to callers.
	shortRetry = 100 * time.Millisecond
	longRetry  = time.Second
	// forwardReplyMargin is the part of the timeout of a forwarded change that is reserved for the reply of the home
	// instance to arrive.
	forwardReplyMargin = 2 * time.Millisecond
)

// New returns a tier that forwards changes to siblings, sends requests through the targets client and queues requests
// according to the limits.
func New(control Control, siblings Siblings, targets *targetshttp.Client, limits caller.QueueLimits) *QueryTier {
	return &QueryTier{
		control: control, siblings: siblings, targets: targets, queue: newAdmissionQueue(limits), recorder: discard{},
		stepHook: func(string) {}, idle: make(chan struct{}),
	}
}

// SetRecorder sets the recorder that receives the record of each request. It must be called before the tier is used.
func (t *QueryTier) SetRecorder(recorder Recorder) { t.recorder = recorder }

// newRecord starts the record of a request. It generates an ID if id is empty.
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

// report completes the record of a request and passes it to the recorder.
func (t *QueryTier) report(ctx context.Context, r *Record, refusal *caller.Refusal) {
	r.complete(refusal, ctx.Err() != nil && refusal != nil, time.Now())
	t.recorder.Record(r)
}

// Ready reports whether the instance accepts new requests. It requires that the targets were polled once; targets that
// are listed later do not make the instance unready again.
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

// Leaving reports whether the instance is draining or out of service, so that callers should open their next connection
// to another instance.
func (t *QueryTier) Leaving() bool {
	s := t.control.Snapshot()
	return s.Draining || !s.OutOfServiceSince.IsZero()
}

// begin counts a request as running, or refuses it if the instance is draining.
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

// beginFollowUp counts work that continues after a running request, so that Drain waits for it. It must be called before
// the request ends; end must be called when the work is done.
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

// LastArrival returns the time at which the newest request arrived, including refused requests.
func (t *QueryTier) LastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastArrival
}

// isDraining reports whether Drain was called, after which new requests are refused.
func (t *QueryTier) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// Drain makes the tier refuse new requests. The returned channel is closed when the running requests have ended. Drain
// must be called at most once.
func (t *QueryTier) Drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if t.running == 0 {
		close(t.idle)
	}
	return t.idle
}
