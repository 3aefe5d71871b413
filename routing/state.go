package routing

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// StepResult is the outcome of one Step.
type StepResult = loop.StepResult[Effect]

const (
	// tickInterval is the longest time between two steps, so that time limits are checked this often.
	tickInterval = 100 * time.Millisecond
	// shareInterval is the time between two divisions of the organisations' rates.
	shareInterval = 250 * time.Millisecond
	// misdirectedTime is how long a target gets no requests after another target replied from its address.
	misdirectedTime = 2 * time.Second
	// startupTime is the time after the first target becomes known in which further ones count as running for long: the
	// registrations arrive within some reads and rounds of gossip.
	startupTime = 5 * time.Second
)

type targetState struct {
	target *targets.Target
	// draining targets complete their running requests and get no new ones.
	draining         bool
	misdirectedUntil time.Time
	coldUntil        time.Time
	paced            bool // as last logged
}

// State is the control state. It belongs to the control goroutine.
type State struct {
	config  InstanceConfig
	rng     *rand.Rand
	started time.Time
	// withoutValuesSince is the start, or when this instance last found that it lacks values.
	withoutValuesSince time.Time
	lastStep           time.Time
	memberCount        int // at the last division of the rates
	// reportedSharers is the largest number of instances that siblings lately reported to divide the limits among, first
	// reported at sharersReportedAt.
	reportedSharers   int
	sharersReportedAt time.Time

	// liveAddresses holds the addresses of the siblings that were live at membersCheckedAt, by ID.
	liveAddresses    map[string]string
	membersCheckedAt time.Time
	// gossipErrors holds the error of the last gossip with siblings that it failed with, by address.
	gossipErrors map[string]error

	values           *values
	gossip           *sibling.Gossip
	crashes          *targets.CrashLog
	departures       *targets.Departures
	quarantinedCount int
	// blamedAt is when a broken connection was last counted against a request.
	blamedAt map[targets.Fingerprint]time.Time
	// notices are sent with gossip. They are rebuilt at most once in sibling.GossipInterval, last at noticesAt.
	notices   targets.Notices
	noticesAt time.Time

	routing      *document.Routing
	routingSince time.Time
	targets      map[string]*targetState // by ID
	targetsSince time.Time               // when the first target became known
	retryBudgets map[string]*targets.RetryBudget
	limiters     map[string]*limiterState
	stop         *caller.Stop // nil unless the instance is stopping
	// confirmed is set once the values may be used; see confirmValues.
	confirmed bool

	reading          bool              // a read of the store is in flight
	readAfter        document.Position // up to which this instance had all values when that read began
	readAt           time.Time         // when it began
	readIn           document.History  // the latest that was known then
	verification     verification
	historyGone      int  // replies in a row after which a full read is needed
	reader           bool // this instance reads the store, as last logged
	nextRead         time.Time
	storeContact     time.Time // last successful read by this instance
	outsideContact   time.Time // last gossip of this zone with another one
	isolated         bool      // cut off from other zones and unable to serve some route
	storeRecoveredAt time.Time // first successful read after an outage
	readFailures     int       // in a row
	// storeRevision is the revision that the store stated in its last reply here, highestStoreRevision the highest one that it stated.
	storeRevision, highestStoreRevision document.Revision
	// storeAt is the position that the store stated in its last reply here that was believed.
	storeAt         document.Position
	suspicion       suspicion
	readsLeftOut    int       // replies of the store that were not believed
	valuesChangedAt time.Time // of the last value that came into use or out of it
	transfers       *transfers
	lastDivision    time.Time
	// ownDemand is the demand that this instance reports to siblings, as of lastDivision. It is not modified.
	ownDemand  map[string]float64
	changed    bool // the snapshot is out of date
	logEffects []Effect
	targetLog  *targetLog
}

// limiterState is the rate limiter of one organisation with the demand that its limits are derived from.
type limiterState struct {
	limiter  *caller.RateLimiter
	requests int64   // total at the last division
	demand   float64 // smoothed, in requests a second
	// history holds the smoothed demand at the last divisions, that of division n at n modulo its length.
	history   [maxDemandLag + 1]float64
	divisions int
	share     float64 // this instance's fraction of the rate
	// agreedTotal is the demand at all instances, agreedEven the fraction that is divided evenly, and agreedInstances the
	// number of instances, when the states of all members were last up to date; agreedInstances is 0 before that.
	agreedTotal     float64
	agreedEven      float64
	agreedInstances int
	limits          caller.RateLimits
}

// NewState returns the state of an instance that has no values yet.
func NewState(config InstanceConfig, rng *rand.Rand, now time.Time) *State {
	self := sibling.MemberState{ID: config.ID, Zone: config.Zone, Address: config.Address, Generation: config.Generation, Cores: config.Cores, PlatformAge: sibling.NoContact}
	return &State{
		config: config, rng: rng, started: now, withoutValuesSince: now, lastStep: now, values: newValues(), gossip: sibling.NewGossip(self, config.Seeds, rng, now),
		crashes: targets.NewCrashLog(), departures: targets.NewDepartures(), targets: map[string]*targetState{}, retryBudgets: map[string]*targets.RetryBudget{},
		limiters: map[string]*limiterState{}, blamedAt: map[targets.Fingerprint]time.Time{}, gossipErrors: map[string]error{},
		targetLog: newTargetLog(), transfers: newTransfers(rng),
	}
}

// Tick returns the event of a timer.
func (s *State) Tick() Event { return Tick{} }

// Step applies one event and does what is due at now.
func (s *State) Step(e Event, now time.Time) StepResult {
	var result StepResult
	s.lastStep = now
	switch e := e.(type) {
	case StoreRead:
		s.receiveStoreRead(e, now)
	case GossipReceived:
		s.receiveGossip(e, now)
	case GossipFailed:
		// The error is logged only if the sibling leaves the live members, that is if no other instance has had a newer
		// state from it either.
		s.gossipErrors[e.Address] = e.Err
	case ValuesRequested:
		e.Reply <- s.values.updateFor(e)
	case ValuesProgressed:
		s.transfers.progress(e.Address, now)
	case ValuesReceived:
		s.transfers.end(e.Address, !s.values.completeTo.After(e.Update.To), now)
		if !s.plausible(e.Update.To.History) {
			s.logState("values", "", "received", "left out", e.Address+" states "+e.Update.To.String())
			break
		}
		s.applyUpdate(e.Update, "sibling", now)
	case ValuesFailed:
		s.transfers.end(e.Address, false, now)
	case TargetConnectionBroken:
		s.recordBrokenConnection(e, now)
	case TargetConnectionRefused:
		if t := s.targets[e.TargetID]; t != nil {
			s.crashes.RecordTargetLost(e.TargetID, t.target.Incarnation, now)
		}
	case TargetMisdirected:
		s.recordMisdirected(e.TargetID, now)
	case TargetCold:
		s.recordCold(e, now)
	case TargetLeaving:
		s.recordLeaving(e.Target, now)
	case TargetResting:
		s.targetLog.add(targetChange{
			id: e.TargetID, service: s.serviceOf(e.TargetID), old: stateUsed, new: "rests", source: "reply",
			detail: "for " + e.Rest.Round(time.Millisecond).String(),
		})
	case TargetLoadInvalid:
		s.logState(string(KindTarget), e.TargetID, "used", "used, sends load reports that are not valid", "reply")
	case Reconfigured:
		s.config.Bounds = e.Bounds
		s.gossip.SetSeeds(e.Seeds)
		s.lastDivision = time.Time{}
	case Leaving:
		s.stop, s.changed = &e.Stop, true
		s.gossip.Leave(e.Stop.Ends)
	case Drained:
		s.gossip.Release(now)
		s.targetLog.direct = true
	case TakeDump:
		e.Reply <- s.dump(now)
	}
	s.runDue(now, &result)
	result.SnapshotChanged = s.changed
	s.changed = false
	result.Effects = append(result.Effects, s.logEffects...)
	result.Effects = append(result.Effects, s.targetLog.take(now)...)
	s.logEffects = nil
	return result
}

// recordCold records for how long a target is still cold.
func (s *State) recordCold(e TargetCold, now time.Time) {
	t := s.targets[e.TargetID]
	if t == nil || e.Remaining <= 0 {
		return
	}
	if !now.Before(t.coldUntil) && t.target.Stats.ReportsLoad() {
		t.target.Stats.BeginPace("cold again", now)
	}
	t.coldUntil = now.Add(e.Remaining)
	s.changed = true
}

// recordLeaving records that a target replied that it is leaving.
func (s *State) recordLeaving(leaving *targets.Target, now time.Time) {
	s.departures.Record(leaving, now)
	s.logState(string(KindTarget), leaving.ID, "used", "leaving", "reply")
	if t := s.targets[leaving.ID]; t != nil {
		s.departures.Apply(t.target)
	}
}

// logMemberChanges logs the siblings that became live and those that are no longer live.
func (s *State) logMemberChanges(now time.Time) {
	if now.Sub(s.membersCheckedAt) < tickInterval {
		return
	}
	s.membersCheckedAt = now
	live := make(map[string]string, len(s.liveAddresses))
	for m := range s.gossip.EachLive(now) {
		live[m.ID] = m.Address
		if _, known := s.liveAddresses[m.ID]; !known {
			s.changed = true // the owners of groups depend on the live members
			s.logState("member", m.ID, "unknown or unreachable", "live", "gossip")
			delete(s.gossipErrors, m.Address)
		}
	}
	var lost []string
	for id := range s.liveAddresses {
		if _, still := live[id]; !still {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		s.changed = true
		source := "gossip"
		if err := s.gossipErrors[s.liveAddresses[id]]; err != nil {
			source = err.Error()
		}
		s.logState("member", id, "live", "unreachable or leaving", source)
	}
	s.liveAddresses = live
}

// sameCrashWindow is the time within which broken connections of one request count as one: the targets of all shards run
// a sharded request at the same time, and several may crash together for another reason.
const sameCrashWindow = time.Second

func (s *State) recordBrokenConnection(e TargetConnectionBroken, now time.Time) {
	if s.targets[e.TargetID] == nil || now.Sub(s.blamedAt[e.Fingerprint]) < sameCrashWindow {
		return
	}
	maps.DeleteFunc(s.blamedAt, func(_ targets.Fingerprint, at time.Time) bool { return now.Sub(at) >= sameCrashWindow })
	s.blamedAt[e.Fingerprint] = now
	s.crashes.RecordBrokenConnection(e.TargetID, e.Fingerprint, now)
}

// runDue does what is due at now.
func (s *State) runDue(now time.Time, result *StepResult) {
	s.expireTargetMarks(now)
	s.logPaces()
	if s.values.expire(now) {
		s.rebuild(now)
	}
	s.crashes.Tick(now)
	s.departures.Tick(now)
	if n := len(s.crashes.Quarantined()); n != s.quarantinedCount {
		s.logState("requests refused for crashes", "", strconv.Itoa(s.quarantinedCount), strconv.Itoa(n), "crashes")
		s.quarantinedCount, s.changed = n, true
	}
	s.logMemberChanges(now)
	s.confirmValues(now)
	s.divideRates(now)
	s.updateIsolation(now)
	s.gossip.UpdateSelf(s.values.completeTo, s.values.retainedDigest(), s.storeContact, s.outsideContact, s.ownDemand)
	for _, address := range s.gossip.Round(now, s.seeksOutsideContact(now)) {
		result.Effects = append(result.Effects, SendGossip{Address: address, Message: s.buildGossip(now)})
	}
	s.fetchValues(now, result)
	s.readStore(now, result)
	result.WakeAt = now.Add(tickInterval)
	if next := s.gossip.NextRound(); next.Before(result.WakeAt) {
		result.WakeAt = next
	}
}

// expireTargetMarks clears the cold and misdirected marks of targets that have expired.
func (s *State) expireTargetMarks(now time.Time) {
	for _, t := range s.targets {
		if !t.coldUntil.IsZero() && !now.Before(t.coldUntil) {
			t.coldUntil, s.changed = time.Time{}, true
			if s.sentByOwner(t) && !s.gossip.IsOwner(t.target.ID, now) && s.serviceReportsLoad(t.target.Service) {
				// The owner goes on with the pace that the target has reached with it.
				t.target.Stats.BeginPace("no longer cold", now)
			}
		}
		if !t.misdirectedUntil.IsZero() && !now.Before(t.misdirectedUntil) {
			t.misdirectedUntil, s.changed = time.Time{}, true
		}
	}
}

// sentByOwner reports whether only the owner of the target sends to it while it is cold.
func (s *State) sentByOwner(t *targetState) bool {
	if s.routing == nil {
		return false
	}
	service := s.routing.Service(t.target.Service)
	return service != nil && service.ColdRate > 0
}

// serviceReportsLoad reports whether a target of the service has reported its load to this instance.
func (s *State) serviceReportsLoad(service string) bool {
	for _, t := range s.targets {
		if t.target.Service == service && t.target.Stats.ReportsLoad() {
			return true
		}
	}
	return false
}

// logPaces logs the targets whose pace began or ended since the last step. Traffic may do both.
func (s *State) logPaces() {
	for id, t := range s.targets {
		cause, paced := t.target.Stats.Paced()
		if paced == t.paced {
			continue
		}
		t.paced = paced
		if paced {
			s.logState(string(KindTarget), id, "used", "paced", cause)
		} else {
			s.logState(string(KindTarget), id, "paced", "used", "replies")
		}
	}
}

func (s *State) buildGossip(now time.Time) GossipMessage {
	if now.Sub(s.noticesAt) >= sibling.GossipInterval {
		n := s.crashes.TakeNotices(now)
		// A crash notice is repeated in several rounds, so that it reaches all instances although each round reaches two.
		s.notices = targets.Notices{Crashes: append(newestCrashes(s.notices.Crashes), n.Crashes...), Quarantined: n.Quarantined, Departures: s.departures.Notices(now)}
		s.noticesAt = now
	}
	return GossipMessage{MemberStates: s.gossip.MemberStates(now), Notices: s.notices, LimitSharers: s.knownSharers(now)}
}

// maxCrashNotices is the maximum number of earlier crash notices that a message repeats.
const maxCrashNotices = 32

func newestCrashes(c []targets.CrashNotice) []targets.CrashNotice {
	return slices.Clone(c[max(0, len(c)-maxCrashNotices):])
}

func (s *State) receiveGossip(e GossipReceived, now time.Time) {
	s.recordContact(e.Message.MemberStates, now)
	s.gossip.Merge(e.Message.MemberStates, now)
	s.recordReportedSharers(e.Message.LimitSharers, now)
	for _, m := range e.Message.MemberStates[:min(1, len(e.Message.MemberStates))] {
		delete(s.gossipErrors, m.Address)
		if m.CompleteTo.After(s.values.completeTo) {
			s.transfers.informant = m.Address
		}
	}
	s.crashes.ReceiveNotices(e.Message.Notices, now)
	for _, id := range s.departures.Receive(e.Message.Notices.Departures, now) {
		s.logState(string(KindTarget), id, "used", "leaving by hearsay", "sibling")
		if t := s.targets[id]; t != nil {
			s.departures.Apply(t.target)
		}
	}
	if e.Reply != nil {
		e.Reply <- s.buildGossip(now)
	}
}

// serviceOf returns the service of a target, "" if the target is not known.
func (s *State) serviceOf(id string) string {
	if t := s.targets[id]; t != nil {
		return t.target.Service
	}
	return ""
}

// logState logs a change of state. Many changes of targets at once share a line.
func (s *State) logState(subject, name, before, after, source string) {
	if subject == string(KindTarget) {
		s.targetLog.add(targetChange{id: name, service: s.serviceOf(name), old: before, new: after, source: source})
		return
	}
	s.logEffects = append(s.logEffects, LogStateChange{Subject: subject, Name: name, Old: before, New: after, Source: source})
}

func (s *State) recordMisdirected(id string, now time.Time) {
	if t := s.targets[id]; t != nil {
		t.misdirectedUntil = now.Add(misdirectedTime)
		s.logState(string(KindTarget), id, "used", "misdirected", "reply")
		s.changed = true
	}
}

// rebuild derives the routing and the targets from all values.
func (s *State) rebuild(now time.Time) {
	for id := range s.values.entries {
		s.applyValue(id, now)
	}
}

// applyValue derives the routing or the target of one value, which may not be in use any more.
func (s *State) applyValue(id ValueID, now time.Time) {
	s.changed = true
	var c Change
	var changedAt time.Time
	outdated := false
	if e := s.values.entries[id]; e != nil {
		c, _ = e.current(now)
		changedAt, outdated = e.changedAt, e.outdated
	}
	switch {
	case id.Kind == KindRouting && c.Routing != nil && (s.routing == nil || c.Routing.Version.Supersedes(s.routing.Version)):
		s.logRateChanges(s.routing, c.Routing)
		s.routing, s.routingSince = c.Routing, now
		s.lastDivision = time.Time{}
	case id.Kind == KindTarget && c.Target != nil:
		s.putTarget(id.Name, c.Target, changedAt, outdated, now)
	case id.Kind == KindTarget:
		if t := s.targets[id.Name]; t != nil {
			s.crashes.RecordTargetLost(id.Name, t.target.Incarnation, now)
			if s.targetLog.known[id.Name] == stateLapsed {
				s.targetLog.addRegistration(targetChange{id: id.Name, service: t.target.Service, new: stateRemoved, source: sourceExpired})
			}
			delete(s.targets, id.Name)
		}
	}
}

// logRateChanges logs the organisations whose rate or number of keys changes with a routing.
func (s *State) logRateChanges(before, after *document.Routing) {
	text := map[string]string{}
	describe := func(a document.Account) string {
		return strconv.FormatFloat(a.Rate, 'g', -1, 64) + "/s, burst " + strconv.FormatFloat(a.Burst, 'g', -1, 64) + ", " +
			strconv.Itoa(len(a.Keys)) + " keys"
	}
	if before != nil {
		for _, a := range before.Accounts {
			text[a.Name] = describe(a)
		}
	}
	for _, a := range after.Accounts {
		if old, now := text[a.Name], describe(a); old != now {
			s.logState("rate", a.Name, old, now, "routing version "+strconv.FormatUint(uint64(after.Version), 10))
		}
		delete(text, a.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(text)) {
		s.logState("rate", name, text[name], "removed", "routing version "+strconv.FormatUint(uint64(after.Version), 10))
	}
}

// putTarget adds or replaces the target of a registration that changed at since. A new incarnation or address gets new
// statistics; with a new incarnation the earlier one is lost. An outdated registration was written before an earlier change.
func (s *State) putTarget(id string, r *targets.Registration, since time.Time, outdated bool, now time.Time) {
	old := s.targets[id]
	if old != nil && old.target.Incarnation != r.Incarnation {
		s.crashes.RecordTargetLost(id, old.target.Incarnation, now)
	}
	t := &targets.Target{
		ID: id, Service: r.Service, Zone: r.Zone, Address: r.Address, Incarnation: r.Incarnation, Slots: r.Slots,
		Stats: &targets.TargetStats{},
	}
	next := &targetState{target: t, draining: r.Draining}
	if r.ColdFor > 0 {
		next.coldUntil = since.Add(r.ColdFor)
	}
	if s.targetsSince.IsZero() {
		s.targetsSince = now
	}
	if old != nil && old.target.Incarnation == r.Incarnation && old.target.Address == r.Address {
		t.Stats, next.paced = old.target.Stats, old.paced
		next.misdirectedUntil = old.misdirectedUntil
		if old.coldUntil.After(next.coldUntil) {
			next.coldUntil = old.coldUntil
		}
		if old.draining && !r.Draining && !outdated {
			// Any other entry that calls the target ready may have been written before the target said that it leaves.
			s.departures.Cancel(t)
		}
	}
	s.departures.Apply(t)
	if newProcess := old == nil && now.Sub(s.targetsSince) >= startupTime || old != nil && old.target.Stats != t.Stats; newProcess && s.serviceReportsLoad(r.Service) {
		t.Stats.BeginPace("started", now)
	}
	s.targets[id] = next
}

// Snapshot returns the view that traffic reads.
func (s *State) Snapshot() *Snapshot {
	now := s.lastStep
	members := s.limitSharers(now)
	out := &Snapshot{
		RoutingSince: s.routingSince, Services: map[string]*Service{}, RateLimiters: map[string]*caller.RateLimiter{},
		Regions: s.config.Regions, Quarantined: s.crashes.Quarantined(), Position: s.values.completeTo, MemberCount: members,
		Retained:      len(s.values.lostStatements()),
		StoreRevision: s.storeRevision, ReadsLeftOut: s.readsLeftOut, ValuesChangedAt: s.valuesChangedAt,
		Ready: s.routing != nil && s.confirmed && s.stop == nil && !s.isolated, Stop: s.stop,
	}
	if s.routing == nil || !s.confirmed {
		return out
	}
	out.Routing = s.routing
	for i := range s.routing.Services {
		v := &s.routing.Services[i]
		out.Services[v.Name] = &Service{Name: v.Name, RetryBudget: s.retryBudget(v.Name, now)}
	}
	zonesOut := s.zonesOut(now)
	var candidates []sibling.Owner
	if slices.ContainsFunc(s.routing.Routes, func(r document.Route) bool { return r.Sharded() }) {
		candidates = s.ownerCandidates(now)
	}
	owners, isOwner := sibling.StrongOwners(s.config.ID, candidates)
	var gathered map[string]bool
	if isOwner {
		gathered = s.splitShards(candidates)
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		v := out.Services[t.target.Service]
		if s.excluded(t, zonesOut, now) != "" {
			continue
		}
		service := s.routing.Service(v.Name)
		usable := *t.target
		usable.Limit = connectionLimit(service.MaxConnections, members)
		if gathered[t.target.Service] {
			usable.Limit = max(usable.Limit, connectionLimit(service.MaxConnections, ownerSharers*owners))
		}
		if now.Before(t.coldUntil) {
			usable.ColdRate = service.ColdRate * coldRateFraction
		}
		v.Targets = append(v.Targets, &usable)
	}
	for name, l := range s.limiters {
		out.RateLimiters[name] = l.limiter
	}
	out.GatherGroups = s.gatherGroups(out, candidates)
	return out
}

// excluded returns why a target gets no new requests from this instance, "" if it may. s.routing must be set.
func (s *State) excluded(t *targetState, zonesOut map[string]bool, now time.Time) string {
	service := s.routing.Service(t.target.Service)
	switch {
	case service == nil:
		return "its service is not in the routing"
	case t.draining:
		return "draining"
	case zonesOut[t.target.Zone]:
		return "its zone is out of service"
	case now.Before(t.misdirectedUntil):
		return "another target replied from its address"
	case service.ColdRate > 0 && now.Before(t.coldUntil) && !s.gossip.IsOwner(t.target.ID, now):
		return "cold, and another instance sends to it"
	}
	return ""
}

// gatherGroups returns the groups of the shards of each route whose requests this instance splits.
func (s *State) gatherGroups(snapshot *Snapshot, candidates []sibling.Owner) map[string][]sibling.GatherGroup {
	byShards := map[string][]sibling.GatherGroup{} // routes to the same shards have the same groups
	out := map[string][]sibling.GatherGroup{}
	for i := range s.routing.Routes {
		route := &s.routing.Routes[i]
		if !sibling.Splits(len(route.Shards), s.config.Cores) || len(route.Regions) > 0 {
			continue // a body must not leave the regions of its route
		}
		key := strings.Join(route.Shards, " ")
		if byShards[key] == nil {
			byShards[key] = sibling.PlanGroups(s.config.ID, s.config.Zone, route.Shards, snapshot.targetZones, candidates)
		}
		out[route.Name] = byShards[key]
	}
	return out
}

// splitShards returns the shards of the routes whose requests some of the candidates split.
func (s *State) splitShards(candidates []sibling.Owner) map[string]bool {
	out := map[string]bool{}
	for i := range s.routing.Routes {
		route := &s.routing.Routes[i]
		splits := func(o sibling.Owner) bool { return sibling.Splits(len(route.Shards), o.Cores) }
		if len(route.Regions) > 0 || !slices.ContainsFunc(candidates, splits) {
			continue
		}
		for _, shard := range route.Shards {
			out[shard] = true
		}
	}
	return out
}

// targetZones returns the zones of the targets of a service.
func (s *Snapshot) targetZones(service string) []string {
	var out []string
	for _, t := range s.Candidates(service) {
		if !slices.Contains(out, t.Zone) {
			out = append(out, t.Zone)
		}
	}
	return out
}

// ownerCandidates returns the live instances, this one included.
func (s *State) ownerCandidates(now time.Time) []sibling.Owner {
	out := []sibling.Owner{{ID: s.config.ID, Zone: s.config.Zone, Address: s.config.Address, Cores: s.config.Cores}}
	for m := range s.gossip.EachLive(now) {
		out = append(out, sibling.Owner{ID: m.ID, Zone: m.Zone, Address: m.Address, Cores: m.Cores})
	}
	return out
}

const (
	// connectionFraction is the fraction of a target's connections that all instances use together. The rest is for
	// connections of an instance's earlier run that the target has not closed yet.
	connectionFraction = 0.9
	// ownerSharers is by how much the number of strong owners is multiplied where they divide the connections of a target:
	// half of them is left to all other instances, which send to shards only when no owner can be asked.
	ownerSharers = 2
	// defaultConnections is the limit of an instance for a target whose service has no connection limit in the routing.
	defaultConnections = 8
)

// coldRateFraction is the fraction of a cold target's tolerated rate that its owner sends, since two instances may both
// act as owner while their views of the membership differ.
const coldRateFraction = 0.7

// connectionLimit returns the number of connections that this instance may open to a target that accepts connections
// from all members together.
func connectionLimit(connections, members int) int {
	if connections <= 0 {
		return defaultConnections
	}
	return max(1, int(float64(connections)*connectionFraction)/members)
}

func (s *State) zonesOut(now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, e := range s.values.entries {
		if c, ok := e.current(now); ok && c.Kind == KindZoneOut {
			out[c.Name] = true
		}
	}
	return out
}

func (s *State) retryBudget(service string, now time.Time) *targets.RetryBudget {
	b := s.retryBudgets[service]
	if b == nil {
		b = targets.NewRetryBudget(s.retryBudgetLimits(now))
		s.retryBudgets[service] = b
	}
	return b
}

const (
	// budgetFraction is the fraction of the fleet's retry budget that is spent. The rest covers the windows of instances,
	// which begin at different times, and restartFraction.
	budgetFraction = 0.8
	// restartFraction replaces budgetFraction for the constant part of the budget in the first window after the start of
	// an instance, since its earlier run may have spent budgetFraction already. Two restarts of all instances in one
	// window stay within the budget.
	restartFraction = 0.45
	// unknownJoiners is added to the number of instances that the constant part is divided among, for instances that
	// this one does not know yet.
	unknownJoiners = 1
)

func (s *State) retryBudgetLimits(now time.Time) targets.RetryBudgetLimits {
	fraction, instances := budgetFraction, s.limitSharers(now)+unknownJoiners
	if now.Sub(s.started) < s.config.Bounds.RetryBudgetWindow {
		fraction, instances = restartFraction, max(instances, assumedInstances)
	}
	return targets.RetryBudgetLimits{
		Window: s.config.Bounds.RetryBudgetWindow, Ratio: s.config.Bounds.RetryBudgetRatio * budgetFraction,
		Constant: s.config.Bounds.RetryBudgetConstant * fraction / float64(instances),
	}
}

func (s *State) dump(now time.Time) Dump {
	d := Dump{
		ID: s.config.ID, Zone: s.config.Zone, Revision: s.values.completeTo.Revision, History: s.values.completeTo.History, StoreAge: ageText(s.storeContact, now),
		StoreRevision: s.storeRevision, ReadsLeftOut: s.readsLeftOut, ValuesAge: ageText(s.valuesChangedAt, now),
		ReadsStore: s.gossip.ShouldReadPlatform(now, s.readerTimeout()), Shares: map[string]float64{},
	}
	if s.routing != nil {
		d.RoutingVersion = s.routing.Version
	}
	live := s.gossip.Live(now)
	for _, member := range s.gossip.LimitSharers(now) {
		m := MemberDump{ID: member.ID, Zone: member.Zone, Revision: member.CompleteTo.Revision, History: member.CompleteTo.History, StoreAge: "never"}
		m.Live = slices.ContainsFunc(live, func(l sibling.MemberState) bool { return l.ID == member.ID })
		if member.PlatformAge != sibling.NoContact {
			m.StoreAge = member.PlatformAge.String()
		}
		d.Members = append(d.Members, m)
	}
	zonesOut := s.zonesOut(now)
	for id, e := range s.values.entries {
		if id.Kind != KindTarget || e.Target == nil {
			continue
		}
		t := TargetDump{ID: id.Name, Service: e.Target.Service, Zone: e.Target.Zone, Address: e.Target.Address, State: "ready", Revision: e.Revision}
		if e.Target.Draining {
			t.State = "draining"
		}
		if target := s.targets[id.Name]; target != nil {
			stats := target.target.Stats
			t.Outstanding, t.LatencyMs, t.Avoided = stats.Outstanding(), stats.Latency().Seconds()*1000, stats.Avoided(now)
			if s.routing != nil {
				t.Excluded = s.excluded(target, zonesOut, now)
			}
		}
		d.Targets = append(d.Targets, t)
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range s.values.lostStatements() {
		d.Retained = append(d.Retained, strings.TrimSpace(string(id.Kind)+" "+id.Name))
	}
	slices.Sort(d.Retained)
	d.ZonesOut = slices.Sorted(maps.Keys(zonesOut))
	for name, l := range s.limiters {
		d.Shares[name] = l.share
	}
	for p := range s.crashes.Quarantined() {
		d.Quarantined = append(d.Quarantined, p.String())
	}
	slices.Sort(d.Quarantined)
	return d
}

func ageText(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
