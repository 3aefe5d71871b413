// Package control owns all control state of an instance and the one goroutine that changes it.
//
// State is a pure state machine: Step takes a typed event and the time, and returns typed effects. Loop runs it
// on one goroutine and publishes an immutable Snapshot, which traffic reads without a lock.
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

// Effect is an action that State asks the I/O packages for.
type Effect interface{ effect() }

// Snapshot is what traffic may read of the control state. It is immutable, but for the target statistics and token pools
// that it points to.
type Snapshot struct {
	Document      *document.Document
	List          *document.InstanceList
	Organisations *caller.OrganisationIndex
	Targets       targets.View
	Members       sibling.Members
	TokenPools    map[string]*caller.TokenPool
	// Quarantined holds the requests that are refused since they crash targets, and until when.
	Quarantined map[targets.Fingerprint]time.Time
	// InstanceID is the ID of this instance.
	InstanceID string
	// ChangeMembers lists the instances that take part in remembering changes.
	ChangeMembers sibling.Members
	// TargetsPolled says that every listed target was asked for its status. Before, requests would find no target.
	TargetsPolled bool
	// DocumentHistory and ListHistory are the published texts of the values in force, for siblings that are behind.
	DocumentHistory, ListHistory document.ContentHistory
	// Configured says that a document and a list are in force and that siblings were asked for newer ones.
	Configured bool
	// KeyedRequestsUntil is until when requests with a key may be served; they are checked against the clock at that
	// moment, since a process that was frozen wakes with an old snapshot. Zero means without limit, which State
	// never publishes together with a document.
	KeyedRequestsUntil time.Time
	// RateSharesJoined says that the instance has joined the accounting of rates, or tried for long enough.
	RateSharesJoined bool
	Draining         bool
	// OutOfServiceSince is since when operators have had this instance, or its zone, out of service; zero while in service.
	OutOfServiceSince time.Time
}

// Identity is who this instance is, from its settings.
type Identity struct {
	ID   string
	Zone string
	// StaticRates replaces rate shares by a static split over the listed instances, for comparison.
	StaticRates bool
	// RandomReplica and NoHedge replace the choice of replicas and hedging by a baseline, for comparison.
	RandomReplica bool
	NoHedge       bool
	// Seeds are addresses of siblings to ask while the platform is down and no list is known.
	Seeds []string
}

// State is the control state of one instance. It belongs to one goroutine.
type State struct {
	self     Identity
	rng      *rand.Rand
	document *document.Document
	list     *document.InstanceList
	accounts *caller.OrganisationIndex
	members  sibling.Members
	fleet    *targets.Fleet
	roster   *sibling.Roster
	rates    *rates
	settled  bool
	changes  *sibling.ChangeLog
	spread   *sibling.Disseminator
	draining bool
	outSince time.Time
	noted    belief

	published struct {
		configured bool
		keyedUntil time.Time
	}
	now     time.Time // of the last Step
	effects []Effect
	changed bool
}

const refillInterval = 20 * time.Millisecond

// NewState returns the state of an instance that knows nothing yet. rng chooses siblings.
func NewState(self Identity, rng *rand.Rand) *State {
	return &State{
		self:   self,
		rng:    rng,
		spread: sibling.NewDisseminator(self.ID, self.Zone, self.Seeds, rng),
		fleet:  targets.NewFleet(targets.EntryInstance{ID: self.ID, Zone: self.Zone}, self.targetPolicy()),
		roster: sibling.NewRoster(),
		rates:  newRates(),
		// A process must not take the attempts of an earlier one of the same instance for its own.
		changes: sibling.NewChangeLog(self.ID, fmt.Sprintf("%s/%016x", self.ID, rng.Uint64())),
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

// Step applies one event and whatever is due at now.
func (s *State) Step(e Event, now time.Time) StepResult {
	s.effects, s.changed, s.now = nil, false, now
	s.rates.start(s.self, s.rng, now)
	e.apply(s, now)
	s.tickTargets(now)
	s.rateEffects(s.rates.step(now))
	if settled := s.rates.shares.Joined(now); settled != s.settled {
		s.settled, s.changed = settled, true
	}
	s.rejoin(now)
	wake := now.Add(refillInterval)
	if due := s.spreadStep(sibling.Tick{}, now); due.Before(wake) {
		wake = due
	}
	s.publishSpread()
	s.noteSelf()
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
		DocumentHistory:    s.spread.Current(sibling.Document),
		ListHistory:        s.spread.Current(sibling.InstanceList),
		KeyedRequestsUntil: s.keyedUntil(),
		Organisations:      s.accounts,
		Targets:            s.fleet.View(s.now),
		Quarantined:        s.fleet.Quarantined(),
		Members:            s.members,
		TokenPools:         s.rates.pools(),
		Configured:         s.configured(),
		RateSharesJoined:   s.settled,
		Draining:           s.draining,
		OutOfServiceSince:  s.outSince,
		InstanceID:         s.self.ID,
		ChangeMembers:      s.changes.Members(),
		TargetsPolled:      s.fleet.AllPolled(),
	}
}

// TakeDump asks for a dump of the state. Reply must have room for one value.
type TakeDump struct{ Reply chan<- operator.Dump }

func (e TakeDump) apply(s *State, now time.Time) { e.Reply <- s.dump(now) }

func (s *State) dump(now time.Time) operator.Dump {
	d := operator.Dump{
		Instance: s.self.ID, Zone: s.self.Zone, TakenAt: now,
		Ready:   s.configured() && !s.draining && s.outSince.IsZero(),
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
