package standin

import (
	"errors"
	"fmt"
	"time"
)

// Faults are the faults that a target emulates. The float fields other than ReportLoad are probabilities from 0
// to 1, drawn for each request; times are in milliseconds. The zero value is a healthy target.
type Faults struct {
	// Straggle makes requests occupy their slot StraggleMS longer.
	Straggle   float64 `json:"straggle,omitempty" yaml:"straggle"`
	StraggleMS int     `json:"straggle_ms,omitempty" yaml:"straggle_ms"`
	// Shed refuses requests with 503 and "Drift-Ran: no".
	Shed float64 `json:"shed,omitempty" yaml:"shed"`
	// Late delays replies by LateMS after the slot is released, and sends them even for cancelled requests.
	Late   float64 `json:"late,omitempty" yaml:"late"`
	LateMS int     `json:"late_ms,omitempty" yaml:"late_ms"`
	// Cross answers a request with the reply to the previous request.
	Cross float64 `json:"cross,omitempty" yaml:"cross"`
	// Duplicate writes the reply twice on the connection.
	Duplicate float64 `json:"duplicate,omitempty" yaml:"duplicate"`
	// CrashMark is a text that crashes the target for DownMS if a request body contains it.
	CrashMark string `json:"crash_mark,omitempty" yaml:"crash_mark"`
	DownMS    int    `json:"down_ms,omitempty" yaml:"down_ms"`
	// ReportLagMS makes the target report the status that it had this long ago.
	ReportLagMS int `json:"report_lag_ms,omitempty" yaml:"report_lag_ms"`
	// ReportLoad is reported in place of the actual load.
	ReportLoad *float64 `json:"report_load,omitempty" yaml:"report_load"`
	// ReportWarm makes the status report "warm" whatever the state is. Replies carry the actual state.
	ReportWarm bool `json:"report_warm,omitempty" yaml:"report_warm"`
}

// Action is a one-time operation on a target, in contrast to Faults, which stay set.
type Action string

// The actions on targets.
const (
	// ActionCold starts a new, cold incarnation without closing connections.
	ActionCold Action = "cold"
	// ActionCrash closes the listener and all connections; the target restarts cold after DownMS.
	ActionCrash Action = "crash"
	// ActionDrain makes the target report "draining". It still runs the requests that arrive.
	ActionDrain Action = "drain"
	// ActionUndrain ends ActionDrain.
	ActionUndrain Action = "undrain"
	// ActionSilence makes all open connections silent until they are closed.
	ActionSilence Action = "silence"
	// ActionStop closes the listener and all connections permanently.
	ActionStop Action = "lose"
	// ActionOutOfService marks the target as taken out of service by operators, so that it counts the requests
	// that still arrive.
	ActionOutOfService Action = "out"
	// ActionInService ends ActionOutOfService.
	ActionInService Action = "in"
)

// ErrUnknownAction is returned for an action that does not exist.
var ErrUnknownAction = errors.New("unknown action")

// defaultDownTime is the time from a crash to the restart if DownMS is not set.
const defaultDownTime = 300 * time.Millisecond

// Do performs the action. It returns ErrUnknownAction if the action does not exist.
func (t *Target) Do(a Action) error {
	switch a {
	case ActionCold:
		t.BeginColdStart()
	case ActionCrash:
		t.Crash()
	case ActionDrain:
		t.SetDraining(true)
	case ActionUndrain:
		t.SetDraining(false)
	case ActionSilence:
		t.SilenceConnections()
	case ActionStop:
		t.Close()
	case ActionOutOfService:
		t.SetOutOfService(true)
	case ActionInService:
		t.SetOutOfService(false)
	default:
		return fmt.Errorf("%w: %q", ErrUnknownAction, a)
	}
	return nil
}

// SetFaults replaces the faults that the target emulates.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// BeginColdStart starts a new, cold incarnation. Connections stay open.
func (t *Target) BeginColdStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginColdStartLocked(time.Now())
}

// beginColdStartLocked is BeginColdStart for callers that hold t.mu.
func (t *Target) beginColdStartLocked(now time.Time) {
	t.generation++
	t.status.Incarnation = fmt.Sprintf("%s/%d", t.options.ID, t.generation)
	t.cold = &coldStart{endsAt: now.Add(t.options.ColdTime), requestsLeft: t.options.ColdRequests}
	t.recordReport(now)
}

// SetDraining sets whether the target reports that it is draining.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.drainingSince = time.Time{}
	if on {
		t.drainingSince = now
	}
	t.recordReport(now)
}

// SetOutOfService sets whether the target counts arrivals as sent to a target out of service. It does not change
// how the target serves them.
func (t *Target) SetOutOfService(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outSince = time.Time{}
	if on {
		t.outSince = time.Now()
	}
}

// SilenceConnections makes the connections that are open now silent until they are closed: the target neither
// reads requests from them nor replies. New connections work.
func (t *Target) SilenceConnections() { t.server.silenceConnections() }

// Crash closes the listener and all connections. The target restarts after DownMS as a new, cold incarnation.
// Crash does nothing while the target is down or after Close.
func (t *Target) Crash() {
	t.mu.Lock()
	downTime := time.Duration(t.faults.DownMS) * time.Millisecond
	if downTime == 0 {
		downTime = defaultDownTime
	}
	if t.down || t.closed {
		t.mu.Unlock()
		return
	}
	t.down = true
	t.counters.Crashes++
	t.mu.Unlock()
	t.server.stop()
	time.AfterFunc(downTime, t.restart)
}

// relistenInterval is the time between a crashed target's attempts to listen on its port again, which another
// socket of the machine may occupy briefly.
const relistenInterval = 20 * time.Millisecond

// restart listens again after a crash and begins a cold start. It retries while the port is in use.
func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	// The server starts while t.mu is held, so that no request is handled before the target is cold.
	if err := t.server.start(t); err != nil {
		time.AfterFunc(relistenInterval, t.restart)
		return
	}
	t.down = false
	t.beginColdStartLocked(time.Now())
}

// Close stops the target permanently.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.server.stop()
}
