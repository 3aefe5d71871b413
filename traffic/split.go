package traffic

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// SiblingGatherer asks siblings to gather parts of a request.
type SiblingGatherer interface {
	// GatherShards asks the sibling at an address. partial gets the parts that the sibling sends ahead of its reply. The error
	// wraps sibling.ErrNotSent only if the sibling certainly did not receive the request, and sibling.ErrNotConfirmed if it did
	// not confirm in time that it began.
	GatherShards(ctx context.Context, address string, r sibling.GatherRequest, partial func(sibling.GatherReply)) (sibling.GatherReply, error)
}

const (
	// groupReplyMargin is how long before the planned answer the owner of a group replies: its way back, and the time to
	// merge the groups.
	groupReplyMargin = 4 * time.Millisecond
	// maxOwnerTries is how many owners of a group are asked before this instance gathers the group itself.
	maxOwnerTries = 3
	// An owner that has not confirmed a request within confirmFactor times its usual longest time, at least minConfirmTime, is
	// taken for lost, and the next one is asked. The least time covers a busy owner with a part of a core.
	confirmFactor  = 3
	minConfirmTime = 20 * time.Millisecond
	// tentativeAttempts is the number of targets of each shard that an owner sends to before it knows that its confirmation has
	// arrived: each owner that may have begun takes so many of the attempts of the route.
	tentativeAttempts = 1
)

// groupResult is the outcome of one group of shards, or what it brings ahead of it.
type groupResult struct {
	// group is the index of the group. final is set if nothing follows.
	group      int
	final      bool
	signatures []string
	body       []byte
	held       HeldBytes // memory of body
	mayHaveRun bool
	restLeft   time.Duration
	tries      []AttemptRecord
	// changes are the owners that did not gather the group, by the instance that did, and wait what the group waited for last if
	// this instance gathered it.
	changes []OwnerChange
	by      string
	wait    Wait
	// ahead is set once an owner has sent parts ahead. Another one must not be asked then: the answer would hold two parts of a
	// shard.
	ahead bool
}

// pass notes that an owner does not gather the group.
func (r *groupResult) pass(owner, cause string) {
	r.changes = append(r.changes, OwnerChange{Owner: owner, Cause: cause})
}

// ask notes the instance that is asked to gather the group after those that were passed over.
func (r *groupResult) ask(next string) {
	r.by = next
	for i := range r.changes {
		if r.changes[i].Next == "" {
			r.changes[i].Next = next
		}
	}
}

// runSplit runs a request to many shards whose groups are gathered by their owners. Retries and hedges are decided by the
// owner of a group alone, so that the bounds on them are kept: a group that may have run is asked for again only if its owner
// did not confirm that it began, and then with the attempts that are left, which are paid from the retry budget.
func (d *dispatchRun) runSplit(groups []sibling.GatherGroup, now time.Time) ForwardResult {
	if d.shouldFailFast(d.services, now) {
		return d.run(now) // which refuses the request
	}
	d.record.Parts = len(d.services)
	d.maxMissing = d.mayMiss()
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	w := newGroupWait(d, groups, now)
	w.start(ctx)
	defer func() { releaseLate(w.results, w.open) }()
	if cancelled := w.wait(); cancelled {
		w.merged.held.Release()
		return refuse(&caller.Refusal{Code: caller.CodeOutcomeUnknown, Ran: caller.RanUnknown, Message: "the caller cancelled the request"})
	}
	return w.answer()
}

// groupWait is the wait of a split request for its groups. It decides when the answer leaves. It belongs to the goroutine of
// the request.
type groupWait struct {
	run     *dispatchRun
	groups  []sibling.GatherGroup
	results chan groupResult
	merged  *mergedGroups
	// open is the number of groups that have not ended, and awaited that of the groups that have brought nothing yet. heard and
	// finished tell by group whether it has brought something and whether it has ended.
	open, awaited   int
	heard, finished []bool
	// late is set once the planned time of the answer has come, and stopped once the instance ends its requests.
	late, stopped bool
	arrivedAt     time.Time // when a group brought something last
}

func newGroupWait(d *dispatchRun, groups []sibling.GatherGroup, now time.Time) *groupWait {
	n := len(groups)
	return &groupWait{
		run: d, groups: groups, results: make(chan groupResult, resultsPerGroup*n), merged: newMergedGroups(),
		open: n, awaited: n, heard: make([]bool, n), finished: make([]bool, n), arrivedAt: now,
	}
}

// start starts to gather each group on a goroutine of its own.
func (w *groupWait) start(ctx context.Context) {
	for i, g := range w.groups {
		go func() {
			r := w.run.gatherGroup(ctx, g, func(r groupResult) {
				r.group = i
				w.results <- r
			})
			r.group, r.final = i, true
			w.results <- r
		}()
	}
}

// wait returns when the answer leaves, or when the caller has cancelled the request.
func (w *groupWait) wait() (cancelled bool) {
	d := w.run
	timer := time.NewTimer(time.Until(d.answerBy))
	defer timer.Stop()
	for w.open > 0 {
		select {
		case r := <-w.results:
			w.take(r)
		case <-timer.C:
			w.late = true
			timer.Reset(time.Until(d.deadline))
			d.recordWait(nil, w.arrivedAt, time.Now())
		case <-d.forwarder.stopping.ended:
			w.stopped = true
			d.record.Wait = Wait{Cause: WaitStop, Time: time.Since(w.arrivedAt)}
		case <-d.ctx.Done():
			return true
		}
		if w.leaves(time.Now()) {
			break
		}
	}
	return false
}

// take adds what a group brought.
func (w *groupWait) take(r groupResult) {
	if !w.heard[r.group] {
		w.heard[r.group] = true
		w.awaited--
	}
	if r.final {
		w.open--
		w.merged.lost += len(w.groups[r.group].Shards) - w.merged.parts[r.group] - len(r.signatures)
	}
	w.merged.add(r)
	w.run.recordTries(r.tries)
	w.run.recordChanges(r)
	w.finished[r.group] = r.final
	w.arrivedAt = w.run.recordGroupWait(r, w.arrivedAt, time.Now())
}

// leaves reports whether the answer or the refusal leaves although groups may be open.
func (w *groupWait) leaves(now time.Time) bool {
	// Owners tell what has arrived when nothing else is likely to arrive in time, so there is nothing to wait for after that.
	complete := (w.late || w.awaited == 0) && w.run.enough(len(w.merged.order))
	return complete || w.stopped || !now.Before(w.run.deadline) || w.merged.lost > w.run.maxMissing
}

// answer returns the result of the request from what the groups have brought.
func (w *groupWait) answer() ForwardResult {
	d, m := w.run, w.merged
	m.mayHaveRun = m.mayHaveRun || w.open > 0
	for i, done := range w.finished {
		if !done {
			d.record.Wait.addOpen(func() string { return groupName(i) })
		}
	}
	if !d.enough(len(m.order)) {
		m.held.Release()
		return d.refusal(m.mayHaveRun, m.restLeft)
	}
	d.record.Covered = len(m.order)
	g := &GatheredAnswer{
		Signatures: m.order, MissingParts: len(d.services) - len(m.order), Body: targets.GreatestRecords(m.bodies, d.topRecords),
		Held: m.held,
	}
	g.Held.shrink(len(g.Body))
	return ForwardResult{Gathered: g, written: d.observeAnswer(w.late)}
}

// resultsPerGroup is the number of results that most groups bring at most: one ahead, and the last one. Groups with more wait
// until the goroutine of the request, or releaseLate after it, takes them.
const resultsPerGroup = 2

// releaseLate releases the memory of what groups bring after the answer. They end soon because their context has ended. open
// is the number of groups that have not ended.
func releaseLate(results <-chan groupResult, open int) {
	if open == 0 {
		return
	}
	go func() {
		for open > 0 {
			r := <-results
			r.held.Release()
			if r.final {
				open--
			}
		}
	}()
}

// mayMiss returns the number of parts that the answer may lack.
func (d *dispatchRun) mayMiss() int {
	return len(d.services) - int(math.Ceil(d.route.MinCoverage*float64(len(d.services))))
}

// enough reports whether the number of parts suffices for an answer.
func (d *dispatchRun) enough(parts int) bool {
	return parts > 0 && float64(parts) >= d.route.MinCoverage*float64(len(d.services))
}

// mergedGroups is what the groups of a request have brought in.
type mergedGroups struct {
	order      []string    // signatures
	parts      map[int]int // number of parts by group
	lost       int         // parts that the groups that have ended lack
	signatures map[string]bool
	bodies     [][]byte
	held       HeldBytes // memory of bodies
	mayHaveRun bool
	restLeft   time.Duration
}

func newMergedGroups() *mergedGroups {
	return &mergedGroups{signatures: map[string]bool{}, parts: map[int]int{}}
}

// add adds the result of a group. A group with a signature that was received before is left out whole: its records cannot
// be told apart.
func (m *mergedGroups) add(r groupResult) {
	m.mayHaveRun = m.mayHaveRun || r.mayHaveRun || len(r.signatures) > 0
	m.restLeft = max(m.restLeft, r.restLeft)
	for _, s := range r.signatures {
		if s == "" || m.signatures[s] {
			r.held.Release()
			return
		}
	}
	for _, s := range r.signatures {
		m.signatures[s] = true
	}
	if len(r.signatures) > 0 {
		m.order, m.bodies = append(m.order, r.signatures...), append(m.bodies, r.body)
		m.parts[r.group] += len(r.signatures)
	}
	m.held.absorb(&r.held)
}

// gatherGroup returns the parts of one group of shards. It asks the owners in order of preference, passing over those that
// did not respond lately, and gathers the group itself if none of them could be asked or all are lost. partial gets the parts
// that are there before the others end.
func (d *dispatchRun) gatherGroup(ctx context.Context, g sibling.GatherGroup, partial func(groupResult)) groupResult {
	var out groupResult
	left := d.maxAttempts() // less those of owners that may have begun
	for _, o := range g.Owners[:min(len(g.Owners), maxOwnerTries)] {
		if o.ID == d.forwarder.settings.Instance || ctx.Err() != nil {
			break
		}
		stats := d.forwarder.ownerStats(o.ID)
		if stats.calls.Avoided(time.Now()) {
			out.pass(o.ID, causeSilent)
			continue
		}
		out.ask(o.ID)
		reply, err := d.askOwner(ctx, o, stats, g.Shards, left, &out, partial)
		if err != nil || reply.Declined {
			out.pass(o.ID, out.tries[len(out.tries)-1].Reason)
		}
		switch {
		case errors.Is(err, sibling.ErrNotSent), err == nil && reply.Declined:
			continue
		case err != nil:
			out.mayHaveRun = true
			left -= tentativeAttempts
			if ctx.Err() != nil || out.ahead || !d.route.Idempotent || left < 1 || !errors.Is(err, sibling.ErrNotConfirmed) {
				return out
			}
			continue
		}
		if !out.takeReply(d.forwarder.settings.ReplyMemory, &reply) {
			out.tries[len(out.tries)-1].Reason = reasonNoReplyMemory
		}
		return out
	}
	if ctx.Err() != nil {
		return out // the answer has left, or the caller has
	}
	out.ask(d.forwarder.settings.Instance)
	own := d.part(ctx, g.Shards)
	own.partial = partial
	own.repeated, own.attemptLimit = left < d.maxAttempts(), left
	result := own.run(time.Now())
	out.tries = append(out.tries, own.record.Attempts...)
	out.wait = own.record.Wait
	out.take(result)
	return out
}

// causeSilent is the cause for passing over an owner that did not respond lately.
const causeSilent = "did not respond lately"

// groupName returns the name of a group in records.
func groupName(group int) string { return "group " + strconv.Itoa(group) }

// recordChanges records the owners that did not gather a group.
func (d *dispatchRun) recordChanges(r groupResult) {
	for _, c := range r.changes {
		c.Group = r.group
		d.record.OwnerChanges = append(d.record.OwnerChanges, c)
	}
}

// recordGroupWait records that the request has waited until now for what a group brought, and returns now. arrivedAt is when a
// group brought something before.
func (d *dispatchRun) recordGroupWait(r groupResult, arrivedAt, now time.Time) time.Time {
	w := Wait{Cause: WaitGroup, Group: r.group, Target: r.by, Time: now.Sub(arrivedAt)}
	if r.wait.Cause != "" {
		w = r.wait // what this instance's own group waited for says more
	}
	d.record.Wait = w
	return now
}

// reasonNoReplyMemory is the reason why the reply of an owner is left out although it arrived.
const reasonNoReplyMemory = "no memory left for replies"

// takeReply moves what an owner sent into r. It reports false if there is no memory left for it.
func (r *groupResult) takeReply(memory *ByteBudget, reply *sibling.GatherReply) bool {
	held, ok := memory.Hold(len(reply.Body))
	if !ok {
		r.mayHaveRun = true
		return false
	}
	r.held, r.signatures, r.body, r.restLeft = held, reply.Signatures, reply.Body, reply.RestLeft
	r.mayHaveRun = r.mayHaveRun || reply.MayHaveRun
	return true
}

// take moves the result of a group that was gathered by this instance into r.
func (r *groupResult) take(result ForwardResult) {
	switch {
	case result.Gathered != nil:
		r.signatures, r.body = result.Gathered.Signatures, result.Gathered.Body
		r.held.absorb(&result.Gathered.Held)
	case result.Refusal != nil:
		r.mayHaveRun = r.mayHaveRun || result.Refusal.Ran != caller.RanNo
		if result.Refusal.Code == caller.CodeOverloaded {
			r.restLeft = result.Refusal.RetryAfter
		}
	}
}

// part returns a run of this request for some of its shards.
func (d *dispatchRun) part(ctx context.Context, shards []string) *dispatchRun {
	return &dispatchRun{
		forwarder: d.forwarder, ctx: ctx, request: d.request, keyDigest: d.keyDigest, route: d.route, account: d.account,
		organisation: d.organisation, snapshot: d.snapshot, deadline: d.deadline, services: shards, answerBy: d.answerBy, isGroup: true,
		maxMissing: d.maxMissing, topRecords: d.topRecords, fingerprint: d.fingerprint, record: &Record{ID: d.record.ID, Received: d.record.Received},
		urgency: d.urgency, lateRisk: d.lateRisk,
	}
}

// askOwner asks an owner to gather a group and records how it went. attempts is the number of targets of each shard that
// may run the request, fewer than the run has if another owner may have begun; partial gets the parts that the owner sends ahead.
func (d *dispatchRun) askOwner(ctx context.Context, o sibling.Owner, owner *ownerStats, shards []string, attempts int, out *groupResult, partial func(groupResult)) (sibling.GatherReply, error) {
	sentAt, stats := time.Now(), &owner.calls
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	stats.TryStart(maxOwnerCalls)
	stats.RecordSend(sentAt)
	var responded time.Time // when the owner first sent parts ahead
	r := d.request
	reply, err := d.forwarder.settings.Siblings.GatherShards(ctx, o.Address, sibling.GatherRequest{
		RequestID: r.ID, Method: r.Method, RequestURI: r.RequestURI, Path: r.Path, Host: r.Host, Header: r.Header, Body: r.Body,
		Organisation: d.organisation, KeyDigest: d.keyDigest, Shards: shards, MaxAttempts: attempts, TopRecords: d.topRecords,
		Timeout: d.deadline.Sub(sentAt) - groupReplyMargin, SoftTimeout: d.answerBy.Sub(sentAt) - groupReplyMargin,
		Sender: d.forwarder.process, SentAt: sentAt.Sub(d.forwarder.started), StartWithin: owner.confirmTime(), Repeated: attempts < d.maxAttempts(),
		MaxMissing: d.maxMissing, LateRisk: d.lateRisk,
	}, func(ahead sibling.GatherReply) {
		if responded.IsZero() {
			responded, out.ahead = time.Now(), true
		}
		r := groupResult{by: o.ID}
		r.takeReply(d.forwarder.settings.ReplyMemory, &ahead)
		partial(r)
	})
	now := time.Now()
	if reply.ConfirmedAfter > 0 {
		owner.confirmations.observe(reply.ConfirmedAfter)
	}
	try := AttemptRecord{
		Service: ownerServiceName, Target: o.ID, SentAfter: sentAt.Sub(d.record.Received), EndedAfter: now.Sub(d.record.Received),
		ExpectedLatency: stats.Latency(), Outcome: targets.LegReplied.String(), finished: true,
	}
	switch {
	case !responded.IsZero():
		stats.RecordResponse(responded.Sub(sentAt), now)
		stats.Finish(responded.Sub(sentAt))
	case err == nil && !reply.Declined:
		stats.RecordResponse(now.Sub(sentAt), now)
		stats.Finish(now.Sub(sentAt))
	case err == nil:
		stats.RecordResponse(0, now)
		stats.Finish(0)
		try.Outcome, try.Reason = targets.LegNotRun.String(), "declined"
	default:
		stats.RecordNoResponse(sentAt, now, ctx.Err() == nil)
		stats.FinishCancelled(now.Sub(sentAt))
		try.Outcome, try.Reason = targets.LegNoReply.String(), err.Error()
		if errors.Is(err, sibling.ErrNotSent) {
			try.Outcome = targets.LegNotSent.String()
		}
	}
	owner.answers.record(try.Outcome, try.Reason, now)
	out.tries = append(out.tries, try)
	return reply, err
}

const (
	// maxOwnerCalls is above every number of calls to one owner at the same time: they are counted, not limited.
	maxOwnerCalls = 1 << 20
	// ownerServiceName is the service name in the record of a group that an owner gathers.
	ownerServiceName = "owner"
)

// ownerStats holds what this instance measures about an owner.
type ownerStats struct {
	calls   targets.TargetStats
	answers ownerAnswers
	// confirmations estimates the time until the owner confirms that it begins.
	confirmations lateness
}

// confirmTime returns the time after which an owner that has not confirmed a request is taken for lost, 0 if it is not known
// to confirm requests.
func (s *ownerStats) confirmTime() time.Duration {
	if usual := s.confirmations.upper(); usual > 0 {
		return max(confirmFactor*usual, minConfirmTime)
	}
	return 0
}

// ownerStats returns the statistics of an owner and creates them at the first call.
func (f *Forwarder) ownerStats(id string) *ownerStats {
	if s, ok := f.owners.Load(id); ok {
		return s.(*ownerStats)
	}
	s, _ := f.owners.LoadOrStore(id, &ownerStats{})
	return s.(*ownerStats)
}

// recordTries adds attempts to the record of the request.
func (d *dispatchRun) recordTries(tries []AttemptRecord) {
	for _, a := range tries {
		a.Attempt = len(d.record.Attempts) + 1
		d.record.Attempts = append(d.record.Attempts, a)
	}
}

// maxAttempts returns how many targets of one service may run the request.
func (d *dispatchRun) maxAttempts() int {
	if d.attemptLimit > 0 {
		return min(d.attemptLimit, d.route.MaxAttempts)
	}
	return d.route.MaxAttempts
}

// firstAttempts returns how many targets of one service may run the request at first.
func (d *dispatchRun) firstAttempts() int {
	if d.proceed != nil {
		return min(tentativeAttempts, d.maxAttempts())
	}
	return d.maxAttempts()
}

// GatherShards gathers the parts of some shards of a request that a sibling received. The sibling has admitted the request.
// It is never split again.
func (f *Forwarder) GatherShards(ctx context.Context, r sibling.GatherRequest, p sibling.GatherProgress) sibling.GatherReply {
	now, s := time.Now(), f.loop.Snapshot()
	g := &ownedGather{
		forwarder: f, request: r, progress: p, snapshot: s, receivedAt: now,
		record: &Record{ID: r.RequestID, Received: now, Organisation: r.Organisation, ForSibling: true, Parts: len(r.Shards), PlatformRevision: s.Position.Revision},
	}
	if reason := g.checkTime(); reason != "" {
		return g.decline(reason)
	}
	body, ok := f.settings.BodyMemory.Hold(len(r.Body))
	if !ok {
		return g.decline("no memory left for the body")
	}
	defer body.Release()
	if n := int64(len(r.Shards)); f.owned.Add(n) > int64(f.settings.MaxOwnedSends) && f.settings.MaxOwnedSends > 0 {
		f.owned.Add(-n)
		return g.decline("too many sends for siblings")
	}
	defer f.owned.Add(-int64(len(r.Shards)))
	route, account, reason := g.checkRoute()
	if reason != "" {
		return g.decline(reason)
	}
	d := g.newRun(ctx, route, account)
	if d.declines(now) {
		return g.decline("the sends would start too late, or the time left is too short")
	}
	if ctx.Err() != nil {
		return g.decline("the request has ended, or the sender has asked another instance")
	}
	return g.reply(d)
}

// ownedGather is the gathering of some shards for a sibling.
type ownedGather struct {
	forwarder  *Forwarder
	request    sibling.GatherRequest
	progress   sibling.GatherProgress
	snapshot   *routing.Snapshot
	receivedAt time.Time
	record     *Record
}

// decline records why the request is declined, and returns the reply.
func (g *ownedGather) decline(reason string) sibling.GatherReply {
	g.record.Outcome, g.record.Message, g.record.Duration = OutcomeDeclined, reason, time.Since(g.receivedAt)
	g.forwarder.recorder.Record(g.record)
	return sibling.GatherReply{Declined: true}
}

// checkTime subtracts from the time-outs of the request the time that it was held up on its way. It returns the reason to
// decline the request, empty if it can begin in time.
func (g *ownedGather) checkTime() string {
	f, r := g.forwarder, &g.request
	// The time of the request counts from its sending.
	delay := f.transit.Delay(r.Sender, r.SentAt, g.receivedAt.Sub(f.started))
	r.Timeout, r.SoftTimeout = r.Timeout-delay, r.SoftTimeout-delay
	if r.StartWithin > 0 && delay >= r.StartWithin {
		return "arrived " + delay.Round(time.Millisecond).String() + " late, after the sender asked another instance"
	}
	s, now := g.snapshot, g.receivedAt
	if s.Routing == nil || len(r.Shards) == 0 || r.Timeout <= 0 || f.stopRefusal(s.Stop, now.Add(r.Timeout), now) != nil {
		return "no routing yet, no time left, or the instance is stopping"
	}
	return ""
}

// checkRoute returns the route and the account of the request in the routing in force here, and the reason to decline the
// request if they are not those of the sibling.
func (g *ownedGather) checkRoute() (route *document.Route, account *document.Account, reason string) {
	r, s := &g.request, g.snapshot
	route = s.Routing.Match(r.Host, r.Path)
	if route == nil || !allowsAll(route, r.Shards) {
		return nil, nil, "the shards are not those of the route in force here"
	}
	g.record.Route, g.record.ConfigVersion, g.record.RoutingAge = route.Name, s.Routing.Version, g.receivedAt.Sub(s.RoutingSince)
	account, refusal := identify(s.Routing, route, r.KeyDigest)
	if refusal != nil || (account == nil) != (r.Organisation == "") || account != nil && account.Name != r.Organisation {
		return nil, nil, "the key is not one of the organisation here"
	}
	return route, account, ""
}

// newRun returns the run of the request's shards.
func (g *ownedGather) newRun(ctx context.Context, route *document.Route, account *document.Account) *dispatchRun {
	r, now := &g.request, g.receivedAt
	request := &Request{
		ID: r.RequestID, Method: r.Method, RequestURI: r.RequestURI, Path: r.Path, Host: r.Host, Header: r.Header, Body: r.Body,
		Received: now, Deadline: now.Add(r.Timeout),
	}
	d := &dispatchRun{
		forwarder: g.forwarder, ctx: ctx, request: request, keyDigest: r.KeyDigest, route: route, account: account, organisation: r.Organisation,
		snapshot: g.snapshot, deadline: now.Add(r.Timeout), services: r.Shards, answerBy: now.Add(r.SoftTimeout), isGroup: true,
		maxMissing: r.MaxMissing, attemptLimit: r.MaxAttempts, topRecords: r.TopRecords, repeated: r.Repeated,
		fingerprint: fingerprintOf(route, request, r.Organisation), record: g.record,
		urgency: g.snapshot.Routing.Urgency(route, account), lateRisk: r.LateRisk,
	}
	g.record.Urgency, g.record.Objective, g.record.Planned = d.urgency, objectiveOf(request, route, d.deadline), r.SoftTimeout
	if r.MaxMissing == sibling.UnknownMaxMissing {
		d.maxMissing = d.mayMiss()
	}
	if r.TopRecords == sibling.UnknownTopRecords {
		d.topRecords = route.TopRecords
	}
	if r.StartWithin > 0 {
		d.proceed = g.progress.Proceed
	}
	if g.progress.Partial != nil {
		d.partial = func(r groupResult) {
			g.progress.Partial(sibling.GatherReply{Signatures: r.signatures, Body: r.body})
			r.held.Release()
		}
	}
	return d
}

// reply confirms that the run begins, runs it and returns the reply to the sibling.
func (g *ownedGather) reply(d *dispatchRun) sibling.GatherReply {
	if g.progress.Confirm != nil {
		g.progress.Confirm()
	}
	result := d.run(g.receivedAt)
	g.record.completeForwarded(result, d.ctx.Err() != nil, time.Now())
	g.forwarder.recorder.Record(g.record)
	var group groupResult
	defer func() { group.held.Release() }()
	group.take(result)
	return sibling.GatherReply{Signatures: group.signatures, Body: group.body, MayHaveRun: group.mayHaveRun, RestLeft: group.restLeft}
}

// OwnedSends returns the number of sends that run for siblings.
func (f *Forwarder) OwnedSends() int64 { return f.owned.Load() }

// allowsAll reports whether all shards are shards of the route.
func allowsAll(route *document.Route, shards []string) bool {
	known := make(map[string]bool, len(route.Shards))
	for _, s := range route.Shards {
		known[s] = true
	}
	for _, s := range shards {
		if !known[s] {
			return false
		}
	}
	return true
}

// fingerprintOf identifies a request among those that may crash targets.
func fingerprintOf(route *document.Route, r *Request, organisation string) targets.Fingerprint {
	return targets.FingerprintOf(route.Name, r.Method+" "+r.RequestURI+"\x00"+organisation+"\x00"+string(r.Body))
}
