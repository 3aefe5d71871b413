// Package routing holds the control state of an instance that forwards requests according to the operators' routing:
// the newest known values of the platform's store, the membership of sibling instances, and this instance's part of
// the limits that hold for the whole fleet.
//
// State is a pure state machine: it does no I/O and reads no clock. control/loop runs it on the one control
// goroutine and publishes snapshots, which traffic reads.
package routing

import (
	"errors"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// ErrStoreRead means that a read of the platform's store failed or its reply was invalid.
var ErrStoreRead = errors.New("platform store read failed")

// ErrHistoryGone means that the platform's store no longer keeps the changes after the requested revision, or keeps more than a reply
// may hold. A full read is needed.
var ErrHistoryGone = errors.New("platform store no longer keeps the requested change history")

// Kind is the kind of a value in the platform's store.
type Kind string

// The kinds of values.
const (
	KindRouting Kind = "routing"
	KindTarget  Kind = "target"
	// KindZoneOut takes the targets of a zone out of service while the value exists.
	KindZoneOut Kind = "zone_out"
)

// Change is the write or removal of one value in the platform's store.
type Change struct {
	Kind Kind `json:"kind"`
	// Name is the ID of a target, the name of a zone, or empty.
	Name string `json:"name,omitempty"`
	// Revision is that of the store, within one of its histories.
	Revision document.Revision `json:"revision"`
	History  document.History  `json:"history,omitzero"`
	Removed  bool              `json:"removed,omitempty"`
	// Lapsed marks the removal of a target that may only be temporary: its registration was removed, or was missing from a full
	// read, after an outage of the platform, in which registrations expire. A live target registers again soon.
	Lapsed bool `json:"lapsed,omitempty"`
	// Retained marks what holds although the store, which has returned from an older copy, shows what was before or nothing. A zone that is
	// put back into service in a later history is marked too, since that ends what siblings may retain from an earlier one.
	Retained bool `json:"retained,omitempty"`
	// Origin is the position at which a retained statement was made, in a history that the store has left.
	Origin document.Position `json:"origin,omitzero"`
	// Routing and Target hold the value; both are nil if the value is invalid.
	Routing *document.Routing     `json:"routing,omitempty"`
	Target  *targets.Registration `json:"target,omitempty"`
	// Differences lead to Routing from the version that the receiver of an update has, or from nothing. They are empty if only the
	// whole routing is known.
	Differences []document.RoutingDifference `json:"-"`
}

// ValueID identifies a value of the platform's store.
type ValueID struct {
	Kind Kind
	// Name is that of the value's changes.
	Name string
}

// ID returns the identity of the value.
func (c *Change) ID() ValueID { return ValueID{c.Kind, c.Name} }

// At returns the position of the change.
func (c *Change) At() document.Position {
	return document.Position{History: c.History, Revision: c.Revision}
}

// Update is a set of changes.
type Update struct {
	// The update contains every change after From up to and including To. A full one may lack removals, and may lead to a later history.
	From, To document.Position
	// Full is set if the update names every existing value, in Changes or in Unchanged: a value that it does not name does not exist.
	Full    bool
	Changes []Change
	// Unchanged names the existing values of a full update that were last written up to From. The receiver has them, unless it knows them in
	// another version than that of UnchangedAt, which holds their positions in the same order if the update leads to another history.
	Unchanged   []ValueID
	UnchangedAt []document.Position
	// Known is the position in the history of From up to which the sender knew every change when it learned that the history had ended. It is zero for
	// an update of the store, which has lost changes.
	Known document.Position
	// Lapsed is set if a target that a full update does not name may be missing for a short time only: the platform has just
	// returned from an outage, in which registrations expire.
	Lapsed bool
	// EncodedBytes is the size of the changes as a sibling sent them, 0 for an update of this instance or the platform.
	EncodedBytes int
}

// GossipMessage is the content of a gossip request or reply between two instances. Values are fetched apart from it, from a sibling
// whose state shows that it has newer ones.
type GossipMessage struct {
	// MemberStates starts with the state of the sender.
	MemberStates []sibling.MemberState
	Notices      targets.Notices
	// LimitSharers is the number of instances that share the fleet's limits as far as the sender knows, itself included; 0 in a
	// message of an older process.
	LimitSharers int
}

// Bounds are limits that hold for all instances together, with their tolerances.
type Bounds struct {
	// In any RetryBudgetWindow, the retries and hedged sends of a service, over all instances, are at most
	// RetryBudgetRatio times its requests plus RetryBudgetConstant.
	RetryBudgetRatio, RetryBudgetConstant float64
	RetryBudgetWindow                     time.Duration
	// RateOverage is the fraction and RateSlack the number of requests by which an organisation may exceed what its rate
	// and burst allow in a window; with zero for both the rate is strict. The tolerance covers the time until every
	// instance knows that demand has moved.
	RateOverage, RateSlack float64
	// ChangeLimit is the time from the platform's acknowledgement of a change of its values until the change must be in force
	// at each instance that reaches the platform, 0 if there is no such limit.
	ChangeLimit time.Duration
}

// InstanceConfig is the identity and the initial settings of an instance.
type InstanceConfig struct {
	ID, Zone, Address string
	// Regions maps zones to regions.
	Regions map[string]string
	// Seeds are addresses of siblings, which may be stale.
	Seeds  []string
	Bounds Bounds
	// Generation rises with each start of the instance.
	Generation uint64
	// Cores is the part of a processor core that the instance has, 0 if unknown.
	Cores float64
	// FirstStart is set if the whole fleet starts for the first time, some seconds before its callers send requests.
	FirstStart bool
}

// Event is an input of Step.
type Event interface{ event() }

// Events of the control loop.
type (
	// Tick is the event of a timer: Step does only what is due.
	Tick struct{}
	// StoreRead is the outcome of a ReadStore effect.
	StoreRead struct {
		Update Update
		Err    error
		// Reconnected means that the read used a new connection, so that the store may have been away since the read before.
		Reconnected bool
	}
	// GossipReceived carries a gossip request or reply of a sibling. Reply is nil for a gossip reply; for a request it
	// receives this instance's reply and must have room for one value.
	GossipReceived struct {
		Message GossipMessage
		Reply   chan<- GossipMessage
	}
	// GossipFailed reports a gossip request that failed.
	GossipFailed struct {
		Address string
		Err     error
	}
	// ValuesRequested asks for the changes that a sibling lacks, which has all values up to After, a version of the routing, 0
	// if it needs the whole one, and the retained statements of a digest. Reply must have room for one value.
	ValuesRequested struct {
		After          document.Position
		RoutingVersion document.Revision
		Retained       uint64
		// AcceptsUnchanged is false if the sibling is an older process, which needs every value in a full update.
		AcceptsUnchanged bool
		Reply            chan<- Update
	}
	// ValuesProgressed reports that a FetchValues effect goes on.
	ValuesProgressed struct{ Address string }
	// ValuesReceived is the outcome of a FetchValues effect.
	ValuesReceived struct {
		Address string
		Update  Update
	}
	// ValuesFailed reports a FetchValues effect that failed.
	ValuesFailed struct {
		Address string
		Err     error
	}
	// TargetConnectionBroken reports that the connection to a target broke while the target may have been running a
	// request.
	TargetConnectionBroken struct {
		TargetID    string
		Fingerprint targets.Fingerprint
	}
	// TargetConnectionRefused reports that a target refuses connections.
	TargetConnectionRefused struct{ TargetID string }
	// TargetMisdirected reports that a reply from the address of this target came from another target.
	TargetMisdirected struct{ TargetID string }
	// TargetCold reports that a reply of a target stated how much longer the target is warming up.
	TargetCold struct {
		TargetID  string
		Remaining time.Duration
	}
	// TargetLeaving reports that a target said in a reply that it is leaving. Target is the view of it that the request
	// was sent by.
	TargetLeaving struct{ Target *targets.Target }
	// TargetResting reports that a target refused a request and wants no further ones for a time.
	TargetResting struct {
		TargetID string
		Rest     time.Duration
	}
	// TargetLoadInvalid reports that a target sent its first load report that is not valid.
	TargetLoadInvalid struct{ TargetID string }
	// Reconfigured carries the settings that can change without a restart.
	Reconfigured struct {
		Seeds  []string
		Bounds Bounds
	}
	// Leaving begins the planned stop: the instance reports unready and announces by gossip that it leaves.
	Leaving struct{ Stop caller.Stop }
	// Drained reports, during a planned stop, that the instance admits no more requests. The others may divide its part of the
	// limits.
	Drained struct{}
	// TakeDump requests a dump of the state. Reply must have room for one value.
	TakeDump struct{ Reply chan<- Dump }
)

func (Tick) event()                    {}
func (StoreRead) event()               {}
func (GossipReceived) event()          {}
func (GossipFailed) event()            {}
func (ValuesRequested) event()         {}
func (ValuesProgressed) event()        {}
func (ValuesReceived) event()          {}
func (ValuesFailed) event()            {}
func (TargetConnectionBroken) event()  {}
func (TargetConnectionRefused) event() {}
func (TargetMisdirected) event()       {}
func (TargetCold) event()              {}
func (TargetLeaving) event()           {}
func (TargetResting) event()           {}
func (TargetLoadInvalid) event()       {}
func (Reconfigured) event()            {}
func (Leaving) event()                 {}
func (Drained) event()                 {}
func (TakeDump) event()                {}

// Effect is an action that State requests; the caller of Step executes it.
type Effect interface{ effect() }

// Effects of the control loop.
type (
	// ReadStore reads the platform's store: all values if Full, else the changes after the revision of After, for which the store
	// may wait up to Wait.
	ReadStore struct {
		Full  bool
		After document.Position
		// Overlap is the number of revisions up to After whose changes are read again, at most that of After.
		Overlap document.Revision
		Wait    time.Duration
		// Delay is the time to wait before the read.
		Delay time.Duration
	}
	// SendGossip sends a gossip request to a sibling.
	SendGossip struct {
		Address string
		Message GossipMessage
	}
	// FetchValues fetches the values that this instance lacks from a sibling.
	FetchValues struct {
		Address string
		// After is the position up to which this instance has all values, and Routing its newest routing, nil if it has none.
		After   document.Position
		Routing *document.Routing
		// Retained is the digest of the statements that this instance retains.
		Retained uint64
		// Self is the state of this instance, which an older process is asked with.
		Self sibling.MemberState
	}
	// LogStateChange logs a change of the state that this instance assumes for itself, a sibling, a target or the
	// platform.
	LogStateChange struct {
		Subject string
		Name    string
		// Service is the service of a target, empty for other subjects.
		Service string
		Old     string
		New     string
		Source  string
	}
	// LogTargetChanges logs changes of many targets in one line.
	LogTargetChanges struct {
		// Count is the number of changes, Held the time from the first one to the line.
		Count int
		Held  time.Duration
		// Groups holds the changes by kind, the most frequent first. Others is the number of changes of further kinds.
		Groups []TargetChangeGroup
		Others int
	}
)

// TargetChangeGroup counts the changes of targets with the same old and new states and source.
type TargetChangeGroup struct {
	Old, New, Source string
	// FirstRevision and LastRevision are the lowest and highest revision of the changed values, 0 if the changes are not those
	// of values.
	FirstRevision, LastRevision document.Revision
	Count                       int
	// Services counts the changes by service, the most frequent first. OtherServices is the number of services left out.
	Services      []ServiceCount
	OtherServices int
	// IDs names the first few of the targets.
	IDs []string
}

// ServiceCount is the number of changes of targets of one service.
type ServiceCount struct {
	Service string
	Count   int
}

func (ReadStore) effect()      {}
func (SendGossip) effect()     {}
func (FetchValues) effect()    {}
func (LogStateChange) effect() {}

func (LogTargetChanges) effect() {}

// Service is the part of a Snapshot for one service. It is immutable except for its budget and the target
// statistics, which are safe for concurrent use.
type Service struct {
	Name        string
	Targets     []*targets.Target
	RetryBudget *targets.RetryBudget
}

// Snapshot is the view of the control state that traffic reads. It is immutable except for rate limiters, budgets and
// target statistics, which are safe for concurrent use.
type Snapshot struct {
	// Routing is nil until the first routing is in force and confirmed.
	Routing *document.Routing
	// RoutingSince is when the routing came into force at this instance.
	RoutingSince time.Time
	Services     map[string]*Service
	// RateLimiters holds the rate limiter of each organisation, by name.
	RateLimiters map[string]*caller.RateLimiter
	// Regions maps zones to regions.
	Regions map[string]string
	// Quarantined holds the requests that are refused because they crash targets, with the end of each quarantine.
	Quarantined map[targets.Fingerprint]time.Time
	// Position is the position of the store up to which this instance has every change.
	Position document.Position
	// Retained is the number of statements that hold although the store has lost them.
	Retained int
	// StoreRevision is the revision that the store stated in its last reply to this instance, 0 if there was none. ReadsLeftOut counts the
	// replies that were not believed.
	StoreRevision document.Revision
	ReadsLeftOut  int
	// ValuesChangedAt is when a value last came into use or out of it.
	ValuesChangedAt time.Time
	// GatherGroups holds, by route, the groups into which this instance splits the shards of a request. Routes whose shards
	// it all sends to itself are absent.
	GatherGroups map[string][]sibling.GatherGroup
	// MemberCount is the number of instances that limits are divided among, this one included.
	MemberCount int
	// Ready is set while this instance can serve requests: a routing is in force, and the instance is neither
	// stopping nor cut off from other zones.
	Ready bool
	// Stop is the plan of the instance's planned stop, nil if it is not stopping.
	Stop *caller.Stop
}

// Candidates returns the targets of a service that may get new requests.
func (s *Snapshot) Candidates(service string) []*targets.Target {
	if v := s.Services[service]; v != nil {
		return v.Targets
	}
	return nil
}

// RetryBudget returns the retry budget of a service; it is empty for an unknown service.
func (s *Snapshot) RetryBudget(service string) *targets.RetryBudget {
	if v := s.Services[service]; v != nil {
		return v.RetryBudget
	}
	return zeroRetryBudget
}

var zeroRetryBudget = targets.NewRetryBudget(targets.RetryBudgetLimits{Window: time.Second})

// Dump is the control state as operators see it.
type Dump struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Revision is the store revision up to which this instance has every change, and History the history that it belongs to.
	Revision document.Revision `json:"revision"`
	History  document.History  `json:"history,omitzero"`
	// Retained names the values of which a statement holds although the store has lost it.
	Retained []string `json:"retained,omitempty"`
	// StoreRevision is the revision that the store stated in its last reply to this instance, 0 if there was none.
	StoreRevision document.Revision `json:"store_revision"`
	// ReadsLeftOut counts the store's replies that were not believed.
	ReadsLeftOut int `json:"reads_left_out"`
	// ValuesAge is the time since a value last came into use or out of it, as a Go duration, or "never".
	ValuesAge string `json:"values_age"`
	// StoreAge is the time since this instance last reached the platform, as a Go duration, or "never".
	StoreAge string `json:"store_age"`
	// ReadsStore is set if this instance is the one that reads the platform's store for its zone.
	ReadsStore     bool              `json:"reading"`
	RoutingVersion document.Revision `json:"routing_version"`
	Members        []MemberDump      `json:"members"`
	Targets        []TargetDump      `json:"targets"`
	ZonesOut       []string          `json:"zones_out"`
	// Shares is this instance's fraction of each organisation's rate, by name.
	Shares map[string]float64 `json:"shares"`
	// Quarantined lists the fingerprints of requests that are refused because they crash targets.
	Quarantined []string `json:"refused"`
}

// MemberDump is one sibling in a Dump.
type MemberDump struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Live bool   `json:"live"`
	// Revision is the store revision up to which the sibling has every change, and History the history that it belongs to.
	Revision document.Revision `json:"have"`
	History  document.History  `json:"history,omitzero"`
	// StoreAge is the time since the sibling last reached the platform, as a Go duration, or "never".
	StoreAge string `json:"store_age"`
}

// TargetDump is one target in a Dump. State is "ready" or "draining".
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
	// Excluded says why this instance sends no new requests to the target, empty if it does.
	Excluded string `json:"excluded,omitempty"`
}
