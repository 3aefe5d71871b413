// Package control owns all control state of an instance and the one goroutine that changes it.
//
// State is a pure state machine: Step takes a typed event and the time, and returns typed effects. Loop runs it on one
// goroutine and publishes an immutable Snapshot, which traffic reads without a lock.
package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/operator"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// Event is an input of State.Step.
type Event interface {
	apply(s *State, now time.Time)
}

// Effect is an action that State requests; an Executor carries it out.
type Effect interface{ effect() }

// Snapshot is the view of the control state that traffic reads. It is immutable, except for the target statistics and
// token pools that it points to, which are safe for concurrent use.
type Snapshot struct {
	Document      *document.Document
	List          *document.InstanceList
	Organisations *caller.OrganisationIndex
	Targets       targets.View
	Members       sibling.Members
	// TokenPools holds the token pool of each organisation, by name.
	TokenPools map[string]*caller.TokenPool
	// Quarantined holds the requests that are refused because they crash targets, with the end of each quarantine.
	Quarantined map[targets.Fingerprint]time.Time
	// InstanceID is the ID of this instance.
	InstanceID string
	// ChangeMembers lists the instances that record changes as home or witness.
	ChangeMembers sibling.Members
	// TargetsPolled is set once a status read of every listed target has ended. Before that, requests may find no
	// usable target although there are some.
	TargetsPolled bool
	// DocumentHistory and ListHistory hold the published texts of the values in force and the differences that led to
	// them, for siblings with older values.
	DocumentHistory, ListHistory document.ContentHistory
	// Configured is set once a document and a list are in force and enough siblings were checked for newer ones.
	Configured bool
	// KeyedRequestsUntil is the end of the time in which requests with a key may be served. Requests check it against
	// the clock themselves, since a process that was frozen continues with an old snapshot. Zero means no limit; State
	// never publishes zero together with a document.
	KeyedRequestsUntil time.Time
	// RateSharesJoined is set once the instance has joined the accounting of rate shares or the time limit for joining
	// has passed.
	RateSharesJoined bool
	Draining         bool
	// OutOfServiceSince is when operators took this instance or its zone out of service; zero while in service.
	OutOfServiceSince time.Time
}

// Identity is the identity of this instance and the settings that State starts with.
type Identity struct {
	ID   string
	Zone string
	// StaticRates replaces rate shares by a static split over the listed instances, for comparison.
	StaticRates bool
	// RandomReplica and NoHedge replace the choice of replicas and hedging by a baseline, for comparison.
	RandomReplica bool
	NoHedge       bool
	// Seeds are addresses of siblings that values are fetched from until an instance list is known.
	Seeds []string
}

// State is the control state of one instance. It belongs to one goroutine.
type State struct {
	self              Identity
	rng               *rand.Rand
	document          *document.Document
	list              *document.InstanceList
	organisations     *caller.OrganisationIndex
	members           sibling.Members
	fleet             *targets.Fleet
	roster            *sibling.Roster
	rates             *rates
	rateSharesJoined  bool
	changeLog         *sibling.ChangeLog
	disseminator      *sibling.Disseminator
	draining          bool
	outOfServiceSince time.Time
	logged            loggedState

	// published holds the fields of the last published snapshot that change without a new document or list.
	published struct {
		configured         bool
		keyedRequestsUntil time.Time
	}
	lastStep time.Time
	effects  []Effect
	changed  bool // the snapshot is out of date
}

// refillInterval is the time between two refills of the token pools, and the longest time between two steps.
const refillInterval = 20 * time.Millisecond

// NewState returns the state of an instance without a document or list. rng chooses siblings.
func NewState(self Identity, rng *rand.Rand) *State {
	return &State{
		self:         self,
		rng:          rng,
		disseminator: sibling.NewDisseminator(self.ID, self.Zone, self.Seeds, rng),
		fleet:        targets.NewFleet(targets.EntryInstance{ID: self.ID, Zone: self.Zone}, self.targetPolicy()),
		roster:       sibling.NewRoster(),
		rates:        newRates(),
		// The owner differs for each process, so that a process does not treat the attempts of an earlier process of the
		// same instance as its own.
		changeLog: sibling.NewChangeLog(self.ID, fmt.Sprintf("%s/%016x", self.ID, rng.Uint64())),
	}
}

func (i Identity) targetPolicy() targets.Policy {
	p := targets.DefaultPolicy()
	p.RandomReplica = i.RandomReplica
	if i.NoHedge {
		p.HedgeRatio = 0
	}
	return p
}

// Step applies one event and does what is due at now.
func (s *State) Step(e Event, now time.Time) StepResult {
	s.effects, s.changed, s.lastStep = nil, false, now
	s.rates.init(s.self, s.rng, now)
	e.apply(s, now)
	s.tickTargets(now)
	s.emitRateEffects(s.rates.step(now))
	if joined := s.rates.shares.Joined(now); joined != s.rateSharesJoined {
		s.rateSharesJoined, s.changed = joined, true
	}
	s.readmitMembers(now)
	wake := now.Add(refillInterval)
	if due := s.stepDisseminator(sibling.Tick{}, now); due.Before(wake) {
		wake = due
	}
	s.markConfigurationChange()
	s.logOwnState()
	return StepResult{Effects: s.effects, SnapshotChanged: s.changed, WakeAt: wake}
}

// Tick is the event of a timer.
type Tick struct{}

func (Tick) apply(*State, time.Time) {}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Snapshot builds the snapshot that traffic reads.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{
		Document:           s.document,
		List:               s.list,
		DocumentHistory:    s.disseminator.Current(sibling.Document),
		ListHistory:        s.disseminator.Current(sibling.InstanceList),
		KeyedRequestsUntil: s.keyedRequestsUntil(),
		Organisations:      s.organisations,
		Targets:            s.fleet.View(s.lastStep),
		Quarantined:        s.fleet.Quarantined(),
		Members:            s.members,
		TokenPools:         s.rates.pools(),
		Configured:         s.configured(),
		RateSharesJoined:   s.rateSharesJoined,
		Draining:           s.draining,
		OutOfServiceSince:  s.outOfServiceSince,
		InstanceID:         s.self.ID,
		ChangeMembers:      s.changeLog.Members(),
		TargetsPolled:      s.fleet.AllPolled(),
	}
}

// TakeDump requests a dump of the state. Reply must have room for one value.
type TakeDump struct{ Reply chan<- operator.Dump }

func (e TakeDump) apply(s *State, now time.Time) { e.Reply <- s.dump(now) }

func (s *State) dump(now time.Time) operator.Dump {
	d := operator.Dump{
		Instance: s.self.ID, Zone: s.self.Zone, TakenAt: now,
		Ready:   s.configured() && !s.draining && s.outOfServiceSince.IsZero(),
		Targets: s.fleet.Dump(),
	}
	if s.list != nil {
		d.ListRevision = s.list.Revision
	}
	for id, p := range s.roster.Peers() {
		h := p.Heartbeat
		d.Siblings = append(d.Siblings, operator.SiblingDump{
			ID: id, Zone: h.Zone, DocumentRevision: h.DocumentRevision, ListRevision: h.ListRevision, LastHeartbeat: p.ReceivedAt,
		})
	}
	if s.document == nil {
		return d
	}
	d.DocumentRevision = s.document.Revision
	for _, o := range s.document.Organisations {
		od := operator.OrganisationDump{Name: o.Name, Rate: o.Rate, Burst: o.Burst}
		for _, k := range o.Keys {
			od.KeyHashes = append(od.KeyHashes, k.ID+":"+caller.ShortHash(k.SHA256))
		}
		if p := s.rates.pool(o.Name); p != nil {
			od.TokensSpent, od.RequestsWithoutToken = p.Spent(), p.Refused()
		}
		d.Organisations = append(d.Organisations, od)
	}
	return d
}
