package targets

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddrift.org/drift/document"
)

// Effect is an action that Fleet requests from its caller.
type Effect interface{ effect() }

// ReadStatus requests one read of the status of a target.
type ReadStatus struct{ ID, Address string }

// LimitConnections sets how many connections this instance may have to a target; zero closes them.
type LimitConnections struct {
	Address     string
	Connections int
}

// PhaseChanged reports that the phase of a target has changed. From is empty for a new target.
type PhaseChanged struct {
	ID, Service string
	From, To    Phase
}

// SendNotices requests that notices be sent to siblings.
type SendNotices struct {
	To      []string // IDs of instances
	Notices Notices
}

// RequestWarmNotices requests that a sibling be asked which of the targets are warm.
type RequestWarmNotices struct {
	To      string
	Targets []string
}

func (ReadStatus) effect()         {}
func (LimitConnections) effect()   {}
func (PhaseChanged) effect()       {}
func (SendNotices) effect()        {}
func (RequestWarmNotices) effect() {}

// LegReport is the report of one leg from traffic to control.
type LegReport struct {
	Target      string
	Fingerprint Fingerprint
	// Incarnation and State are from the headers of the reply, and empty if none arrived.
	Incarnation string
	State       State
	Outcome     Outcome
	Reason      Reason
	Elapsed     time.Duration
}

const (
	// readsPerSecond limits the status reads of all targets together, about 1.5 KB each: 6 KB/s at the design size.
	// With few targets, each is read every minReadInterval. Replies to legs update incarnation and state between reads.
	readsPerSecond  = 4
	minReadInterval = 250 * time.Millisecond
	// After a change of snapshots, all targets are read more often for fastReadTime, since a snapshot can be used only
	// once its replicas of every shard are known. The interval grows with the number of targets: 200 ms at 100 targets.
	fastReadPerTarget   = 2 * time.Millisecond
	minFastReadInterval = 100 * time.Millisecond
	maxFastReadInterval = 500 * time.Millisecond
	fastReadTime        = 2 * time.Second
	// settleStep limits how often a later SnapshotsSettleAt is published.
	settleStep = 500 * time.Millisecond
	// During startupTime after the start of this instance, a warm target seen for the first time is assumed to have
	// been running for long. It starts on probation instead of cold.
	startupTime = 10 * time.Second
	// noticeRequestInterval is the interval between requests for notices about targets that are not warm at this
	// instance.
	noticeRequestInterval = time.Second
	// maxNoticeRequests bounds the owners that are asked in one interval.
	maxNoticeRequests = 4
	// requestedReadTime is how long the status of a target is read after a sibling requested notices about it.
	requestedReadTime = 30 * time.Second
	// assignInterval limits how often connections are assigned, since each assignment takes 0.1 s of processor time at
	// the design size.
	assignInterval = time.Second
	tickInterval   = 100 * time.Millisecond
)

// Fleet is the control state about all targets. It is not safe for concurrent use; the control goroutine owns it.
type Fleet struct {
	self              EntryInstance
	policy            Policy
	started           time.Time
	targets           map[string]*trackedTarget
	tails             map[string]*Tail     // by service
	snapshotsSettleAt map[string]time.Time // by service: ServiceView.SnapshotsSettleAt
	entryInstances    []EntryInstance      // entry instances in service, and this instance
	assignments       map[string]*Assignment

	assignDue         bool
	nextAssign        time.Time
	nextTick          time.Time
	nextNoticeRequest time.Time
	fastReadsUntil    time.Time
	ownersAsked       int // requests for notices so far, to rotate among the owners

	quarantine       *quarantine
	quarantinedCount int // quarantined requests at the last TakeEffects
	effects          []Effect
	changed          bool
}

// trackedTarget is the state of one listed target.
type trackedTarget struct {
	warmup
	instance       document.Instance
	outOfService   bool
	slots          int
	maxConnections int // accepted from all instances together
	connections    int // granted to this instance
	sentLimit      int // connections in the last LimitConnections
	role           Role
	owner          string
	status         *Status
	lastReport     time.Time
	polled         bool  // a read of the status has succeeded or failed
	emittedPhase   Phase // phase in the last PhaseChanged
	nextRead       time.Time
	readUntil      time.Time // until when the status is read because a sibling requested notices
	stats          *TargetStats
}

// NewFleet returns a Fleet without targets.
func NewFleet(self EntryInstance, policy Policy) *Fleet {
	return &Fleet{
		self: self, policy: policy,
		targets: map[string]*trackedTarget{}, tails: map[string]*Tail{}, snapshotsSettleAt: map[string]time.Time{}, assignments: map[string]*Assignment{},
		quarantine: newQuarantine(),
	}
}

// TakeEffects returns the effects since the previous call, and whether the view has changed since then.
func (f *Fleet) TakeEffects() (effects []Effect, changed bool) {
	effects, changed = f.effects, f.changed
	f.effects, f.changed = nil, false
	if len(f.quarantine.published) != f.quarantinedCount {
		f.quarantinedCount = len(f.quarantine.published)
		changed = true
	}
	return effects, changed
}

func (f *Fleet) emit(e Effect) { f.effects = append(f.effects, e) }

// Configure applies the document and the instance list that are in force.
func (f *Fleet) Configure(doc *document.Document, list *document.InstanceList, now time.Time) {
	if f.started.IsZero() {
		f.started = now
	}
	f.changed = true
	f.entryInstances = f.entryInstances[:0]
	for _, in := range list.EntryInstances() {
		if in.State == document.StateLive && !doc.InstanceOutOfService(in.ID) && !doc.ZoneOutOfService(in.Zone) {
			f.entryInstances = append(f.entryInstances, EntryInstance{ID: in.ID, Zone: in.Zone})
		}
	}
	// An instance that is not listed yet, or that is leaving or out of service, still serves the requests that it
	// receives. It uses the unassigned connections of the targets.
	if !slices.Contains(f.entryInstances, f.self) {
		f.entryInstances = append(f.entryInstances, f.self)
	}
	listed := map[string]bool{}
	for _, in := range list.TargetInstances() {
		service, ok := doc.Service(in.Service)
		if !ok {
			continue
		}
		listed[in.ID] = true
		t := f.targets[in.ID]
		if t == nil || t.instance.Address != in.Address {
			if t != nil {
				f.emit(LimitConnections{Address: t.instance.Address})
			}
			t = &trackedTarget{stats: &TargetStats{}, warmup: warmup{phase: PhaseUnknown}, nextRead: now}
			f.targets[in.ID] = t
		}
		out := in.State == document.StateLeaving || doc.InstanceOutOfService(in.ID) || doc.ZoneOutOfService(in.Zone)
		if t.outOfService && !out && t.phase != PhaseUnknown {
			t.enterCold(t.maxColdRequests(), now)
		}
		t.instance, t.outOfService, t.slots, t.maxConnections = in, out, service.Slots, service.MaxConnections
		t.owner, t.role = f.ownerOf(in.ID, in.Zone)
	}
	for id, t := range f.targets {
		if !listed[id] {
			f.emit(LimitConnections{Address: t.instance.Address})
			f.quarantine.recordTargetLost(id, t.incarnation, now)
			delete(f.targets, id)
		}
	}
	f.assignDue, f.nextAssign = true, now
	f.Tick(now)
}

// maxColdRequests returns the reported limit of concurrent requests while cold, zero before the first status.
func (t *trackedTarget) maxColdRequests() int {
	if t.status == nil {
		return 0
	}
	return t.status.MaxColdRequests
}

// ownerOf returns the owner of a target and the role of this instance. It ranks the entry instances in the zone of the
// target, or all if there are none, by rendezvous hashing.
func (f *Fleet) ownerOf(id, zone string) (string, Role) {
	hash := xxhash.Sum64String(id)
	var owner, backup string
	var best, next uint64
	for pass := 0; pass < 2 && owner == ""; pass++ {
		for _, e := range f.entryInstances {
			if pass == 0 && e.Zone != zone {
				continue
			}
			switch score := mix(hash ^ xxhash.Sum64String(e.ID)); {
			case owner == "" || score > best:
				owner, backup, best, next = e.ID, owner, score, best
			case backup == "" || score > next:
				backup, next = e.ID, score
			}
		}
	}
	switch f.self.ID {
	case owner:
		return owner, RoleOwner
	case backup:
		return owner, RoleBackup
	}
	return owner, RoleNone
}

// RecordStatus records a status that was read from a target.
func (f *Fleet) RecordStatus(id string, status Status, now time.Time) {
	t := f.targets[id]
	if t == nil {
		return
	}
	old := t.status
	t.status, t.lastReport = &status, now
	f.markPolled(t)
	f.recordIncarnation(t, status.Incarnation, status.State, now)
	switch {
	case old == nil || !sameShards(old.Replicas, status.Replicas):
		f.assignDue, f.changed = true, true
		f.recordSnapshotChange(t.instance.Service, now)
	case !sameSnapshots(old, &status):
		f.changed = true
		f.recordSnapshotChange(t.instance.Service, now)
	case old.State != status.State:
		f.changed = true
	}
}

// recordSnapshotChange records that targets of a service are moving to another snapshot.
func (f *Fleet) recordSnapshotChange(service string, now time.Time) {
	until := now.Add(fastReadTime)
	f.fastReadsUntil = until
	if until.Sub(f.snapshotsSettleAt[service]) >= settleStep {
		f.snapshotsSettleAt[service] = until
		f.changed = true
	}
}

// recordIncarnation records the incarnation and state from a status or a reply.
func (f *Fleet) recordIncarnation(t *trackedTarget, incarnation string, state State, now time.Time) {
	phase, known := t.phase, t.incarnation
	t.recordState(incarnation, state, t.maxColdRequests(), now.Sub(f.started) < startupTime, now)
	if known != "" && known != incarnation {
		f.quarantine.recordTargetLost(t.instance.ID, known, now)
	}
	if phase != t.phase || known != incarnation {
		f.changed = true
	}
}

func sameShards(a, b []Replica) bool {
	return slices.EqualFunc(a, b, func(x, y Replica) bool { return x.Shard == y.Shard })
}

func sameSnapshots(a, b *Status) bool {
	return slices.EqualFunc(a.Replicas, b.Replicas, func(x, y Replica) bool { return slices.Equal(x.Snapshots, y.Snapshots) }) &&
		slices.EqualFunc(a.Manifests, b.Manifests, func(x, y Manifest) bool {
			return x.Snapshot == y.Snapshot && slices.Equal(x.Shards, y.Shards)
		})
}

// RecordStatusFailure records that the status of a target could not be read. The last status stays in use, since a
// failed read does not prove that requests fail.
func (f *Fleet) RecordStatusFailure(id string, now time.Time) {
	t := f.targets[id]
	if t == nil {
		return
	}
	f.markPolled(t)
	if t.incarnation != "" {
		f.quarantine.recordTargetLost(id, t.incarnation, now)
	}
}

func (f *Fleet) markPolled(t *trackedTarget) {
	if !t.polled {
		t.polled, f.changed = true, true
	}
}

// AllPolled reports whether a read of the status has ended for every listed target.
func (f *Fleet) AllPolled() bool {
	for _, t := range f.targets {
		if !t.polled {
			return false
		}
	}
	return true
}

// RecordLeg records a report from traffic about one leg.
func (f *Fleet) RecordLeg(r LegReport, now time.Time) {
	t := f.targets[r.Target]
	if t == nil {
		return
	}
	if r.Incarnation != "" && (r.Incarnation != t.incarnation || r.State == StateCold) {
		f.recordIncarnation(t, r.Incarnation, r.State, now)
	}
	if r.State == StateDraining && t.status != nil && t.status.State != StateDraining {
		draining := *t.status
		draining.State = StateDraining
		t.status, t.nextRead, f.changed = &draining, now, true
	}
	phase, limit := t.phase, t.limit
	switch {
	case r.Outcome == Replied:
		if t.recordReply(r.Elapsed, f.tail(t.instance.Service).Quantile(), t.slots, now) {
			f.announceWarm(t)
		}
	case r.Outcome == Failed && r.Reason == ReasonSnapshotGone:
		t.nextRead = now
		f.recordSnapshotChange(t.instance.Service, now)
	case r.Outcome == Failed:
		if r.Reason == ReasonConnectionLost {
			f.quarantine.recordBrokenConnection(r.Target, r.Fingerprint, now)
		}
		if r.Reason == ReasonUnreachable {
			f.quarantine.recordTargetLost(r.Target, t.incarnation, now)
		}
		if t.recordFailure(r.Reason, now) {
			t.nextRead = now
		}
	}
	if phase != t.phase || limit != t.limit {
		f.changed = true
	}
}

// announceWarm sends a notice that the target is warm to the other instances with connections to it.
func (f *Fleet) announceWarm(t *trackedTarget) {
	t.announcedWarm = t.incarnation
	var to []string
	if a := f.assignments[t.instance.Service]; a != nil {
		to = a.Holders(t.instance.ID)
	}
	to = slices.DeleteFunc(to, func(id string) bool { return id == f.self.ID })
	if len(to) > 0 {
		f.emit(SendNotices{To: to, Notices: Notices{Warm: []WarmNotice{{Target: t.instance.ID, Incarnation: t.incarnation}}}})
	}
}

// ReceiveNotices records notices from a sibling.
func (f *Fleet) ReceiveNotices(n Notices, now time.Time) {
	for _, w := range n.Warm {
		if t := f.targets[w.Target]; t != nil {
			phase := t.phase
			t.warmup.recordAnnouncement(w.Incarnation, now)
			if t.incarnation != w.Incarnation {
				t.nextRead = now
			}
			f.changed = f.changed || t.phase != phase
		}
	}
	f.quarantine.receiveNotices(n, now)
}

// NoticesFor returns a notice for each of the targets that is warm at this instance, and the quarantines in force. It
// also makes this instance read the status of these targets for requestedReadTime, since the owner of a target may have
// no connection to it otherwise.
func (f *Fleet) NoticesFor(targets []string, now time.Time) Notices {
	var n Notices
	for _, id := range targets {
		t := f.targets[id]
		if t == nil {
			continue
		}
		t.readUntil = now.Add(requestedReadTime)
		if t.phase == PhaseWarm {
			n.Warm = append(n.Warm, WarmNotice{Target: id, Incarnation: t.incarnation})
		}
	}
	n.Quarantined = f.quarantine.quarantineNotices(now)
	return n
}

// readsStatus reports whether this instance reads the status of the target. It reads every target until the first
// status, which lists the shards.
func (t *trackedTarget) readsStatus(now time.Time) bool {
	return t.connections > 0 || t.status == nil || now.Before(t.readUntil) ||
		t.role == RoleOwner && t.phase == PhaseCold
}

// Tick does what is due at now.
func (f *Fleet) Tick(now time.Time) {
	if f.assignDue && !now.Before(f.nextAssign) {
		f.assign()
		f.assignDue, f.nextAssign = false, now.Add(assignInterval)
	}
	if now.Before(f.nextTick) {
		return
	}
	f.nextTick = now.Add(tickInterval)
	readCount := 0
	for id, t := range f.targets {
		if t.readsStatus(now) {
			readCount++
		}
		if t.tick(now) {
			f.changed = true
		}
		if t.emittedPhase != t.phase {
			f.emit(PhaseChanged{ID: id, Service: t.instance.Service, From: t.emittedPhase, To: t.phase})
			t.emittedPhase = t.phase
		}
		if q := f.tail(t.instance.Service).Quantile(); q > 0 && t.stats.Latency() > latencyJumpFactor*q && t.recordLatencyJump(now) {
			t.nextRead = now
			f.changed = true
		}
	}
	interval := max(time.Duration(readCount)*time.Second/readsPerSecond, minReadInterval)
	if now.Before(f.fastReadsUntil) {
		interval = min(interval, max(minFastReadInterval, min(maxFastReadInterval, time.Duration(readCount)*fastReadPerTarget)))
	}
	for id, t := range f.targets {
		// A shorter interval also applies to reads that were scheduled with a longer one.
		if t.readsStatus(now) && (!now.Before(t.nextRead) || t.nextRead.Sub(now) > interval) {
			t.nextRead = now.Add(interval)
			f.emit(ReadStatus{ID: id, Address: t.instance.Address})
		}
	}
	if !now.Before(f.nextNoticeRequest) {
		f.nextNoticeRequest = now.Add(noticeRequestInterval)
		f.requestWarmNotices()
	}
	f.quarantine.tick(now)
	if n := f.quarantine.takeNotices(); !n.empty() {
		f.emit(SendNotices{To: f.otherInstances(), Notices: n})
	}
}

// otherInstances returns the IDs of the entry instances except this one.
func (f *Fleet) otherInstances() []string {
	var out []string
	for _, e := range f.entryInstances {
		if e.ID != f.self.ID {
			out = append(out, e.ID)
		}
	}
	return out
}

// requestWarmNotices requests notices from some owners about the targets that this instance uses and that are not warm
// here.
func (f *Fleet) requestWarmNotices() {
	byOwner := map[string][]string{}
	for id, t := range f.targets {
		if t.connections > 0 && !t.outOfService && t.owner != f.self.ID && t.owner != "" && (t.phase == PhaseCold || t.phase == PhaseProbation) {
			byOwner[t.owner] = append(byOwner[t.owner], id)
		}
	}
	owners := make([]string, 0, len(byOwner))
	for owner := range byOwner {
		owners = append(owners, owner)
	}
	slices.Sort(owners)
	for range min(maxNoticeRequests, len(owners)) {
		owner := owners[f.ownersAsked%len(owners)]
		f.ownersAsked++
		slices.Sort(byOwner[owner])
		f.emit(RequestWarmNotices{To: owner, Targets: byOwner[owner]})
	}
}

// assign computes the connection assignment of every service and applies the grants of this instance.
func (f *Fleet) assign() {
	byService := map[string][]AssignableTarget{}
	for id, t := range f.targets {
		t.connections = 0
		if t.outOfService {
			continue
		}
		a := AssignableTarget{ID: id, Zone: t.instance.Zone, Connections: t.maxConnections, MaxPerInstance: t.slots}
		if t.status != nil {
			for _, r := range t.status.Replicas {
				a.Shards = append(a.Shards, r.Shard)
			}
		}
		byService[t.instance.Service] = append(byService[t.instance.Service], a)
	}
	for service, targets := range byService {
		a := Assign(f.entryInstances, targets)
		f.assignments[service] = a
		for _, g := range a.GrantsOf(f.self.ID) {
			f.targets[g.Target].connections = g.Connections
		}
	}
	for _, t := range f.targets {
		// A target without a grant gets one connection, for status reads and for its owner while it is cold.
		if n := max(t.connections, 1); n != t.sentLimit {
			t.sentLimit = n
			f.emit(LimitConnections{Address: t.instance.Address, Connections: n})
		}
	}
	f.changed = true
}

// View returns the view of all usable targets.
func (f *Fleet) View(now time.Time) View {
	usable := map[string][]UsableTarget{}
	for id, t := range f.targets {
		if t.outOfService || t.status == nil || t.status.State == StateDraining {
			continue
		}
		connections := t.connections
		if t.phase == PhaseCold && connections == 0 {
			connections = 1
		}
		limit := t.requestLimit(t.role, min(connections, t.slots), now)
		if limit == 0 {
			continue
		}
		name := t.instance.Service
		usable[name] = append(usable[name], UsableTarget{
			Target: &Target{
				ID:           id,
				Service:      name,
				Zone:         t.instance.Zone,
				Address:      t.instance.Address,
				Incarnation:  t.incarnation,
				Limit:        limit,
				ReportedLoad: t.status.Load,
				Stats:        t.stats,
				Ramping:      t.phase != PhaseWarm,
			},
			Status: *t.status,
		})
	}
	view := View{}
	for name, list := range usable {
		view[name] = BuildServiceView(name, f.tail(name), list)
		view[name].SnapshotsSettleAt = f.snapshotsSettleAt[name]
	}
	return view
}

func (f *Fleet) tail(service string) *Tail {
	t := f.tails[service]
	if t == nil {
		t = NewTail(f.policy)
		f.tails[service] = t
	}
	return t
}

// Quarantined returns the fingerprints of requests that are refused, with the end of each quarantine. The map is never
// modified.
func (f *Fleet) Quarantined() map[Fingerprint]time.Time { return f.quarantine.published }

// TargetDump is the state of one target in a dump for operators.
type TargetDump struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Zone          string        `json:"zone"`
	OutOfService  bool          `json:"out"`
	ReportedState State         `json:"reported_state"`
	Phase         Phase         `json:"phase"`
	Owner         string        `json:"owner"`
	Incarnation   string        `json:"incarnation"`
	Connections   int           `json:"connections"`
	Outstanding   int           `json:"outstanding"`
	Latency       time.Duration `json:"latency_ns"`
	LastReport    time.Time     `json:"last_report"`
}

// Dump returns the state of every target, ordered by ID.
func (f *Fleet) Dump() []TargetDump {
	out := make([]TargetDump, 0, len(f.targets))
	for id, t := range f.targets {
		d := TargetDump{
			ID: id, Service: t.instance.Service, Zone: t.instance.Zone, OutOfService: t.outOfService, Phase: t.phase, Owner: t.owner,
			Incarnation: t.incarnation, Connections: t.connections,
			Outstanding: t.stats.Outstanding(), Latency: t.stats.Latency(), LastReport: t.lastReport,
		}
		if t.status != nil {
			d.ReportedState = t.status.State
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b TargetDump) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
