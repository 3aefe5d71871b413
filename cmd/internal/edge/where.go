package edge

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"dogwooddrift.org/drift/control/loop"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/traffic"
)

// Where is the reply to GET /where: where a request would go now, and why. Times are in milliseconds.
type Where struct {
	Instance       string  `json:"instance"`
	Zone           string  `json:"zone"`
	RoutingVersion uint64  `json:"routing_version"`
	RoutingAgeMs   float64 `json:"routing_age_ms"`
	// Route is empty if no route matches.
	Route        string `json:"route,omitempty"`
	Prefix       string `json:"prefix,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Priority     int    `json:"priority"`
	// Rank is the number of more urgent priorities among Ranks.
	Rank  int `json:"rank"`
	Ranks int `json:"ranks"`
	// Runs is set if the request would run; else Refused and Reason have the code and the message of the refusal.
	Runs         bool    `json:"runs"`
	Refused      string  `json:"refused,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
	// Admission is absent where all requests have one priority.
	Admission   *WhereAdmission `json:"admission,omitempty"`
	TimeLeftMs  float64         `json:"time_left_ms"`
	PlannedMs   float64         `json:"planned_ms"`
	SendDelayMs float64         `json:"send_delay_ms"`
	MinCoverage float64         `json:"min_coverage,omitempty"`
	// Services holds some of the ServiceCount services. WithoutTarget services have no target, and at WithoutPlace ones no target
	// has a free place.
	ServiceCount  int            `json:"service_count"`
	WithoutTarget int            `json:"without_target"`
	WithoutPlace  int            `json:"without_place"`
	Services      []WhereService `json:"services"`
	// Groups holds some of the GroupCount groups that siblings gather; there are none if this instance sends to all targets.
	GroupCount int          `json:"group_count"`
	Groups     []WhereGroup `json:"groups,omitempty"`
	// OwnersAvoided is the number of groups whose first owner would not be asked.
	OwnersAvoided int `json:"owners_avoided"`
}

// WhereAdmission is the decision of the admission. Cut is the refused fraction of the usual rate of the priority, Admitted the
// admitted fraction of the present requests.
type WhereAdmission struct {
	Runs     bool    `json:"runs"`
	Reason   string  `json:"reason,omitempty"`
	Cut      float64 `json:"cut"`
	Admitted float64 `json:"admitted"`
	LackMs   float64 `json:"lack_ms,omitempty"`
}

// WhereService is a service with its targets, the preferred ones first. OtherRegions targets are left out because the route or the
// organisation does not allow their regions.
type WhereService struct {
	Name         string        `json:"name"`
	Weight       float64       `json:"weight,omitempty"`
	Targets      []WhereTarget `json:"targets"`
	OtherRegions int           `json:"other_regions,omitempty"`
}

// WhereTarget is a target of a service.
type WhereTarget struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// First is set for the target that would be chosen first.
	First       bool       `json:"first,omitempty"`
	ExpectedMs  float64    `json:"expected_ms"`
	ScoreMs     float64    `json:"score_ms,omitempty"`
	Outstanding int        `json:"outstanding"`
	Limit       int        `json:"limit"`
	Load        *WhereLoad `json:"load,omitempty"`
	FailureRate float64    `json:"failure_rate,omitempty"`
	// Reasons say what speaks against the target. Targets that get no new requests from this instance have no figures.
	Reasons []string `json:"reasons,omitempty"`
}

// WhereLoad is the last load report of a target.
type WhereLoad struct {
	Requests int     `json:"requests"`
	Slots    int     `json:"slots"`
	Pace     float64 `json:"pace"`
	AgeMs    float64 `json:"age_ms"`
	Trust    float64 `json:"trust"`
	Slowness float64 `json:"slowness"`
}

// WhereGroup is a group of shards; Asked is the owner that would be asked to gather it.
type WhereGroup struct {
	Shards int          `json:"shards"`
	Asked  string       `json:"asked"`
	Owners []WhereOwner `json:"owners"`
}

// WhereOwner is an owner of a group and how it has answered this instance.
type WhereOwner struct {
	ID              string  `json:"id"`
	Zone            string  `json:"zone"`
	Self            bool    `json:"self,omitempty"`
	Avoided         bool    `json:"avoided,omitempty"`
	Outstanding     int     `json:"outstanding"`
	LatencyMs       float64 `json:"latency_ms,omitempty"`
	ConfirmWithinMs float64 `json:"confirm_within_ms,omitempty"`
	Replied         int     `json:"replied"`
	Declined        int     `json:"declined"`
	Lost            int     `json:"lost"`
	LastOutcome     string  `json:"last_outcome,omitempty"`
	LastReason      string  `json:"last_reason,omitempty"`
	LastAgeMs       float64 `json:"last_age_ms,omitempty"`
}

const (
	// maxWhereServices and maxWhereGroups bound the services and groups of a reply, whereServices is the number of services unless
	// the request says otherwise.
	whereServices    = 4
	maxWhereServices = 1000
	maxWhereGroups   = 16
	// maxWhereValue is the longest accepted host, path or name: the longest header that callers may send.
	maxWhereValue = maxCallerHeaderBytes
)

// parseWhere reads the query of GET /where.
func parseWhere(values url.Values) (traffic.PreviewQuery, error) {
	q := traffic.PreviewQuery{MaxServices: whereServices, MaxGroups: maxWhereGroups}
	for name, v := range values {
		if len(v) != 1 {
			return q, fmt.Errorf("parameter %q is given %d times", name, len(v))
		}
		if len(v[0]) > maxWhereValue {
			return q, fmt.Errorf("parameter %q is longer than %d bytes", name, maxWhereValue)
		}
		switch name {
		case "host":
			q.Host = v[0]
		case "path":
			q.Path, _, _ = strings.Cut(v[0], "?")
		case "organisation":
			q.Organisation = v[0]
		case "services":
			var n int
			if _, err := fmt.Sscanf(v[0]+"\n", "%d\n", &n); err != nil || n < 0 || n > maxWhereServices {
				return q, fmt.Errorf("services is %.40q, a number from 0 to %d is needed", v[0], maxWhereServices)
			}
			q.MaxServices = n
		default:
			return q, fmt.Errorf("unknown parameter %.40q; known are host, path, organisation and services", name)
		}
	}
	switch {
	case q.Host == "":
		return q, fmt.Errorf("host is missing")
	case !strings.HasPrefix(q.Path, "/"):
		return q, fmt.Errorf("path is %.100q, a path that begins with a slash is needed", q.Path)
	}
	return q, nil
}

// serveWhere answers GET /where. It sends nothing to targets or siblings, and changes no state.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		http.Error(w, "the query is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	q, err := parseWhere(values)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.Timeout, q.TransitTime = n.config.DefaultDeadline, n.config.DefaultTransitTime
	now := time.Now()
	p, ok := n.forwarder.Preview(q, now)
	if !ok {
		http.Error(w, fmt.Sprintf("no organisation is named %.100q", q.Organisation), http.StatusBadRequest)
		return
	}
	dump, err := loop.Ask(r.Context(), n.loop, func(reply chan<- routing.Dump) routing.Event {
		return routing.TakeDump{Reply: reply}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := encodeWhere(&p, now)
	out.Instance, out.Zone = n.settings.Instance, n.settings.Zone
	out.addExcluded(dump.Targets)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// encodeWhere encodes a preview that was made at now.
func encodeWhere(p *traffic.Preview, now time.Time) *Where {
	out := &Where{
		RoutingVersion: uint64(p.Version), RoutingAgeMs: milliseconds(p.RoutingAge), Organisation: p.Organisation, Priority: p.Priority,
		Rank: p.Urgency.Rank, Ranks: p.Urgency.Levels, Runs: p.Refusal == nil, TimeLeftMs: milliseconds(p.TimeLeft),
		PlannedMs: milliseconds(p.PlannedIn), SendDelayMs: milliseconds(p.SendDelay), ServiceCount: p.ServiceCount,
		WithoutTarget: p.WithoutTarget, WithoutPlace: p.WithoutPlace, GroupCount: p.GroupCount, OwnersAvoided: p.SplitAvoided,
	}
	if p.Route != nil {
		out.Route, out.Prefix, out.MinCoverage = p.Route.Name, p.Route.Host+p.Route.Prefix, p.Route.MinCoverage
	}
	if p.Refusal != nil {
		out.Refused, out.Reason, out.RetryAfterMs = string(p.Refusal.Code), p.Refusal.Message, milliseconds(p.Refusal.RetryAfter)
	}
	if a := p.Admission; a != nil {
		out.Admission = &WhereAdmission{Runs: a.Refusal == nil, Reason: string(a.Reason), Cut: a.Cut, Admitted: a.Admitted, LackMs: milliseconds(a.Lack)}
	}
	for _, s := range p.Services {
		x := WhereService{Name: s.Name, Weight: s.Weight, OtherRegions: s.OtherRegions, Targets: []WhereTarget{}}
		for i := range s.Candidates {
			x.Targets = append(x.Targets, encodeCandidate(&s.Candidates[i]))
		}
		out.Services = append(out.Services, x)
	}
	for _, g := range p.Groups {
		x := WhereGroup{Shards: g.Shards, Asked: g.Asked}
		for i := range g.Owners {
			x.Owners = append(x.Owners, encodeOwner(&g.Owners[i], now))
		}
		out.Groups = append(out.Groups, x)
	}
	return out
}

func encodeCandidate(c *targets.Candidate) WhereTarget {
	t := WhereTarget{
		ID: c.Target.ID, Zone: c.Target.Zone, First: c.First, ExpectedMs: milliseconds(c.Expected), Outstanding: c.Outstanding,
		Limit: c.Limit, FailureRate: round(c.Target.Stats.FailureRate()), Reasons: c.Reasons,
	}
	if c.Eligible {
		t.ScoreMs = round(c.Score * 1000)
	}
	if c.HasLoad {
		t.Load = &WhereLoad{
			Requests: c.Load.Requests, Slots: c.Load.Slots, Pace: round(c.Load.Pace), AgeMs: milliseconds(c.Load.Age),
			Trust: round(c.Load.Trust), Slowness: round(c.Load.Slowness),
		}
	}
	return t
}

func encodeOwner(o *traffic.OwnerPreview, now time.Time) WhereOwner {
	x := WhereOwner{
		ID: o.ID, Zone: o.Zone, Self: o.Self, Avoided: o.Avoided, Outstanding: o.Outstanding, LatencyMs: milliseconds(o.Latency),
		ConfirmWithinMs: milliseconds(o.ConfirmWithin), Replied: o.Answers.Replied, Declined: o.Answers.Declined, Lost: o.Answers.Lost,
		LastOutcome: o.Answers.LastOutcome, LastReason: o.Answers.LastReason,
	}
	if x.LastOutcome != "" {
		x.LastAgeMs = milliseconds(now.Sub(o.Answers.LastAt))
	}
	return x
}

// addExcluded adds the targets of the services that get no new requests from this instance, with the reason.
func (w *Where) addExcluded(all []routing.TargetDump) {
	for i := range w.Services {
		s := &w.Services[i]
		for _, t := range all {
			listed := slices.ContainsFunc(s.Targets, func(x WhereTarget) bool { return x.ID == t.ID })
			if t.Service == s.Name && t.Excluded != "" && !listed {
				s.Targets = append(s.Targets, WhereTarget{ID: t.ID, Zone: t.Zone, Outstanding: t.Outstanding, Reasons: []string{t.Excluded}})
			}
		}
	}
}

// milliseconds returns a duration in milliseconds with three decimals.
func milliseconds(d time.Duration) float64 { return round(d.Seconds() * 1000) }

// round returns x with three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
