package traffic

import (
	"math"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/targets"
)

// admit returns the refusal of a request that is not admitted, nil if it is to run. Where all requests have one priority, each
// is admitted.
func (d *dispatchRun) admit(now time.Time) *caller.Refusal {
	if !d.urgency.Ranked() {
		return nil
	}
	own, atTargets, in := d.forwarder.admission, d.targetAdmission(), d.admissionInput(now)
	in.SkipCut = atTargets.Cut(d.urgency) < own.Cut(d.urgency)
	record := &AdmissionRecord{Expected: in.ExpectedTime(), TimeLeft: in.TimeLeft, SendDelay: in.SendDelay}
	d.record.Admission = record
	reason, refusal := own.Admit(caller.AdmissionInput{Urgency: d.urgency, SkipCut: !in.SkipCut}, rand.Float64(), now)
	if refusal == nil {
		reason, refusal = atTargets.Admit(in, rand.Float64(), now)
	}
	if record.Reason = reason; refusal != nil {
		record.Cut = max(own.Cut(d.urgency), atTargets.Cut(d.urgency))
	}
	return refusal
}

// targetAdmission returns the admission for the targets of the request. Routes to the same shards share it; a shortage at some
// targets must not refuse requests that others can serve.
func (d *dispatchRun) targetAdmission() *caller.Admission {
	service := d.services[0]
	if d.route.Sharded() {
		service = d.route.Shards[0] // also for a group of the shards
	}
	if a, ok := d.forwarder.targetAdmissions.Load(service); ok {
		return a.(*caller.Admission)
	}
	a, _ := d.forwarder.targetAdmissions.LoadOrStore(service, caller.NewAdmission())
	return a.(*caller.Admission)
}

// declines reports whether this instance declines to gather a group for a sibling because of its own load or that of the
// targets.
func (d *dispatchRun) declines(now time.Time) bool {
	if !d.urgency.Ranked() {
		return false
	}
	in := d.admissionInput(now)
	d.record.Admission = &AdmissionRecord{Expected: in.ExpectedTime(), TimeLeft: in.TimeLeft, SendDelay: in.SendDelay}
	return caller.DeclinesGroup(in, d.answerBy.Sub(now), rand.Float64())
}

// admissionInput describes the request to the admission.
func (d *dispatchRun) admissionInput(now time.Time) caller.AdmissionInput {
	in := caller.AdmissionInput{
		Urgency: d.urgency, TimeLeft: d.deadline.Sub(now), RequiredParts: 1, SendDelay: d.forwarder.starts.delay(d.urgency.Rank),
	}
	switch {
	case d.isGroup:
		in.RequiredParts = len(d.services) - d.maxMissing
	case d.route.Sharded():
		in.RequiredParts = int(math.Ceil(d.route.MinCoverage * float64(len(d.services))))
	}
	work := d.forwarder.statsOf(d.route.Name, objectiveOf(d.request, d.route, d.deadline)).serviceTime.Usual()
	in.Expected = make([]time.Duration, 0, len(d.services))
	directory := liveDirectory{loop: d.forwarder.loop, route: d.route, account: d.account}
	for _, s := range d.services {
		in.Expected = append(in.Expected, d.expectedTime(s, directory.Candidates(s), work, now))
	}
	return in
}

// expectedTime estimates the time to a reply of a service: that of its fastest target, and the wait for a place if parts wait. It
// is 0 if no target is known. work is the usual service time of the route at a target.
func (d *dispatchRun) expectedTime(service string, candidates []*targets.Target, work time.Duration, now time.Time) time.Duration {
	best, places := time.Duration(math.MaxInt64), 0
	for _, t := range candidates {
		best = min(best, t.ExpectedTime(work, now))
		places += t.Limit
	}
	if places == 0 {
		return 0
	}
	ahead := d.forwarder.places.Ahead(service, d.orderKey(now))
	return best + best*time.Duration(ahead)/time.Duration(places)
}

// orderKey returns the place of this request in the orders of starts and of places at targets.
func (d *dispatchRun) orderKey(now time.Time) targets.OrderKey {
	neededBy := d.answerBy
	if !neededBy.After(now) {
		neededBy = d.deadline // the answer is late already, so others gain more from their place
	}
	return targets.OrderKey{Rank: d.urgency.Rank, NeededBy: neededBy}
}

// observeCapacity reports to the admission what capacity the request found at its targets and at this instance.
func (d *dispatchRun) observeCapacity(m *targets.Dispatch, startedAt time.Time) {
	if !d.urgency.Ranked() || len(d.record.Attempts) == 0 && m.PlaceWait() == 0 {
		return
	}
	now := time.Now()
	lag := time.Duration(d.firstLag.Load())
	if lag == 0 && len(d.record.Attempts) > 0 {
		lag = now.Sub(startedAt) // no send has started yet
	}
	objective := objectiveOf(d.request, d.route, d.deadline)
	d.forwarder.admission.Observe(d.urgency, caller.AdmissionOutcome{Parts: len(d.services), Wait: lag, Objective: objective}, now)
	d.targetAdmission().Observe(d.urgency, caller.AdmissionOutcome{
		Parts: len(d.services), Sends: len(d.record.Attempts), Shed: d.shed, Wait: m.PlaceWait(),
		BudgetSpent: d.snapshot.RetryBudget(d.services[0]).Spent(d.serviceUrgency(), now), Objective: objective,
	}, now)
}

// Refused returns the number of refusals by rank and reason.
func (f *Forwarder) Refused() []map[caller.AdmissionReason]int64 {
	out := f.admission.Refused()
	f.targetAdmissions.Range(func(_, a any) bool {
		for rank, reasons := range a.(*caller.Admission).Refused() {
			if rank == len(out) {
				out = append(out, map[caller.AdmissionReason]int64{})
			}
			for reason, n := range reasons {
				out[rank][reason] += n
			}
		}
		return true
	})
	return out
}

// Cuts returns the greatest refused fraction of the usual rate by rank.
func (f *Forwarder) Cuts() []float64 {
	out := f.admission.Cuts()
	f.targetAdmissions.Range(func(_, a any) bool {
		for rank, cut := range a.(*caller.Admission).Cuts() {
			if rank == len(out) {
				out = append(out, 0)
			}
			out[rank] = max(out[rank], cut)
		}
		return true
	})
	return out
}

// Waiting returns, by rank, the number of sends that wait to start and of parts that wait for a place at a target.
func (f *Forwarder) Waiting() (starts, places []int) {
	return f.starts.waitingByRank(), f.places.Waiting()
}
