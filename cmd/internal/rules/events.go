// Package rules judges a history of a deployment by the guarantees that operators and callers were given. It sees only what
// callers, targets, the platform's store and the signals to processes show, nothing of the product's own state, and it uses
// no network, so that a recorded history can be judged again.
package rules

import "time"

// Time is a time in a history, counted from its start.
type Time = time.Duration

// Event is something that was seen from outside the instances.
type Event interface{ when() Time }

// RequestSent is a caller's request, of which the last byte was sent.
type RequestSent struct {
	At       Time
	Request  string // ID of the attempt
	Instance string // that the caller is connected to
	// Kept is set if the connection carried an earlier request.
	Kept bool
	// Route is the name of the route that the request is meant for, Key the caller's key.
	Route, Key string
	// Fingerprint is equal for requests with the same path, caller and body.
	Fingerprint string
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts is the number of targets of one service that may run the request.
	MaxAttempts int
	// MinParts is the number of parts that an answer gathered from shards must have, 0 for other routes.
	MinParts int
	// Priority is that of the route, 0 is the most urgent.
	Priority int
	// Variant tells requests apart that differ only in what must not matter, "" for the usual ones.
	Variant string
	// Deadline is how long the caller waits, and Timeout how long the operators let the request wait; 0 means no limit.
	Deadline, Timeout time.Duration
}

// RequestEnded is the end of a request as its caller saw it.
type RequestEnded struct {
	At      Time
	Request string
	// Status is the status of the complete answer, 0 if the connection ended without one.
	Status int
	// Abandoned is set if the caller closed the connection.
	Abandoned bool
	// Foreign is set if the answer belongs to another request.
	Foreign bool
	// Wrong says why a success is not the whole answer, or why the bytes are no answer, "" if nothing is wrong with them: the
	// body is not the target's whole body, or not what the parts that it names make up.
	Wrong string
	// Parts are the parts that a gathered answer names.
	Parts []Part
	// LeavingTarget is the target that said in this answer that it is leaving, "" if none did.
	LeavingTarget string
}

// Part is one part of a gathered answer: the target that signed it, and the request for which it did.
type Part struct{ Target, Request string }

// Arrived is the arrival of a request at a target.
type Arrived struct {
	At                                 Time
	Request, Target, Service, Instance string
	// Organisation is the one that the target was told.
	Organisation string
	// Misdirected is set if the request was meant for another target and was turned away for that reason.
	Misdirected bool
}

// RunBegan means that a target began to run a request.
type RunBegan struct {
	At              Time
	Request, Target string
}

// RunEnd tells how a run ended.
type RunEnd int

// The ends of runs.
const (
	Finished RunEnd = iota // the target answered
	Cut                    // the connection to the target was closed
	BrokeOff               // the target closed the connection or sent no valid answer
	Crashed                // the target crashed because of the request
)

// RunEnded is the end of a run.
type RunEnded struct {
	At              Time
	Request, Target string
	End             RunEnd
	// Failed is set if the target finished with the answer that the request failed.
	Failed bool
}

// Shortage is a time in which demand is above what the targets of all routes can run. Priorities send in their usual
// proportions.
type Shortage struct{ At, Until Time }

// TargetLeaves is the store's acknowledgement of a target's report that it is draining, or of the end of its entry.
type TargetLeaves struct {
	At     Time
	Target string
}

// TargetReady is the store's acknowledgement of a target's report that it is ready.
type TargetReady struct {
	At     Time
	Target string
}

// Rate limits an organisation over all instances together.
type Rate struct{ PerSecond, Burst float64 }

// Configuration is a version of the operators' configuration that was written to the store. Acknowledged is when the store
// acknowledged it; At is when it was sent.
type Configuration struct {
	At, Acknowledged Time
	Version          int
	// Services holds the services that may run a request, by route.
	Services map[string][]string
	// Keys holds the organisations by key.
	Keys map[string]string
	// Rates holds the limits by organisation; those without a limit are absent.
	Rates map[string]Rate
}

// Disruption is something unplanned that happens to the instances in Instances, or to all if it is empty.
type Disruption struct {
	At, Until Time
	Instances []string
	// Target is set if it is the connection of all instances to this target.
	Target string
	// Store is set if the store itself is disrupted.
	Store bool
	Cause string
}

// StoreReturned means that the store was away from At on and came back at Until from a copy of the time Copied. It lost what it
// acknowledged after Copied and until At. Writers write again what was lost, which shows as further events.
type StoreReturned struct{ Copied, At, Until Time }

// Terminated means that an instance was asked to stop (SIGTERM), which is planned.
type Terminated struct {
	At       Time
	Instance string
}

// Started means that a process of an instance was started.
type Started struct {
	At       Time
	Instance string
}

func (e RequestSent) when() Time   { return e.At }
func (e RequestEnded) when() Time  { return e.At }
func (e Arrived) when() Time       { return e.At }
func (e RunBegan) when() Time      { return e.At }
func (e RunEnded) when() Time      { return e.At }
func (e TargetLeaves) when() Time  { return e.At }
func (e TargetReady) when() Time   { return e.At }
func (e Configuration) when() Time { return e.At }
func (e Disruption) when() Time    { return e.At }
func (e StoreReturned) when() Time { return e.At }
func (e Terminated) when() Time    { return e.At }
func (e Started) when() Time       { return e.At }
func (e Shortage) when() Time      { return e.At }

// Bounds are the figures of the rules.
type Bounds struct {
	// Contact is how long an instance must have been undisturbed to count as in touch.
	Contact time.Duration
	// Drain and ConfigApply are the times from an acknowledgement of the store until no request is handled by the earlier value.
	Drain, ConfigApply time.Duration
	// Rollback is the time after the effect of a version in which a request may still be handled by an older one in the same
	// process, eight times that in a process that is disturbed.
	Rollback time.Duration
	// Grace is the time from SIGTERM until the process is killed. LossSlack is the time after its last byte in which a request
	// may still cross the close of its connection.
	Grace, LossSlack time.Duration
	RateWindow       time.Duration
	RateOverage      float64
	RateSlack        float64
	RetryWindow      time.Duration
	RetryRatio       float64
	RetryConstant    float64
	// OverAttempts is how many requests may run at more targets than their route allows.
	OverAttempts int
	// EachRefusal means that refusals of idempotent requests are judged, too.
	EachRefusal bool
}
