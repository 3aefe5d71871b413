// Package routing holds the control state of an instance that forwards requests by an operators' routing: the
// platform's values as far as they are known, the other instances, and what this instance may spend of the limits
// that hold for all of them.
//
// State is a pure state machine: it does no I/O and reads no clock. control/loop runs it on the one control
// goroutine; traffic reads the snapshots that it publishes.
package routing

import (
	"errors"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// ErrStoreRead means that the platform could not be read.
var ErrStoreRead = errors.New("the platform could not be read")

// ErrHistoryGone means that the platform no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the platform has forgotten its history")

// Kind tells the platform's values apart.
type Kind string

// The kinds of values.
const (
	KindRouting Kind = "routing"
	KindTarget  Kind = "target"
	// KindZoneOut takes the targets of a zone out of service while the value exists.
	KindZoneOut Kind = "zone_out"
)

// Change is one of the platform's values as it was written or removed.
type Change struct {
	Kind Kind `json:"kind"`
	// Name is the ID of a target, the name of a zone, or empty.
	Name     string            `json:"name,omitempty"`
	Revision document.Revision `json:"revision"`
	Removed  bool              `json:"removed,omitempty"`
	// Lapsed says that the value was found missing after the platform had been away. If its writer lives, it is
	// written again soon.
	Lapsed bool `json:"lapsed,omitempty"`
	// Routing and Target hold the value; both are nil if it could not be understood.
	Routing *document.Routing     `json:"routing,omitempty"`
	Target  *targets.Registration `json:"target,omitempty"`
}

// Update is a set of changes.
type Update struct {
	// FromRevision and ToRevision say what the update is complete for: the changes after FromRevision up to ToRevision.
	FromRevision, ToRevision document.Revision
	// Full says that values which it does not name do not exist.
	Full    bool
	Changes []Change
}

// GossipMessage is what two instances tell each other. The values that a sibling lacks are in replies only, since a request
// would have to guess what it has.
type GossipMessage struct {
	// MemberStates starts with that of the sender.
	MemberStates []sibling.MemberState
	Update       Update
	Notices      targets.Notices
	// OmitValues says that the sender gets values from another sibling and wants none in the reply.
	OmitValues bool
}

// Bounds are the limits that hold for all instances together, and the times within which changes must take effect.
type Bounds struct {
	// RetryBudgetRatio and RetryBudgetConstant bound the sends of a service beyond the first of each request in ExtraWindow.
	RetryBudgetRatio, RetryBudgetConstant float64
	RetryBudgetWindow                     time.Duration
	// RateOverage and RateSlack are the part and the number by which organisations may exceed their rates in a
	// window; zero is strict. They cover the time until a moved demand is known everywhere.
	RateOverage, RateSlack float64
}

// InstanceConfig is what a State starts from.
type InstanceConfig struct {
	ID, Zone, Address string
	// Regions maps zones to regions.
	Regions map[string]string
	Seeds   []string
	Bounds  Bounds
	// Generation orders the runs of the instance.
	Generation uint64
	// FirstStart says that the whole fleet starts for the first time, some seconds before its callers come.
	FirstStart bool
}

// Event is an input of Step.
type Event interface{ event() }

// Events of the control loop.
type (
	// Tick makes Step look at what is due.
	Tick struct{}
	// StoreRead carries what a read of the platform gave; After is the revision that was asked for.
	StoreRead struct {
		Update Update
		Err    error
	}
	// GossipReceived carries what a sibling told. Reply, if not nil, gets the answer and has room for it.
	GossipReceived struct {
		Message GossipMessage
		Reply   chan<- GossipMessage
	}
	// GossipFailed says that a sibling could not be reached.
	GossipFailed struct {
		Address string
		Err     error
	}
	// TargetConnectionBroken says that a target broke the connection of a request that it may have been running.
	TargetConnectionBroken struct {
		TargetID    string
		Fingerprint targets.Fingerprint
	}
	// TargetConnectionRefused says that a target refuses connections.
	TargetConnectionRefused struct{ TargetID string }
	// TargetMisdirected says that another target answers at the address of a target.
	TargetMisdirected struct{ TargetID string }
	// TargetCold says that a target told that it is cold for so long.
	TargetCold struct {
		TargetID  string
		Remaining time.Duration
	}
	// Reconfigured carries the settings that changed.
	Reconfigured struct {
		Seeds  []string
		Bounds Bounds
	}
	// Leaving says that the instance stops.
	Leaving struct{}
	// TakeDump asks for the state.
	TakeDump struct{ Reply chan<- Dump }
)

func (Tick) event()                    {}
func (StoreRead) event()               {}
func (GossipReceived) event()          {}
func (GossipFailed) event()            {}
func (TargetConnectionBroken) event()  {}
func (TargetConnectionRefused) event() {}
func (TargetMisdirected) event()       {}
func (TargetCold) event()              {}
func (Reconfigured) event()            {}
func (Leaving) event()                 {}
func (TakeDump) event()                {}

// Effect is an output of Step.
type Effect interface{ effect() }

// Effects of the control loop.
type (
	// ReadStore reads the platform: everything if Full, else the changes after After, awaiting them for Wait.
	ReadStore struct {
		Full  bool
		After document.Revision
		Wait  time.Duration
		// Delay is how long to wait before.
		Delay time.Duration
	}
	// SendGossip talks to a sibling.
	SendGossip struct {
		Address string
		Message GossipMessage
	}
	// LogStateChange is a change of what this instance believes, for the log.
	LogStateChange struct {
		Subject string
		Name    string
		Old     string
		New     string
		Source  string
	}
)

func (ReadStore) effect()      {}
func (SendGossip) effect()     {}
func (LogStateChange) effect() {}

// Service is what traffic needs to know of one service. It is immutable but for its budget and the target statistics.
type Service struct {
	Name        string
	Targets     []*targets.Target
	RetryBudget *targets.RetryBudget
}

// Snapshot is the view of the control state that traffic reads. It is immutable but for gates, budgets and target statistics,
// which are safe for concurrent use.
type Snapshot struct {
	// Routing is nil while none is known.
	Routing *document.Routing
	// RoutingSince is when the routing came into force here.
	RoutingSince time.Time
	Services     map[string]*Service
	// RateLimiters admits the requests of organisations, by name.
	RateLimiters map[string]*caller.RateLimiter
	// Regions maps zones to regions.
	Regions map[string]string
	// Quarantined are the requests that crash targets.
	Quarantined map[targets.Fingerprint]time.Time
	// Revision is that of the platform's values.
	Revision    document.Revision
	MemberCount int
	// Ready says that requests can be served.
	Ready bool
}

// Candidates returns the targets of a service that may get new requests.
func (s *Snapshot) Candidates(service string) []*targets.Target {
	if v := s.Services[service]; v != nil {
		return v.Targets
	}
	return nil
}

// RetryBudget returns the budget of extra sends of a service.
func (s *Snapshot) RetryBudget(service string) *targets.RetryBudget {
	if v := s.Services[service]; v != nil {
		return v.RetryBudget
	}
	return noExtra
}

var noExtra = targets.NewRetryBudget(targets.RetryBudgetLimits{Window: time.Second})

// Dump is the state for operators. Each belief comes with its version and age.
type Dump struct {
	ID             string             `json:"id"`
	Zone           string             `json:"zone"`
	Revision       document.Revision  `json:"revision"`
	StoreAge       string             `json:"store_age"`
	ReadsStore     bool               `json:"reading"`
	RoutingVersion document.Revision  `json:"routing_version"`
	Members        []MemberDump       `json:"members"`
	Targets        []TargetDump       `json:"targets"`
	ZonesOut       []string           `json:"zones_out"`
	Shares         map[string]float64 `json:"shares"`
	Quarantined    []string           `json:"refused"`
}

// MemberDump is one sibling in a Dump.
type MemberDump struct {
	ID       string            `json:"id"`
	Zone     string            `json:"zone"`
	Live     bool              `json:"live"`
	Revision document.Revision `json:"have"`
	StoreAge string            `json:"store_age"`
}

// TargetDump is one target in a Dump.
type TargetDump struct {
	ID          string            `json:"id"`
	Service     string            `json:"service"`
	Zone        string            `json:"zone"`
	Address     string            `json:"address"`
	State       string            `json:"state"`
	Revision    document.Revision `json:"revision"`
	Outstanding int               `json:"outstanding"`
	LatencyMs   float64           `json:"latency_ms"`
	Avoided     bool              `json:"avoided"`
}
