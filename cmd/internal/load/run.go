package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
)

const (
	readyTimeout = 15 * time.Second
	// surveyTimeout bounds the wait for instances that have seen every target.
	surveyTimeout = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
	// callerMargin is how much longer than its timeout a caller waits for the refusal of a late request.
	callerMargin = 2 * time.Second
	// settleTime is how long the targets must start no request before the counters are final.
	settleTime  = 200 * time.Millisecond
	settleLimit = 3 * time.Second
	// crashMark is the text that crashes a target.
	crashMark = "!crash"
)

// The outcomes of requests that got no response.
const (
	codeNoInstance = "no_instance"
	// codeCutOff is a connection that broke, codeNoReply a caller that waited in vain.
	codeCutOff  = "cut_off"
	codeNoReply = "no_reply"
)

// outcome is what happened to one request.
type outcome struct {
	arrival
	entry    deploy.Entry
	status   int // 0 without a response
	code     string
	ran      string
	sent     time.Duration // from the start, like answered
	answered time.Duration
	latency  time.Duration // from the scheduled arrival
	covered  int
	total    int
	missing  map[string]int // by reason
	wrong    []string
}

func (o *outcome) ok() bool { return o.status == http.StatusOK }

// coverage is the part of the shards that answered, 1 for a change that was answered.
func (o *outcome) coverage() float64 {
	switch {
	case !o.ok():
		return 0
	case o.total == 0:
		return 1
	default:
		return float64(o.covered) / float64(o.total)
	}
}

type run struct {
	x          *Experiment
	deployment *deploy.Deployment
	balancer   *deploy.Balancer
	client     *http.Client
	start      time.Time
	fixed      []deploy.Entry // entry instances at the start
	outcomes   []outcome

	mu      sync.Mutex
	faults  []error
	crashes []outcome // requests of crash faults
	killed  map[string]bool
}

// Run runs the experiment under the policy and returns its report. Checks that fail are in the report; the error
// is about the run itself.
func Run(ctx context.Context, x Experiment, policy settings.Policy) (*Report, error) {
	d, err := deploy.Start(withLog(x.options(policy)))
	if err != nil {
		return nil, err
	}
	r := &run{x: &x, deployment: d, killed: map[string]bool{}}
	err = r.prepare(ctx)
	if err == nil {
		r.drive(ctx)
		r.balancer.Close()
		r.settle(ctx)
		err = ctx.Err()
	}
	report := r.report()
	report.trace = r.trace()
	closed := d.Close()
	if err != nil {
		return nil, errors.Join(err, closed)
	}
	return report, errors.Join(append(r.faults, closed)...)
}

func withLog(o deploy.Options) deploy.Options {
	o.Log = zerolog.Nop()
	return o
}

func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r.setFaults(standin.Selection{}, standin.Faults{})
	if err := r.deployment.WaitReady(ctx); err != nil {
		return err
	}
	r.client = r.deployment.Client(deploy.PlaceClients)
	r.fixed = r.deployment.Entries()
	survey, cancelSurvey := context.WithTimeout(ctx, surveyTimeout)
	defer cancelSurvey()
	for _, e := range r.fixed {
		for !r.surveyed(survey, e) && survey.Err() == nil {
			pause(survey, pollInterval)
		}
	}
	r.balancer = deploy.NewBalancer(r.deployment)
	return ctx.Err()
}

// surveyed reports whether the instance has a report of every target.
func (r *run) surveyed(ctx context.Context, e deploy.Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorsAddress+"/dump", nil)
	if err != nil {
		return false
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var dump struct {
		Targets []struct {
			Incarnation string `json:"incarnation"`
		} `json:"targets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		return false
	}
	seen := 0
	for _, t := range dump.Targets {
		if t.Incarnation != "" {
			seen++
		}
	}
	return seen == len(r.deployment.Fleet.Instances)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drive sends all arrivals at their times, whatever becomes of those before them.
func (r *run) drive(ctx context.Context) {
	arrivals := schedule(r.x)
	r.outcomes = make([]outcome, len(arrivals))
	r.start = time.Now()
	faultCtx, stopFaults := context.WithCancel(ctx)
	var work, faults sync.WaitGroup
	faults.Go(func() { r.runFaults(faultCtx, &faults) })
	for i, a := range arrivals {
		pause(ctx, time.Until(r.start.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		work.Go(func() { r.outcomes[i] = r.request(ctx, a) })
	}
	work.Wait()
	pause(ctx, time.Until(r.start.Add(r.x.Duration)))
	stopFaults()
	faults.Wait()
	r.client.CloseIdleConnections()
}

// settle waits until the targets start no more requests.
func (r *run) settle(ctx context.Context) {
	runs := -1
	for limit := time.Now().Add(settleLimit); time.Now().Before(limit) && ctx.Err() == nil; pause(ctx, settleTime) {
		now := 0
		for _, c := range r.deployment.Fleet.Counters() {
			now += c.Runs
		}
		if now == runs {
			return
		}
		runs = now
	}
}

func (r *run) request(ctx context.Context, a arrival) outcome {
	organisation := r.x.Organisations[a.organisation]
	out := outcome{arrival: a, sent: time.Since(r.start)}
	entry, ok := r.choose(organisation)
	if !ok {
		out.code, out.answered = codeNoInstance, out.sent
		return out
	}
	out.entry = entry
	body, err := r.exchange(ctx, entry, organisation.Name, a, &out)
	out.answered = time.Since(r.start)
	out.latency = out.answered - a.at
	if err != nil {
		out.code = codeCutOff
		if errors.Is(err, context.DeadlineExceeded) {
			out.code = codeNoReply
		}
		return out
	}
	r.judge(&out, body)
	return out
}

func (r *run) choose(o Organisation) (deploy.Entry, bool) {
	if o.Instance != nil {
		return r.fixed[*o.Instance], true
	}
	return r.balancer.Next()
}

// exchange sends the request and decodes the response.
func (r *run) exchange(ctx context.Context, entry deploy.Entry, organisation string, a arrival, out *outcome) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.x.Timeout+callerMargin)
	defer cancel()
	path, field := "/query", "query"
	if r.x.service(a.service).Shards == 0 {
		path, field = "/changes", "change"
	}
	text, err := json.Marshal(map[string]string{field: a.text})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+"/v1/services/"+a.service+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not send the request again on another connection.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key(organisation))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Drift-Timeout-Ms", strconv.FormatInt(r.x.Timeout.Milliseconds(), 10))
	if field == "change" {
		req.Header.Set("Idempotency-Key", a.text)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		out.status = 0
		return nil, err
	}
	decoded := &Response{}
	if err := json.Unmarshal(body, decoded); err != nil {
		out.status = 0
		return nil, err
	}
	return decoded, nil
}

// judge checks an answer and fills in the outcome.
func (r *run) judge(out *outcome, body *Response) {
	out.code, out.ran = body.Code, body.Ran
	if !out.ok() {
		return
	}
	if r.x.service(out.service).Shards == 0 {
		if want := standin.Outcome(out.text); body.Outcome != want {
			out.wrong = append(out.wrong, fmt.Sprintf("outcome is %q, want %q", body.Outcome, want))
		}
		return
	}
	out.covered, out.total = body.Coverage.Answered, body.Coverage.Total
	for _, m := range body.Coverage.Missing {
		if out.missing == nil {
			out.missing = map[string]int{}
		}
		out.missing[m.Reason]++
	}
	out.wrong = UntruthfulAnswer(out.text, body, r.deployment.Fleet.Shards(out.service, body.Snapshot))
}

// step is one change of the deployment at a time of the schedule.
type step struct {
	at time.Duration
	do func(ctx context.Context) error
}

func (r *run) runFaults(ctx context.Context, group *sync.WaitGroup) {
	var steps []step
	for _, f := range r.x.Faults {
		steps = append(steps, r.steps(f)...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		pause(ctx, time.Until(r.start.Add(s.at)))
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			if err := s.do(ctx); err != nil && ctx.Err() == nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.faults = append(r.faults, fmt.Errorf("fault at %v: %w", s.at, err))
			}
		})
	}
}

// setFaults sets faults of targets. All targets crash on marked requests, at any time.
func (r *run) setFaults(s standin.Selection, f standin.Faults) {
	f.CrashMark = crashMark
	_, _ = r.deployment.Fleet.Apply(standin.FaultRequest{Selection: s, Faults: &f})
}

func (r *run) steps(f Fault) []step {
	d := r.deployment
	begin := func(do func(ctx context.Context) error) []step { return []step{{f.At, do}} }
	span := func(begin, end func() error) []step {
		return []step{
			{f.At, func(context.Context) error { return begin() }},
			{f.At + f.For, func(context.Context) error { return end() }},
		}
	}
	switch {
	case f.Target != nil:
		return span(
			func() error { r.setFaults(f.Target.Selection, f.Target.Faults); return nil },
			func() error { r.setFaults(f.Target.Selection, standin.Faults{}); return nil })
	case f.Action != nil:
		return begin(func(context.Context) error {
			_, err := d.Fleet.Apply(standin.FaultRequest{Selection: f.Action.Selection, Action: f.Action.Do})
			return err
		})
	case f.Snapshot != nil:
		return begin(func(context.Context) error {
			return d.Fleet.PublishSnapshot(f.Snapshot.Service, f.Snapshot.Shards, f.Snapshot.Step)
		})
	case f.Platform != nil:
		return span(
			func() error { d.Platform.SetFaults(*f.Platform); return nil },
			func() error { d.Platform.SetFaults(standin.PlatformFaults{}); return nil })
	case f.ZoneOut != "":
		return span(
			func() error { return d.SetZoneOutOfService(f.ZoneOut, true) },
			func() error { return d.SetZoneOutOfService(f.ZoneOut, false) })
	case f.Links != nil:
		return span(
			func() error { d.SetZoneLinks(f.Links.Zone, f.Links.State, f.Links.Platform); return nil },
			func() error { d.SetZoneLinks(f.Links.Zone, deploy.LinkOpen, true); return nil })
	case f.Instance != nil:
		return begin(func(ctx context.Context) error { return r.changeInstance(ctx, *f.Instance) })
	case f.WithdrawKey != "":
		return begin(func(context.Context) error { return d.WithdrawKeys(f.WithdrawKey) })
	case f.Crash != nil:
		return begin(func(ctx context.Context) error { r.sendCrashes(ctx, *f.Crash); return nil })
	default:
		return nil // a surge is part of the schedule of arrivals
	}
}

// listLag is how long the platform lists an instance that ended without a planned stop.
const listLag = 2 * time.Second

func (r *run) changeInstance(ctx context.Context, f InstanceFault) error {
	entries := r.deployment.Entries()
	if f.Index >= len(entries) {
		return fmt.Errorf("instance %d of %d", f.Index, len(entries))
	}
	id := entries[f.Index].ID
	switch f.Do {
	case "kill":
		r.mu.Lock()
		r.killed[id] = true
		r.mu.Unlock()
		err := r.deployment.Kill(id)
		pause(ctx, listLag)
		return errors.Join(err, r.deployment.Unlist(id))
	case "stop":
		return r.deployment.Stop(id)
	default:
		_, err := r.deployment.Replace(id)
		return err
	}
}

// sendCrashes sends the same marked request again and again.
func (r *run) sendCrashes(ctx context.Context, f CrashFault) {
	organisation := slices.IndexFunc(r.x.Organisations, func(o Organisation) bool { return o.Name == f.Organisation })
	for range f.Count {
		o := r.request(ctx, arrival{at: time.Since(r.start), organisation: organisation, service: f.Service, text: crashMark + "-" + f.Organisation})
		r.mu.Lock()
		r.crashes = append(r.crashes, o)
		r.mu.Unlock()
	}
}
