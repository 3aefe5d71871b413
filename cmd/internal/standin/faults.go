package standin

import (
	"errors"
	"fmt"
	"time"
)

// Faults are the faults that a target shows while they are set. Probabilities are from 0 to 1 and count for
// each request; times are in milliseconds. The zero value is a healthy target.
type Faults struct {
	// Straggle makes requests take StraggleMS longer, in a slot.
	Straggle   float64 `json:"straggle,omitempty" yaml:"straggle"`
	StraggleMS int     `json:"straggle_ms,omitempty" yaml:"straggle_ms"`
	// Shed refuses requests with 503 and "Drift-Ran: no".
	Shed float64 `json:"shed,omitempty" yaml:"shed"`
	// Late holds replies back for LateMS after the slot is free, even for cancelled requests.
	Late   float64 `json:"late,omitempty" yaml:"late"`
	LateMS int     `json:"late_ms,omitempty" yaml:"late_ms"`
	// Cross answers a request with the reply to the request before it.
	Cross float64 `json:"cross,omitempty" yaml:"cross"`
	// Duplicate writes the reply twice on the connection.
	Duplicate float64 `json:"duplicate,omitempty" yaml:"duplicate"`
	// CrashMark is a text; a request that contains it crashes the target for DownMS.
	CrashMark string `json:"crash_mark,omitempty" yaml:"crash_mark"`
	DownMS    int    `json:"down_ms,omitempty" yaml:"down_ms"`
	// ReportLagMS makes the status report that much older than the truth.
	ReportLagMS int `json:"report_lag_ms,omitempty" yaml:"report_lag_ms"`
	// ReportLoad is reported in place of the load.
	ReportLoad *float64 `json:"report_load,omitempty" yaml:"report_load"`
	// ReportWarm makes the status report "warm" whatever the state is. Replies carry the truth.
	ReportWarm bool `json:"report_warm,omitempty" yaml:"report_warm"`
}

// Action is a change of a target's condition that happens once.
type Action string

// The actions on targets.
const (
	// ActionCold starts a new incarnation without closing connections.
	ActionCold Action = "cold"
	// ActionCrash closes the listener and all connections; the target comes back cold after DownMS.
	ActionCrash Action = "crash"
	// ActionDrain makes the target report "draining". It still runs what it gets.
	ActionDrain Action = "drain"
	// ActionUndrain ends ActionDrain.
	ActionUndrain Action = "undrain"
	// ActionSilence makes all open connections silent for good.
	ActionSilence Action = "silence"
	// ActionStop closes the listener and all connections for good.
	ActionStop Action = "lose"
	// ActionOutOfService notes that operators took the target out of service, so that arrivals are counted.
	ActionOutOfService Action = "out"
	// ActionInService ends ActionOut.
	ActionInService Action = "in"
)

// ErrUnknownAction means that an action does not exist.
var ErrUnknownAction = errors.New("unknown action")

// defaultDown is how long a crashed target is away when DownMS is not set.
const defaultDown = 300 * time.Millisecond

// Do performs the action.
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

// SetFaults replaces the faults that the target shows.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// BeginColdStart starts a new incarnation that is cold. Connections stay open.
func (t *Target) BeginColdStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turnCold(time.Now())
}

// turnCold needs t.mu.
func (t *Target) turnCold(now time.Time) {
	t.generation++
	t.status.Incarnation = fmt.Sprintf("%s/%d", t.options.ID, t.generation)
	t.cold = &coldStart{until: now.Add(t.options.ColdTime), requests: t.options.ColdRequests}
	t.reported(now)
}

// SetDraining switches whether the target reports that it is draining.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.draining = time.Time{}
	if on {
		t.draining = now
	}
	t.reported(now)
}

// SetOutOfService notes whether operators took the target out of service, from now on.
func (t *Target) SetOutOfService(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = time.Time{}
	if on {
		t.out = time.Now()
	}
}

// SilenceConnections makes all connections that are open now silent for good; new ones work.
func (t *Target) SilenceConnections() { t.server.silence() }

// Crash closes the listener and all connections. The target comes back cold, with a new incarnation.
func (t *Target) Crash() {
	t.mu.Lock()
	down := time.Duration(t.faults.DownMS) * time.Millisecond
	if down == 0 {
		down = defaultDown
	}
	if t.down || t.closed {
		t.mu.Unlock()
		return
	}
	t.down = true
	t.counters.Crashes++
	t.mu.Unlock()
	t.server.stop()
	time.AfterFunc(down, t.comeBack)
}

// relistenInterval is how often a crashed target tries to get its port back, which another socket of this
// machine may use for a moment.
const relistenInterval = 20 * time.Millisecond

func (t *Target) comeBack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	// The server starts under the lock, so that no request sees the target before it is cold.
	if err := t.server.start(t); err != nil {
		time.AfterFunc(relistenInterval, t.comeBack)
		return
	}
	t.down = false
	t.turnCold(time.Now())
}

// Close stops the target for good.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.server.stop()
}
