package routing

import (
	"cmp"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
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
	// tickInterval is the time between two looks at what is due.
	tickInterval = 100 * time.Millisecond
	// storeWait is how long a read may wait for changes. A silent platform is noticed after this time and a reply
	// limit; the platform prices each read.
	storeWait = 2 * time.Second
	// readPause and, for each member, readPauseEach are the time between two reads, which gathers changes that come in
	// quick succession: a larger fleet has more targets, and is given more time until changes are in force.
	readPause     = 250 * time.Millisecond
	readPauseEach = 5 * time.Millisecond
	// retryRead is the time before a failed read is repeated.
	retryRead = 300 * time.Millisecond
	// readerLimit is how long ago the reader of a zone may have reached the platform before another one reads too:
	// one waiting read, its reply and a round of gossip.
	readerLimit = storeWait + 1200*time.Millisecond
	// outage is after how long without contact a return of the platform may show lapsed entries.
	outage = 1500 * time.Millisecond
	// lapseNotice is how long after its return the platform may still remove entries that lapsed.
	lapseNotice = 2500 * time.Millisecond
	// shareInterval is the time between two divisions of the rates.
	shareInterval = 250 * time.Millisecond
	// misdirectedTime is how long a target is left out after another one answered at its address.
	misdirectedTime = 2 * time.Second
)

type targetState struct {
	target *targets.Target
	// draining targets finish what they have and get nothing new.
	draining    bool
	misdirected time.Time // until
	coldUntil   time.Time
}

// State is the control state. It belongs to the control goroutine.
type State struct {
	id      InstanceConfig
	rng     *rand.Rand
	started time.Time
	at      time.Time // of the last Step
	members int       // of the last division

	// live holds the addresses of the siblings that were live when they were last looked at, by ID.
	live   map[string]string
	looked time.Time
	// unreached holds the last error of exchanges with siblings, by address.
	unreached map[string]error

	values   *values
	gossip   *sibling.Gossip
	crashes  *targets.CrashLog
	refused  int                               // requests that are refused for crashes
	blamed   map[targets.Fingerprint]time.Time // when a request was last on a target that broke off
	recent   targets.Notices
	recentAt time.Time

	routing      *document.Routing
	routingSince time.Time
	targets      map[string]*targetState // by ID
	budgets      map[string]*targets.RetryBudget
	gates        map[string]*gateState
	leaving      bool
	reading      bool // a read is under way
	readAt       time.Time
	contact      time.Time // when this instance reached the platform
	outside      time.Time // of the last exchange with another zone
	isolated     bool
	recovered    time.Time // when the platform came back after an outage
	failures     int
	pulling      time.Time // until when a sibling that was asked for values is awaited
	pull         string    // address of a sibling that is ahead and is asked next
	divided      time.Time
	changed      bool
	notes        []Effect
}

type gateState struct {
	gate   *caller.RateLimiter
	asked  int64
	demand float64
	// history holds the demand at the last divisions, the oldest first.
	history [demandLag]float64
	share   float64
	// agreed is the part of each other member when all were last heard.
	agreed map[string]float64
	limits caller.RateLimits
}

// NewState returns the state of an instance that knows nothing yet.
func NewState(id InstanceConfig, rng *rand.Rand, now time.Time) *State {
	self := sibling.MemberState{ID: id.ID, Zone: id.Zone, Address: id.Address, Generation: id.Generation, PlatformAge: sibling.NoContact}
	return &State{
		id: id, rng: rng, started: now, at: now, values: newValues(), gossip: sibling.NewGossip(self, id.Seeds, rng, now),
		crashes: targets.NewCrashLog(), targets: map[string]*targetState{}, budgets: map[string]*targets.RetryBudget{},
		gates: map[string]*gateState{}, blamed: map[targets.Fingerprint]time.Time{}, unreached: map[string]error{},
	}
}

// Tick returns the event that makes Step look at what is due.
func (s *State) Tick() Event { return Tick{} }

// Step takes one event.
func (s *State) Step(e Event, now time.Time) StepResult {
	var ready StepResult
	s.at = now
	switch e := e.(type) {
	case StoreRead:
		s.storeRead(e, now)
	case GossipReceived:
		s.heard(e, now)
	case GossipFailed:
		s.pulling = time.Time{}
		// A sibling that cannot be reached is noted when nobody else has heard of it either.
		s.unreached[e.Address] = e.Err
	case TargetConnectionBroken:
		s.broke(e, now)
	case TargetConnectionRefused:
		if t := s.targets[e.TargetID]; t != nil {
			s.crashes.RecordTargetLost(e.TargetID, t.target.Incarnation, now)
		}
	case TargetMisdirected:
		s.misdirected(e.TargetID, now)
	case TargetCold:
		if t := s.targets[e.TargetID]; t != nil && e.Remaining > 0 {
			t.coldUntil = now.Add(e.Remaining)
			s.changed = true
		}
	case Reconfigured:
		s.id.Bounds = e.Bounds
		s.gossip.SetSeeds(e.Seeds)
		s.divided = time.Time{}
	case Leaving:
		s.leaving, s.changed = true, true
		s.gossip.Leave()
	case TakeDump:
		e.Reply <- s.dump(now)
	}
	s.due(now, &ready)
	ready.SnapshotChanged = s.changed
	s.changed = false
	ready.Effects = append(ready.Effects, s.notes...)
	s.notes = nil
	return ready
}

// noteMembers notes the siblings that were heard of for the first time or again, and those that fell silent.
func (s *State) noteMembers(now time.Time) {
	if now.Sub(s.looked) < tickInterval {
		return
	}
	s.looked = now
	live := map[string]string{}
	for _, b := range s.gossip.Live(now) {
		live[b.ID] = b.Address
		if _, known := s.live[b.ID]; !known {
			s.note("member", b.ID, "unknown or silent", "live", "gossip")
			delete(s.unreached, b.Address)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		if _, still := live[id]; still {
			continue
		}
		source := "gossip"
		if err := s.unreached[s.live[id]]; err != nil {
			source = err.Error()
		}
		s.note("member", id, "live", "silent or leaving", source)
	}
	s.live = live
}

// oneCrash is the time within which broken connections of one request count as one: the targets of all shards run a
// gathered request at the same time, and some may crash together for another reason.
const oneCrash = time.Second

func (s *State) broke(e TargetConnectionBroken, now time.Time) {
	if s.targets[e.TargetID] == nil || now.Sub(s.blamed[e.Fingerprint]) < oneCrash {
		return
	}
	maps.DeleteFunc(s.blamed, func(_ targets.Fingerprint, at time.Time) bool { return now.Sub(at) >= oneCrash })
	s.blamed[e.Fingerprint] = now
	s.crashes.RecordBrokenConnection(e.TargetID, e.Fingerprint, now)
}

// due does what time requires.
func (s *State) due(now time.Time, ready *StepResult) {
	if s.values.tick(now) || s.coldEnded(now) {
		s.rebuild(now)
	}
	s.crashes.Tick(now)
	if n := len(s.crashes.Quarantined()); n != s.refused {
		s.note("requests refused for crashes", "", strconv.Itoa(s.refused), strconv.Itoa(n), "crashes")
		s.refused, s.changed = n, true
	}
	s.noteMembers(now)
	s.divide(now)
	s.isolate(now)
	s.gossip.UpdateSelf(s.values.have, s.contact, s.demands())
	for _, address := range s.gossip.Round(now, now.Sub(s.outside) > outsideQuiet) {
		s.exchange(address, s.asks(address, now), now, ready)
	}
	if s.pull != "" {
		s.exchange(s.pull, s.asks(s.pull, now), now, ready)
		s.pull = ""
	}
	if !s.reading && !now.Before(s.readAt) && s.reads(now) {
		s.reading = true
		read := ReadStore{After: s.values.have, Wait: storeWait, Full: s.values.have == 0 || s.failures < 0}
		ready.Effects = append(ready.Effects, read)
	}
	ready.WakeAt = now.Add(tickInterval)
	if next := s.gossip.NextRound(); next.Before(ready.WakeAt) {
		ready.WakeAt = next
	}
}

// coldEnded forgets the cold starts and misdirections that are over and reports whether there were any.
func (s *State) coldEnded(now time.Time) bool {
	ended := false
	for _, t := range s.targets {
		if !t.coldUntil.IsZero() && !now.Before(t.coldUntil) {
			t.coldUntil, ended = time.Time{}, true
		}
		if !t.misdirected.IsZero() && !now.Before(t.misdirected) {
			t.misdirected, ended = time.Time{}, true
		}
	}
	return ended
}

// reads reports whether this instance reads the platform. One that has no values yet leaves that to the first in rank
// of its zone for a while, and gets them from a sibling: each read has a price, and all start at the same time.
func (s *State) reads(now time.Time) bool {
	if s.values.have != 0 {
		return s.gossip.ShouldReadPlatform(now, readerLimit)
	}
	alone, patience := aloneTime, joinPatience
	if s.id.FirstStart {
		alone, patience = firstAloneTime, firstJoinPatience
	}
	waited := now.Sub(s.started)
	if s.gossip.HasNoLiveSiblings(now) {
		return waited >= alone
	}
	return s.gossip.IsFirstReader(now) || waited >= patience
}

const (
	// aloneTime is how long an instance without values waits for a first sibling: some round trips.
	aloneTime = 50 * time.Millisecond
	// joinPatience is how long it waits for values of siblings: two rounds of gossip.
	joinPatience = 250 * time.Millisecond
	// firstAloneTime and firstJoinPatience are the same when the whole fleet starts for the first time: instances start
	// within 0.3 s of each other, and callers come some seconds later.
	firstAloneTime    = 800 * time.Millisecond
	firstJoinPatience = 2500 * time.Millisecond
	// pullTime is after how long a sibling that was asked for values is not awaited any more.
	pullTime = 400 * time.Millisecond
)

// asks decides whether a sibling is asked for the values that this instance lacks. One is asked at a time, of the own
// zone first, since the values would arrive several times otherwise.
func (s *State) asks(address string, now time.Time) bool {
	if now.Before(s.pulling) {
		return false
	}
	newest, near := document.Revision(0), document.Revision(0)
	other := false
	for _, b := range s.gossip.Live(now) {
		newest = max(newest, b.CompleteTo)
		if b.Zone == s.id.Zone {
			near = max(near, b.CompleteTo)
		}
		other = other || b.Address == address && b.Zone != s.id.Zone
	}
	if other && near >= newest && s.values.have != 0 {
		return false
	}
	if newest > s.values.have {
		s.pulling = now.Add(pullTime)
	}
	return true
}

func (s *State) exchange(address string, asks bool, now time.Time, ready *StepResult) {
	x := s.exchangeFor(now)
	x.OmitValues = !asks
	ready.Effects = append(ready.Effects, SendGossip{Address: address, Message: x})
}

func (s *State) exchangeFor(now time.Time) GossipMessage {
	if now.Sub(s.recentAt) >= sibling.GossipInterval {
		n := s.crashes.TakeNotices(now)
		// A crash is told in a few rounds, so that it reaches all instances although each round reaches two.
		s.recent = targets.Notices{Crashes: append(lastCrashes(s.recent.Crashes), n.Crashes...), Quarantined: n.Quarantined}
		s.recentAt = now
	}
	return GossipMessage{MemberStates: s.gossip.MemberStates(now), Notices: s.recent}
}

// maxCrashNotices bounds the crash notices in a message.
const maxCrashNotices = 32

func lastCrashes(c []targets.CrashNotice) []targets.CrashNotice {
	return slices.Clone(c[max(0, len(c)-maxCrashNotices):])
}

func (s *State) heard(e GossipReceived, now time.Time) {
	s.heardFrom(e.Message.MemberStates, now)
	s.gossip.Merge(e.Message.MemberStates, now)
	for _, b := range e.Message.MemberStates[:min(1, len(e.Message.MemberStates))] {
		delete(s.unreached, b.Address)
	}
	s.crashes.ReceiveNotices(e.Message.Notices, now)
	s.take(e.Message.Update, "sibling", now)
	if e.Reply == nil {
		s.pulling = time.Time{}
		return
	}
	reply := s.exchangeFor(now)
	if len(e.Message.MemberStates) > 0 {
		from := e.Message.MemberStates[0]
		if !e.Message.OmitValues {
			reply.Update = s.values.updateSince(from.CompleteTo)
		}
		if from.CompleteTo > s.values.have && !now.Before(s.pulling) {
			s.pull = from.Address
		}
	}
	e.Reply <- reply
}

func (s *State) storeRead(e StoreRead, now time.Time) {
	s.reading = false
	if e.Err != nil {
		s.readFailed(e.Err, now)
		return
	}
	if s.failures > 0 {
		s.note("platform", "", "lost", "regained", "read")
	}
	if !s.contact.IsZero() && s.failures > 0 && now.Sub(s.contact) > outage {
		s.recovered = now
	}
	s.failures, s.contact = 0, now
	s.readAt = now.Add(readPause + time.Duration(s.members)*readPauseEach)
	if now.Sub(s.recovered) < lapseNotice {
		markLapsed(e.Update.Changes)
	}
	s.take(e.Update, "platform", now)
}

// markLapsed marks removals of targets as such that the platform's outage may have caused.
func markLapsed(changes []Change) {
	for i := range changes {
		if c := &changes[i]; c.Removed && c.Kind == KindTarget {
			c.Lapsed = true
		}
	}
}

// readFailed notes a failed read. The marker -1 makes the next read a full one.
func (s *State) readFailed(err error, now time.Time) {
	if errors.Is(err, ErrHistoryGone) {
		s.failures = -1
		s.readAt = now
		s.note("platform", "", "history", "read all again", err.Error())
		return
	}
	if s.failures == 0 {
		s.note("platform", "", "reached", "lost", err.Error())
	}
	if s.failures >= 0 {
		s.failures++
	}
	s.readAt = now.Add(retryRead)
}

// take applies an update and notes what changed.
func (s *State) take(u Update, source string, now time.Time) {
	if u.ToRevision == 0 && len(u.Changes) == 0 {
		return
	}
	news := s.values.apply(u, now)
	if len(news) == 0 {
		return
	}
	for _, c := range news {
		s.noteChange(c, source)
	}
	s.rebuild(now)
}

func (s *State) noteChange(c Change, source string) {
	state := "present"
	switch {
	case c.Removed && c.Lapsed:
		state = "lapsed"
	case c.Removed:
		state = "removed"
	case c.Kind == KindTarget && c.Target == nil, c.Kind == KindRouting && c.Routing == nil:
		state = "not understood"
	case c.Kind == KindTarget && c.Target.Draining:
		state = "draining"
	case c.Kind == KindRouting:
		state = "version " + strconv.FormatUint(uint64(c.Routing.Version), 10)
	}
	s.note(string(c.Kind), c.Name, "", state, source+" revision "+strconv.FormatUint(uint64(c.Revision), 10))
}

func (s *State) note(subject, name, before, after, source string) {
	s.notes = append(s.notes, LogStateChange{Subject: subject, Name: name, Old: before, New: after, Source: source})
}

func (s *State) misdirected(id string, now time.Time) {
	if t := s.targets[id]; t != nil {
		t.misdirected = now.Add(misdirectedTime)
		s.note(string(KindTarget), id, "used", "misdirected", "reply")
		s.rebuild(now)
	}
}

// rebuild derives routing and targets from the values.
func (s *State) rebuild(now time.Time) {
	s.changed = true
	used := map[string]bool{}
	for _, e := range s.values.entries {
		c, ok := e.current(now)
		if !ok {
			continue
		}
		switch {
		case c.Kind == KindRouting && c.Routing != nil && (s.routing == nil || c.Routing.Version.Supersedes(s.routing.Version)):
			s.noteRates(s.routing, c.Routing)
			s.routing, s.routingSince = c.Routing, now
			s.divided = time.Time{}
		case c.Kind == KindTarget && c.Target != nil:
			used[c.Name] = true
			s.use(c.Name, c.Target, e.since)
		}
	}
	maps.DeleteFunc(s.targets, func(id string, t *targetState) bool {
		if !used[id] {
			s.crashes.RecordTargetLost(id, t.target.Incarnation, now)
		}
		return !used[id]
	})
}

// noteRates notes the organisations whose rate or keys change with a routing.
func (s *State) noteRates(before, after *document.Routing) {
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
			s.note("rate", a.Name, old, now, "routing version "+strconv.FormatUint(uint64(after.Version), 10))
		}
		delete(text, a.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(text)) {
		s.note("rate", name, text[name], "removed", "routing version "+strconv.FormatUint(uint64(after.Version), 10))
	}
}

// use makes or renews the target of a registration. A new incarnation gets new statistics.
func (s *State) use(id string, r *targets.Registration, since time.Time) {
	old := s.targets[id]
	t := &targets.Target{
		ID: id, Service: r.Service, Zone: r.Zone, Address: r.Address, Incarnation: r.Incarnation, Slots: r.Slots,
		Stats: &targets.TargetStats{},
	}
	next := &targetState{target: t, draining: r.Draining}
	if r.ColdFor > 0 {
		next.coldUntil = since.Add(r.ColdFor)
	}
	if old != nil && old.target.Incarnation == r.Incarnation && old.target.Address == r.Address {
		t.Stats = old.target.Stats
		next.misdirected = old.misdirected
		if old.coldUntil.After(next.coldUntil) {
			next.coldUntil = old.coldUntil
		}
	}
	s.targets[id] = next
}

// Snapshot returns the view for traffic.
func (s *State) Snapshot() *Snapshot {
	now := s.at
	members := len(s.gossip.LimitSharers(now)) + 1
	out := &Snapshot{
		Routing: s.routing, RoutingSince: s.routingSince, Services: map[string]*Service{}, RateLimiters: map[string]*caller.RateLimiter{},
		Regions: s.id.Regions, Quarantined: s.crashes.Quarantined(), Revision: s.values.have, MemberCount: members,
		Ready: s.routing != nil && !s.leaving && !s.isolated,
	}
	if s.routing == nil {
		return out
	}
	for i := range s.routing.Services {
		v := &s.routing.Services[i]
		out.Services[v.Name] = &Service{Name: v.Name, RetryBudget: s.budget(v.Name, now)}
	}
	zonesOut := s.zonesOut(now)
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		v := out.Services[t.target.Service]
		if v == nil || t.draining || zonesOut[t.target.Zone] || now.Before(t.misdirected) {
			continue
		}
		service := s.routing.Service(v.Name)
		if service.ColdRate > 0 && now.Before(t.coldUntil) && !s.gossip.IsOwner(id, now) {
			continue
		}
		usable := *t.target
		usable.Limit = connectionLimit(service.MaxConnections, members)
		if now.Before(t.coldUntil) {
			usable.ColdRate = service.ColdRate * coldPart
		}
		v.Targets = append(v.Targets, &usable)
	}
	for name, g := range s.gates {
		out.RateLimiters[name] = g.gate
	}
	return out
}

const (
	// connectionPart is the part of a target's connections that all instances use together. The rest covers
	// instances that restarted and whose old connections the target has not closed yet.
	connectionPart = 0.9
	// unknownConnections is the limit where the routing states none.
	unknownConnections = 8
)

// coldPart is the part of what a cold target tolerates that its owner sends, since two instances may both take
// themselves for the owner while their views differ.
const coldPart = 0.7

// connectionLimit divides a target's connections among the instances.
func connectionLimit(connections, members int) int {
	if connections <= 0 {
		return unknownConnections
	}
	return max(1, int(float64(connections)*connectionPart)/members)
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

func (s *State) budget(service string, now time.Time) *targets.RetryBudget {
	b := s.budgets[service]
	if b == nil {
		b = targets.NewRetryBudget(s.extraLimits(now))
		s.budgets[service] = b
	}
	return b
}

const (
	// extraPart is the part of the fleet's extra sends that is spent. The rest covers windows that instances count
	// apart, and restartPart.
	extraPart = 0.8
	// restartPart is the part of the constant extra sends that instances may spend in the first window after their
	// start, in place of extraPart, since an earlier run may have spent that. Two restarts of all in a window fit.
	restartPart = 0.45
	// joiners is added to the number of instances among which constant parts are divided, for those that this
	// instance has not heard of yet.
	joiners = 1
)

func (s *State) extraLimits(now time.Time) targets.RetryBudgetLimits {
	part, instances := extraPart, len(s.gossip.LimitSharers(now))+1+joiners
	if now.Sub(s.started) < s.id.Bounds.RetryBudgetWindow {
		part, instances = restartPart, max(instances, assumedInstances)
	}
	return targets.RetryBudgetLimits{
		Window: s.id.Bounds.RetryBudgetWindow, Ratio: s.id.Bounds.RetryBudgetRatio * extraPart,
		Constant: s.id.Bounds.RetryBudgetConstant * part / float64(instances),
	}
}

func (s *State) dump(now time.Time) Dump {
	d := Dump{
		ID: s.id.ID, Zone: s.id.Zone, Revision: s.values.have, StoreAge: ageText(s.contact, now),
		ReadsStore: s.gossip.ShouldReadPlatform(now, readerLimit), Shares: map[string]float64{},
	}
	if s.routing != nil {
		d.RoutingVersion = s.routing.Version
	}
	live := s.gossip.Live(now)
	for _, b := range s.gossip.LimitSharers(now) {
		m := MemberDump{ID: b.ID, Zone: b.Zone, Revision: b.CompleteTo, StoreAge: "never"}
		m.Live = slices.ContainsFunc(live, func(l sibling.MemberState) bool { return l.ID == b.ID })
		if b.PlatformAge != sibling.NoContact {
			m.StoreAge = b.PlatformAge.String()
		}
		d.Members = append(d.Members, m)
	}
	for k, e := range s.values.entries {
		if k.kind != KindTarget || e.Target == nil {
			continue
		}
		t := TargetDump{ID: k.name, Service: e.Target.Service, Zone: e.Target.Zone, Address: e.Target.Address, State: "ready", Revision: e.Revision}
		if e.Target.Draining {
			t.State = "draining"
		}
		if x := s.targets[k.name]; x != nil {
			g := x.target.Stats
			t.Outstanding, t.LatencyMs, t.Avoided = g.Outstanding(), g.Latency().Seconds()*1000, g.Avoided(now)
		}
		d.Targets = append(d.Targets, t)
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.ID, b.ID) })
	d.ZonesOut = slices.Sorted(maps.Keys(s.zonesOut(now)))
	for name, g := range s.gates {
		d.Shares[name] = g.share
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
