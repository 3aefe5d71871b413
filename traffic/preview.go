package traffic

import (
	"cmp"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
	"dogwooddrift.org/drift/targets"
)

// PreviewQuery describes a request to Forwarder.Preview.
type PreviewQuery struct {
	Host, Path string
	// Organisation is the name of the organisation that the request runs for, empty for a request without a key.
	Organisation string
	// Timeout is the time that the caller waits, TransitTime that of Request.
	Timeout, TransitTime time.Duration
	// MaxServices and MaxGroups bound the services and groups in the preview.
	MaxServices, MaxGroups int
}

// Preview is what the instance would decide about a request that arrived now.
type Preview struct {
	Version      document.Revision
	RoutingAge   time.Duration
	Route        *document.Route // nil if none matches
	Organisation string
	// Priority is the effective priority, Urgency its rank.
	Priority int
	Urgency  document.Urgency
	// Refusal is nil if the request would run. The remaining fields are set even then, as far as they are known.
	Refusal *caller.Refusal
	// Admission is nil where all requests have one priority, and all are admitted.
	Admission *caller.AdmissionPreview
	// TimeLeft is the time until the last moment for the final answer, PlannedIn the time until a gathered answer is planned.
	TimeLeft, PlannedIn time.Duration
	// SendDelay is how late this instance would start the first send.
	SendDelay time.Duration
	// Services holds some of the services: those without a free target first, then those that are expected to reply last.
	// ServiceCount is the number of all, WithoutTarget that of those without a candidate, WithoutPlace that of those whose
	// candidates have no free place.
	Services                                  []ServicePreview
	ServiceCount, WithoutTarget, WithoutPlace int
	// Groups are the first groups of a request that is split, GroupCount is the number of all. SplitAvoided is the number of
	// groups whose first owner would not be asked.
	Groups                   []GroupPreview
	GroupCount, SplitAvoided int
}

// ServicePreview is a service with its targets in the order of preference.
type ServicePreview struct {
	Name string
	// Weight is the weight of the service on its route, 0 for a shard.
	Weight     float64
	Candidates []targets.Candidate
	// OtherRegions is the number of targets that are left out because of the regions of the route or the organisation.
	OtherRegions int
}

// first returns the candidate that would be chosen first, nil if there is none.
func (s *ServicePreview) first() *targets.Candidate {
	for i := range s.Candidates {
		if s.Candidates[i].First {
			return &s.Candidates[i]
		}
	}
	return nil
}

// GroupPreview is a group of shards with its owners.
type GroupPreview struct {
	Shards int
	Owners []OwnerPreview
	// Asked is the ID of the owner that would be asked first; it is this instance if it would gather the group itself.
	Asked string
}

// OwnerPreview is an owner of a group, as this instance knows it.
type OwnerPreview struct {
	ID, Zone string
	Self     bool
	// Avoided is set if the owner would not be asked because it did not respond lately.
	Avoided     bool
	Outstanding int
	// Latency is the mean time to a reply, ConfirmWithin the time after which an owner that has not confirmed a request is taken
	// for lost; each is 0 if unknown.
	Latency, ConfirmWithin time.Duration
	Answers                OwnerAnswers
}

// Preview returns what would be decided about a request now. It sends nothing, spends nothing and changes no state. ok is false
// if there is no such organisation. Whether the request is quarantined and whether its targets have room for its body is not
// known.
func (f *Forwarder) Preview(q PreviewQuery, now time.Time) (p Preview, ok bool) {
	s := f.loop.Snapshot()
	if s.Routing == nil {
		p.Refusal = notConfigured()
		return p, true
	}
	p.Version, p.RoutingAge, p.Organisation = s.Routing.Version, now.Sub(s.RoutingSince), q.Organisation
	account := s.Routing.AccountByName(q.Organisation)
	if q.Organisation != "" && account == nil {
		return p, false
	}
	route := s.Routing.Match(q.Host, q.Path)
	if route == nil {
		p.Refusal = noRoute()
		return p, true
	}
	p.Route, p.Priority = route, route.PriorityFor(account)
	if account == nil {
		_, p.Refusal = identify(s.Routing, route, "")
	}
	r := &Request{Path: q.Path, Host: q.Host, Received: now, Deadline: now.Add(q.Timeout), TransitTime: q.TransitTime}
	deadline := f.deadlineOf(r, route)
	d := &dispatchRun{
		forwarder: f, request: r, route: route, account: account, organisation: q.Organisation, snapshot: s, deadline: deadline,
		services: route.Shards, urgency: s.Routing.Urgency(route, account),
	}
	d.answerBy, d.leaveBy = f.answerTimes(r, route, deadline)
	if !route.Sharded() {
		heaviest := slices.MaxFunc(route.Services, func(a, b document.WeightedService) int { return cmp.Compare(a.Weight, b.Weight) })
		d.services = []string{heaviest.Service}
	}
	p.Urgency, p.TimeLeft, p.PlannedIn = d.urgency, deadline.Sub(now), d.answerBy.Sub(now)
	p.SendDelay = f.starts.delay(d.urgency.Rank)
	if d.urgency.Ranked() {
		admission := f.admission.Preview(d.admissionInput(now), now)
		p.Admission = &admission
	}
	if p.Refusal == nil {
		p.Refusal = d.previewRefusal(p.Admission, now)
	}
	d.previewServices(&p, q.MaxServices, now)
	d.previewGroups(&p, q.MaxGroups, now)
	return p, true
}

// previewRefusal returns the refusal of the request after its key was accepted, nil if it would run.
func (d *dispatchRun) previewRefusal(a *caller.AdmissionPreview, now time.Time) *caller.Refusal {
	if refusal := d.forwarder.stopRefusal(d.snapshot.Stop, d.deadline, now); refusal != nil {
		return refusal
	}
	if limiter := d.snapshot.RateLimiters[d.organisation]; limiter != nil && d.account != nil {
		if admitted, retryAfter := limiter.Preview(now); !admitted {
			return rateRefusal(retryAfter)
		}
	}
	if a != nil && a.Refusal != nil {
		return a.Refusal
	}
	if d.lacksReachable(d.services, now) {
		return d.unreachableRefusal()
	}
	return nil
}

// previewServices adds the services of the request and their candidates.
func (d *dispatchRun) previewServices(p *Preview, limit int, now time.Time) {
	var all []ServicePreview
	for _, name := range d.route.Shards {
		all = append(all, ServicePreview{Name: name})
	}
	for _, s := range d.route.Services {
		all = append(all, ServicePreview{Name: s.Service, Weight: s.Weight})
	}
	directory := liveDirectory{loop: d.forwarder.loop, route: d.route, account: d.account}
	config := targets.DispatchConfig{Directory: directory, Zone: d.forwarder.settings.Zone}
	if s, ok := d.forwarder.routes.Load(d.route.Name); ok {
		config.Work = s.(*routeStats).serviceTime.Usual()
	}
	if d.urgency.Ranked() {
		config.Places, config.Key = d.forwarder.places, d.orderKey(now)
	}
	for i := range all {
		s := &all[i]
		s.Candidates = targets.Preview(config, s.Name, now)
		s.OtherRegions = max(len(d.snapshot.Candidates(s.Name))-len(s.Candidates), 0)
		switch {
		case len(s.Candidates) == 0:
			p.WithoutTarget++
		case s.first() == nil:
			p.WithoutPlace++
		}
	}
	slices.SortStableFunc(all, func(a, b ServicePreview) int {
		x, y := a.first(), b.first()
		switch {
		case x == nil && y == nil:
			return 0
		case x == nil:
			return -1
		case y == nil:
			return 1
		}
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(y.Expected, x.Expected))
	})
	p.ServiceCount, p.Services = len(all), all[:min(len(all), limit)]
}

// previewGroups adds the groups into which the request would be split.
func (d *dispatchRun) previewGroups(p *Preview, limit int, now time.Time) {
	groups := d.gatherGroups()
	p.GroupCount = len(groups)
	for _, g := range groups {
		x := d.previewGroup(g, now)
		if len(x.Owners) > 0 && x.Owners[0].ID != x.Asked {
			p.SplitAvoided++
		}
		if len(p.Groups) < limit {
			p.Groups = append(p.Groups, x)
		}
	}
}

// previewGroup describes a group and its owners.
func (d *dispatchRun) previewGroup(g sibling.GatherGroup, now time.Time) GroupPreview {
	out := GroupPreview{Shards: len(g.Shards)}
	self := d.forwarder.settings.Instance
	for i, o := range g.Owners {
		x := OwnerPreview{ID: o.ID, Zone: o.Zone, Self: o.ID == self}
		if s, known := d.forwarder.owners.Load(o.ID); known {
			stats := s.(*ownerStats)
			x.Avoided, x.Outstanding, x.Latency = stats.calls.Avoided(now), stats.calls.Outstanding(), stats.calls.Latency()
			x.ConfirmWithin, x.Answers = stats.confirmTime(), stats.answers.get()
		}
		if out.Asked == "" && i < maxOwnerTries && (x.Self || !x.Avoided) {
			out.Asked = o.ID
		}
		out.Owners = append(out.Owners, x)
	}
	out.Asked = cmp.Or(out.Asked, self)
	return out
}
