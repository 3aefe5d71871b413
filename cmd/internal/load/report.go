package load

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwooddrift.org/drift/cmd/internal/standin"
)

// The errors of Report.Err.
var (
	// ErrUntruthful means that a response contradicted the state of the emulated targets.
	ErrUntruthful = errors.New("an answer was untruthful")
	// ErrViolation means that the run violated a guarantee.
	ErrViolation = errors.New("a guarantee was broken")
)

const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// zoneRecovery is the time after the return of a zone that the zone measures still include.
	zoneRecovery = 5 * time.Second
	// withdrawalLimit is the time for which a withdrawn key may still be accepted: the limit for a configuration to be in
	// force (P12).
	withdrawalLimit = 4 * time.Second
	// rateTolerance is the tolerance of the rate check in requests. It covers only the rounding of floating-point sums.
	rateTolerance    = 1e-6
	maxFindingsShown = 10
)

// Latency holds latency quantiles in milliseconds, measured from the scheduled arrival.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Service summarises how a set of requests was served. Whole counts the answers with full coverage, and Refusals the
// requests without an answer by code.
type Service struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	Whole    int    `json:"whole"`
	// Coverage is the fraction of the shards that answered, over all answered requests.
	Coverage float64        `json:"coverage"`
	Refusals map[string]int `json:"refusals"`
	Latency
	// Served is the mean coverage of the requests that were answered or within the rate, where a request without an answer
	// counts as zero. It is set for organisations only.
	Served float64 `json:"served,omitempty"`
	// RefusedInRate counts the requests within the organisation's rate that were not answered, with any code except
	// duplicate. RateLimitedInRate counts those of them with the code rate_limited.
	RefusedInRate     int `json:"refused_in_rate,omitempty"`
	RateLimitedInRate int `json:"rate_limited_in_rate,omitempty"`
	// RateExcess is the maximum number of admitted requests above rate*w + burst in any window of length w. It is at most
	// zero if the rate guarantee holds.
	RateExcess float64 `json:"rate_excess,omitempty"`
}

// Measures are the six measures defined on the design page (1.2).
type Measures struct {
	TailP99       float64 `json:"tail_p99_ms"`
	TailP999      float64 `json:"tail_p999_ms"`
	Coverage      float64 `json:"coverage"`
	ExtraLoad     float64 `json:"extra_load"` // legs sent / legs needed - 1
	ZoneServed    float64 `json:"zone_served"`
	ZoneP99       float64 `json:"zone_p99_ms"`
	WorstServed   float64 `json:"worst_served"`
	WorstName     string  `json:"worst_served_organisation"`
	RefusedInRate float64 `json:"refused_in_rate"`
}

// Report holds the measures and findings of a run.
type Report struct {
	Experiment string    `json:"experiment"`
	Seed       uint64    `json:"seed"`
	Measures   Measures  `json:"measures"`
	Classes    []Service `json:"classes"`
	// Organisations are in the order of the experiment.
	Organisations []Service `json:"organisations"`
	// SurgeP99Ratio is the p99 latency of the other organisations during surges, divided by their p99 in the period of the
	// same length before each surge. It is 0 without a surge.
	SurgeP99Ratio float64 `json:"surge_p99_ratio,omitempty"`
	// GeneratorLag is the p99 of the delay from the scheduled arrival of a request until the tool sent it, in milliseconds.
	// If it is not small compared with the latencies, the machine was overloaded and the measures are unreliable.
	GeneratorLag float64                  `json:"generator_lag_p99_ms"`
	Targets      TargetTotals             `json:"targets"`
	Platform     standin.PlatformCounters `json:"platform"`
	// CrashRequests are the outcomes of the requests of crash faults, in order: a refusal code or "answered".
	CrashRequests []string `json:"crash_requests,omitempty"`
	Untruthful    []string `json:"untruthful"`
	Violations    []string `json:"violations"`

	trace []Trace
}

// TargetTotals holds the sums of the counters of all targets, except that MostConnections is the maximum over the targets.
// LegsNeeded counts one leg for each shard of each query, except queries that were refused as not run.
type TargetTotals struct {
	Legs               int `json:"legs"`
	LegsNeeded         int `json:"legs_needed"`
	Shed               int `json:"shed"`
	Crashes            int `json:"crashes"`
	ConnectionsRefused int `json:"connections_refused"`
	ConnectionsOpened  int `json:"connections_opened"`
	MostConnections    int `json:"most_connections"`
	ColdOverloads      int `json:"cold_overloads"`
	ColdViolations     int `json:"cold_violations"`
	LateOutArrivals    int `json:"late_out_arrivals"`
	LateDrainArrivals  int `json:"late_drain_arrivals"`
	KeysSeen           int `json:"keys_seen"`
}

// Trace describes one request of a run, for diagnosis. At is the scheduled arrival in milliseconds from the start of the
// run, and Latency is in milliseconds.
type Trace struct {
	At           float64        `json:"at_ms"`
	Latency      float64        `json:"latency_ms"`
	Organisation string         `json:"organisation"`
	Service      string         `json:"service"`
	Text         string         `json:"text"`
	Entry        string         `json:"entry"`
	Zone         string         `json:"zone"`
	Status       int            `json:"status"`
	Code         string         `json:"code,omitempty"`
	Ran          string         `json:"ran,omitempty"`
	Covered      int            `json:"covered"`
	Total        int            `json:"total"`
	Missing      map[string]int `json:"missing,omitempty"`
	Wrong        []string       `json:"wrong,omitempty"`
}

// trace returns the outcomes of the scheduled requests in order of arrival.
func (r *run) trace() []Trace {
	out := make([]Trace, 0, len(r.outcomes))
	for i := range r.outcomes {
		o := &r.outcomes[i]
		out = append(out, Trace{
			At: ms(o.at), Latency: ms(o.latency), Organisation: r.experiment.Organisations[o.organisation].Name, Service: o.service,
			Text: o.text, Entry: o.entry.ID, Zone: o.entry.Zone, Status: o.status, Code: o.code, Ran: o.ran,
			Covered: o.covered, Total: o.total, Missing: o.missing, Wrong: o.problems,
		})
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTrace writes one line with a JSON object for each scheduled request of the run.
func (r *Report) WriteTrace(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, t := range r.trace {
		if err := encoder.Encode(t); err != nil {
			return err
		}
	}
	return nil
}

// Err returns an error that wraps ErrUntruthful, ErrViolation or both if checks failed, and nil otherwise.
func (r *Report) Err() error {
	var errs []error
	if len(r.Untruthful) > 0 {
		errs = append(errs, fmt.Errorf("%w: %d findings", ErrUntruthful, len(r.Untruthful)))
	}
	if len(r.Violations) > 0 {
		errs = append(errs, fmt.Errorf("%w: %d findings", ErrViolation, len(r.Violations)))
	}
	return errors.Join(errs...)
}

// requestGroup accumulates the requests that one Service summarises.
type requestGroup struct {
	Service
	histogram *hdrhistogram.Histogram
	covered   int
	total     int
}

func newRequestGroup(name string) *requestGroup {
	return &requestGroup{Service: Service{Name: name, Refusals: map[string]int{}}, histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (g *requestGroup) count(o *outcome) {
	g.Requests++
	if !o.ok() {
		g.Refusals[o.code]++
		return
	}
	g.Answered++
	g.covered += o.covered
	g.total += o.total
	if o.covered == o.total {
		g.Whole++
	}
	_ = g.histogram.RecordValue(min(histogramMax, max(1, o.latency.Microseconds())))
}

func (g *requestGroup) finish() Service {
	g.Coverage = ratio(g.covered, g.total)
	quantile := func(q float64) float64 { return float64(g.histogram.ValueAtQuantile(q)) / 1000 }
	g.Latency = Latency{P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: float64(g.histogram.Max()) / 1000}
	return g.Service
}

// ratio returns part/whole, or 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// report evaluates the outcomes of the run and the counters of the deployment.
func (r *run) report() *Report {
	report := &Report{Experiment: r.experiment.Name, Seed: r.experiment.Seed, Platform: r.deployment.Platform.Counters()}
	all, zone := newRequestGroup("all"), newRequestGroup("zone")
	classes := map[string]*requestGroup{}
	zoneServed := 0.0
	surge, preSurge := newRequestGroup("surge"), newRequestGroup("calm")
	lag := hdrhistogram.New(1, histogramMax, histogramDigits)
	for i := range r.outcomes {
		o := &r.outcomes[i]
		_ = lag.RecordValue(min(histogramMax, max(1, (o.sent-o.at).Microseconds())))
		for _, w := range o.problems {
			report.Untruthful = append(report.Untruthful, fmt.Sprintf("%s %s: %s", o.service, o.text, w))
		}
		if o.at < r.experiment.Warmup || o.repeat {
			continue
		}
		all.count(o)
		if classes[o.service] == nil {
			classes[o.service] = newRequestGroup(o.service)
		}
		classes[o.service].count(o)
		if r.duringZoneFault(o.at) {
			zone.count(o)
			zoneServed += o.coverage()
		}
		switch r.surgePeriodOf(o) {
		case duringSurge:
			surge.count(o)
		case beforeSurge:
			preSurge.count(o)
		case outsideSurge:
		}
	}
	for _, s := range r.experiment.Services {
		if g := classes[s.Name]; g != nil {
			report.Classes = append(report.Classes, g.finish())
		}
	}
	r.measureOrganisations(report)
	r.sumTargetCounters(report)
	r.checkChanges(report)
	r.checkZonesOutOfService(report)
	r.checkCutOff(report)
	for _, o := range r.crashOutcomes {
		report.CrashRequests = append(report.CrashRequests, cmp.Or(o.code, "answered"))
	}
	overall, inZone := all.finish(), zone.finish()
	m := &report.Measures
	m.TailP99, m.TailP999, m.Coverage = overall.P99, overall.P999, overall.Coverage
	m.ZoneServed, m.ZoneP99 = 1, inZone.P99
	if zone.Requests > 0 {
		m.ZoneServed = zoneServed / float64(zone.Requests)
	}
	if before := preSurge.finish().P99; surge.Requests > 0 && before > 0 {
		report.SurgeP99Ratio = surge.finish().P99 / before
	}
	report.GeneratorLag = float64(lag.ValueAtQuantile(99)) / 1000
	m.ExtraLoad = ratio(report.Targets.Legs, report.Targets.LegsNeeded) - 1
	return report
}

// duringZoneFault reports whether, at that time, a zone was out of service, had a link fault, or had returned less than
// zoneRecovery before.
func (r *run) duringZoneFault(at time.Duration) bool {
	return slices.ContainsFunc(r.experiment.Faults, func(f Fault) bool {
		return (f.ZoneOut != "" || f.Links != nil) && at >= f.At && at < f.At+f.For+zoneRecovery
	})
}

// surgePeriod classifies the time of a request relative to the surges.
type surgePeriod int

const (
	outsideSurge surgePeriod = iota
	beforeSurge
	duringSurge
)

// surgePeriodOf reports whether the request arrived during the surge of another organisation, or in the period of the same
// length before it. The surging organisation's own requests don't count for its surge.
func (r *run) surgePeriodOf(o *outcome) surgePeriod {
	for _, f := range r.experiment.Faults {
		switch {
		case f.Surge == nil || f.Surge.Organisation == r.experiment.Organisations[o.organisation].Name:
		case o.at >= f.At && o.at < f.At+f.For:
			return duringSurge
		case o.at >= f.At-f.For && o.at < f.At:
			return beforeSurge
		}
	}
	return outsideSurge
}

// keyWithdrawnAt returns the time at which the organisation's keys were withdrawn, false if they were not.
func (r *run) keyWithdrawnAt(organisation string) (time.Duration, bool) {
	for _, f := range r.experiment.Faults {
		if f.WithdrawKey == organisation {
			return f.At, true
		}
	}
	return 0, false
}

// codesWithoutToken are the codes of requests that were refused before they took a token of their organisation's rate.
var codesWithoutToken = []string{
	"rate_limited", "unauthenticated", "forbidden", "draining", "not_configured", "isolated", "bad_request", "unknown_service",
	"overloaded", codeNoInstance,
}

// measureOrganisations summarises how each organisation was served, and checks its rate limit and the withdrawal of its
// keys.
func (r *run) measureOrganisations(report *Report) {
	served, sent := make([]float64, len(r.experiment.Organisations)), make([]int, len(r.experiment.Organisations))
	refused, inRate := 0, 0
	for i, org := range r.experiment.Organisations {
		g, bucket := newRequestGroup(org.Name), newTokenBucket(org.Rate, org.Burst)
		var admitted []admission
		withdrawnAt, withdrawn := r.keyWithdrawnAt(org.Name)
		for j := range r.outcomes {
			o := &r.outcomes[j]
			if o.organisation != i {
				continue
			}
			if o.ok() {
				admitted = append(admitted, admission{o.sent, o.answered})
				if withdrawn && o.sent > withdrawnAt+withdrawalLimit {
					report.Violations = append(report.Violations, fmt.Sprintf("P5: key of %s worked %v after its withdrawal", org.Name, o.sent-withdrawnAt))
				}
			}
			available := bucket.available(o.at)
			if o.ok() || !slices.Contains(codesWithoutToken, o.code) {
				bucket.spend()
			}
			if o.at < r.experiment.Warmup || o.repeat || withdrawn && o.at >= withdrawnAt {
				continue
			}
			g.count(o)
			if o.ok() || available {
				sent[i]++
				served[i] += o.coverage()
			}
			if available && !o.ok() && o.code != "duplicate" {
				g.RefusedInRate++
				if o.code == "rate_limited" {
					g.RateLimitedInRate++
				}
			}
		}
		g.RateExcess = rateExcess(admitted, org.Rate, org.Burst)
		if g.RateExcess > rateTolerance {
			report.Violations = append(report.Violations, fmt.Sprintf("P6: %s has %.2f requests above rate*w + burst in a window", org.Name, g.RateExcess))
		}
		if sent[i] > 0 {
			served[i] /= float64(sent[i])
		}
		g.Served = served[i]
		refused += g.RefusedInRate
		inRate += sent[i]
		report.Organisations = append(report.Organisations, g.finish())
	}
	m := &report.Measures
	if w := worstServed(served, sent); w >= 0 {
		m.WorstServed, m.WorstName = served[w], r.experiment.Organisations[w].Name
	}
	if inRate > 0 {
		m.RefusedInRate = float64(refused) / float64(inRate)
	}
}

// sumTargetCounters adds up the counters of the targets and checks the guarantees that depend on them.
func (r *run) sumTargetCounters(report *Report) {
	t := &report.Targets
	for _, c := range r.deployment.Fleet.Counters() {
		t.Legs += c.Searches
		t.Shed += c.Shed
		t.Crashes += c.Crashes
		t.ConnectionsRefused += c.ConnectionsRefused
		t.ConnectionsOpened += c.ConnectionsAccepted
		t.MostConnections = max(t.MostConnections, c.MostConnections)
		t.ColdOverloads += c.ColdOverloads
		t.ColdViolations += c.ColdViolations
		t.LateOutArrivals += c.LateOutArrivals
		t.LateDrainArrivals += c.LateDrainArrivals
		t.KeysSeen += c.KeysSeen
	}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if s := r.experiment.service(o.service); s.Shards > 0 && (o.ok() || o.ran != "no") {
			t.LegsNeeded += max(o.total, s.Shards*btoi(!o.ok()))
		}
	}
	for _, v := range []struct {
		n    int
		what string
	}{
		{t.ColdViolations, "P3: requests above what a cold target bears, after it was known to be cold"},
		{t.LateOutArrivals, "P4: requests at targets out of service for more than 3 s"},
		{t.LateDrainArrivals, "P10: requests at targets that drain for more than 3 s"},
		{t.KeysSeen, "P5: requests at targets with a caller's key"},
	} {
		if v.n > 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("%s: %d", v.what, v.n))
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkChanges checks the responses to changes against the executions that the targets recorded.
func (r *run) checkChanges(report *Report) {
	runs := r.deployment.Fleet.ChangeRuns()
	results := map[string]ChangeResult{}
	for _, o := range slices.Concat(r.outcomes, r.crashOutcomes) {
		if o.text == "" || r.experiment.service(o.service).Shards > 0 {
			continue
		}
		k := standin.ChangeKey(r.experiment.Organisations[o.organisation].Name, o.text)
		c := results[k]
		c.Sent++
		if o.ok() {
			c.Answered++
		} else if o.ran == "no" {
			c.NotRun++
		}
		results[k] = c
	}
	for _, k := range slices.Sorted(maps.Keys(results)) {
		report.Untruthful = append(report.Untruthful, UntruthfulChange(k, results[k], runs[k])...)
	}
}

// checkZonesOutOfService finds requests answered by entry instances whose zone had been out of service for more than
// standin.StopSendingLimit when the request was sent.
func (r *run) checkZonesOutOfService(report *Report) {
	for _, f := range r.experiment.Faults {
		if f.ZoneOut == "" {
			continue
		}
		late := 0
		for i := range r.outcomes {
			o := &r.outcomes[i]
			if o.ok() && o.entry.Zone == f.ZoneOut && o.sent > f.At+standin.StopSendingLimit && o.sent < f.At+f.For {
				late++
			}
		}
		if late > 0 {
			report.Violations = append(report.Violations,
				fmt.Sprintf("P4: entry instances in zone %s, out of service for more than 3 s, answered %d requests", f.ZoneOut, late))
		}
	}
}

// checkCutOff finds requests that failed with codeCutOff at an instance that was not killed.
func (r *run) checkCutOff(report *Report) {
	n := 0
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.code == codeCutOff && !r.killedEntries[o.entry.ID] {
			n++
		}
	}
	if n > 0 {
		report.Violations = append(report.Violations, fmt.Sprintf("P11: requests cut off at instances that were not killed: %d", n))
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteClasses writes a table with one row for each service that received requests.
func (r *Report) WriteClasses(out io.Writer) { writeServices(out, "class", r.Classes) }

func writeServices(out io.Writer, kind string, services []Service) {
	_, _ = fmt.Fprintf(out, "%-18s %8s %8s %10s %9s %9s  %s\n", kind, "requests", "whole", "coverage", "p50", "p99", "refusals")
	for _, s := range services {
		_, _ = fmt.Fprintf(out, "%-18s %8d %8d %9.3f%% %7.1fms %7.1fms  %s\n",
			s.Name, s.Requests, s.Whole, 100*s.Coverage, s.P50, s.P99, refusals(s.Refusals))
	}
}

func refusals(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, m[code]))
	}
	return strings.Join(parts, " ")
}

// WriteFindings writes the untruthful responses and the violations, at most maxFindingsShown of each.
func (r *Report) WriteFindings(out io.Writer) {
	for _, f := range []struct {
		kind string
		list []string
	}{{"untruthful", r.Untruthful}, {"violation", r.Violations}} {
		for i, text := range f.list {
			if i == maxFindingsShown {
				_, _ = fmt.Fprintf(out, "%s: %d more\n", f.kind, len(f.list)-maxFindingsShown)
				break
			}
			_, _ = fmt.Fprintf(out, "%s: %s\n", f.kind, text)
		}
	}
}

// WriteTable writes the whole report as text.
func (r *Report) WriteTable(out io.Writer) {
	_, _ = fmt.Fprintf(out, "experiment %s, seed %d\n\n", r.Experiment, r.Seed)
	r.WriteClasses(out)
	_, _ = fmt.Fprintln(out)
	writeServices(out, "organisation", r.Organisations)
	_, _ = fmt.Fprintln(out)
	for _, row := range r.Measures.rows() {
		_, _ = fmt.Fprintf(out, "%-34s %12.4f %s\n", row.name, row.value, row.note)
	}
	t := r.Targets
	_, _ = fmt.Fprintf(out, "\nlegs %d of %d needed, shed %d, crashes %d, cold overloads %d (violations %d)\n",
		t.Legs, t.LegsNeeded, t.Shed, t.Crashes, t.ColdOverloads, t.ColdViolations)
	_, _ = fmt.Fprintf(out, "connections opened %d, refused %d, most at a target %d; platform calls %d, peak %d a second\n",
		t.ConnectionsOpened, t.ConnectionsRefused, t.MostConnections, r.Platform.Calls, r.Platform.PeakRate)
	_, _ = fmt.Fprintf(out, "p99 of the tool's own delay in sending: %.1f ms\n", r.GeneratorLag)
	if r.SurgeP99Ratio > 0 {
		_, _ = fmt.Fprintf(out, "p99 of other organisations during a surge, relative to the time before: %.2f\n", r.SurgeP99Ratio)
	}
	if len(r.CrashRequests) > 0 {
		_, _ = fmt.Fprintf(out, "requests that crash targets: %s\n", strings.Join(r.CrashRequests, ", "))
	}
	r.WriteFindings(out)
}

type row struct {
	name  string
	value float64
	note  string
}

func (m Measures) rows() []row {
	return []row{
		{"tail latency p99 (ms)", m.TailP99, ""},
		{"tail latency p99.9 (ms)", m.TailP999, ""},
		{"coverage", m.Coverage, ""},
		{"extra load (legs sent/needed - 1)", m.ExtraLoad, ""},
		{"served while a zone leaves", m.ZoneServed, ""},
		{"p99 while a zone leaves (ms)", m.ZoneP99, ""},
		{"worst-served organisation", m.WorstServed, m.WorstName},
		{"refused inside the rate", m.RefusedInRate, ""},
	}
}

// WriteComparison writes a table of the measures of a run and of its baseline, with their ratios.
func WriteComparison(out io.Writer, r, baseline *Report) {
	_, _ = fmt.Fprintf(out, "\n%-34s %12s %12s %8s\n", "measure", "this", "baseline", "ratio")
	rows, baselineRows := r.Measures.rows(), baseline.Measures.rows()
	for i := range rows {
		text := "-"
		if baselineRows[i].value != 0 {
			text = fmt.Sprintf("%.3f", rows[i].value/baselineRows[i].value)
		}
		_, _ = fmt.Fprintf(out, "%-34s %12.4f %12.4f %8s\n", rows[i].name, rows[i].value, baselineRows[i].value, text)
	}
}
