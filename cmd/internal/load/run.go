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
	// reportTimeout bounds the wait until every instance has received a status report of every target.
	reportTimeout = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
	// callerMargin is the time beyond its stated timeout that a caller waits, so that it receives the refusal of a late
	// request.
	callerMargin = 2 * time.Second
	// The counters are final once the targets have started no request for idleTime. idleLimit bounds the wait for that.
	idleTime  = 200 * time.Millisecond
	idleLimit = 3 * time.Second
	// crashMark is the marker in a request text that crashes the target that runs the request.
	crashMark = "!crash"
)

// The codes of requests without a response.
const (
	// codeNoInstance means that the load balancer had no instance to select.
	codeNoInstance = "no_instance"
	// codeCutOff means that the request failed without a valid response, in general because the connection broke;
	// codeNoReply means that the caller timed out.
	codeCutOff  = "cut_off"
	codeNoReply = "no_reply"
)

// outcome is the observed result of one request.
type outcome struct {
	arrival
	entry    deploy.Entry
	status   int // 0 without a response
	code     string
	ran      string
	sent     time.Duration // from the start of the run, as is answered
	answered time.Duration
	latency  time.Duration // from the scheduled arrival
	covered  int
	total    int
	missing  map[string]int // number of missing shards by reason
	problems []string
}

func (o *outcome) ok() bool { return o.status == http.StatusOK }

// coverage returns the fraction of the shards that answered: 0 without an answer, 1 for an answered change.
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

// run is the state of one experiment run.
type run struct {
	experiment     *Experiment
	deployment     *deploy.Deployment
	balancer       *deploy.Balancer
	client         *http.Client
	start          time.Time
	initialEntries []deploy.Entry // entry instances at the start of the run
	outcomes       []outcome

	mu            sync.Mutex
	faultErrors   []error
	crashOutcomes []outcome // requests of crash faults
	killedEntries map[string]bool
}

// Run runs the experiment under the policy and returns its report. The report contains the checks that failed; the error
// means that the run itself failed.
func Run(ctx context.Context, x Experiment, policy settings.Policy) (*Report, error) {
	d, err := deploy.Start(withLog(x.options(policy)))
	if err != nil {
		return nil, err
	}
	r := &run{experiment: &x, deployment: d, killedEntries: map[string]bool{}}
	err = r.prepare(ctx)
	if err == nil {
		r.sendArrivals(ctx)
		r.balancer.Close()
		r.awaitIdleTargets(ctx)
		err = ctx.Err()
	}
	report := r.report()
	report.trace = r.trace()
	closed := d.Close()
	if err != nil {
		return nil, errors.Join(err, closed)
	}
	return report, errors.Join(append(r.faultErrors, closed)...)
}

// withLog disables the log output of the deployment.
func withLog(o deploy.Options) deploy.Options {
	o.Log = zerolog.Nop()
	return o
}

// prepare waits until the deployment is ready and the instances have reports of all targets. Missing reports are no error
// unless readyTimeout expires, too.
func (r *run) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r.setFaults(standin.Selection{}, standin.Faults{})
	if err := r.deployment.WaitReady(ctx); err != nil {
		return err
	}
	r.client = r.deployment.Client(deploy.PlaceClients)
	r.initialEntries = r.deployment.Entries()
	reportCtx, cancelReports := context.WithTimeout(ctx, reportTimeout)
	defer cancelReports()
	for _, e := range r.initialEntries {
		for !r.hasAllReports(reportCtx, e) && reportCtx.Err() == nil {
			pause(reportCtx, pollInterval)
		}
	}
	r.balancer = deploy.NewBalancer(r.deployment)
	return ctx.Err()
}

// hasAllReports reports whether the instance has received a status report of every target, by its dump of known targets.
func (r *run) hasAllReports(ctx context.Context, e deploy.Entry) bool {
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
	reported := 0
	for _, t := range dump.Targets {
		if t.Incarnation != "" {
			reported++
		}
	}
	return reported == len(r.deployment.Fleet.Instances)
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendArrivals sends each request at its scheduled time, independently of the responses to earlier requests, runs the
// fault schedule alongside, and waits for all responses.
func (r *run) sendArrivals(ctx context.Context) {
	arrivals := schedule(r.experiment)
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
	pause(ctx, time.Until(r.start.Add(r.experiment.Duration)))
	stopFaults()
	faults.Wait()
	r.client.CloseIdleConnections()
}

// awaitIdleTargets waits until the targets have started no request for idleTime, at most idleLimit.
func (r *run) awaitIdleTargets(ctx context.Context) {
	runs := -1
	for deadline := time.Now().Add(idleLimit); time.Now().Before(deadline) && ctx.Err() == nil; pause(ctx, idleTime) {
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

// request sends one scheduled request and returns its outcome.
func (r *run) request(ctx context.Context, a arrival) outcome {
	organisation := r.experiment.Organisations[a.organisation]
	out := outcome{arrival: a, sent: time.Since(r.start)}
	entry, ok := r.chooseEntry(organisation)
	if !ok {
		out.code, out.answered = codeNoInstance, out.sent
		return out
	}
	out.entry = entry
	body, err := r.send(ctx, entry, organisation.Name, a, &out)
	out.answered = time.Since(r.start)
	out.latency = out.answered - a.at
	if err != nil {
		out.code = codeCutOff
		if errors.Is(err, context.DeadlineExceeded) {
			out.code = codeNoReply
		}
		return out
	}
	r.checkResponse(&out, body)
	return out
}

// chooseEntry returns the instance for a request of the organisation, false if the load balancer has none.
func (r *run) chooseEntry(o Organisation) (deploy.Entry, bool) {
	if o.Instance != nil {
		return r.initialEntries[*o.Instance], true
	}
	return r.balancer.Next()
}

// send sends the request and decodes the response. The status in out stays 0 unless a complete, valid response arrived.
func (r *run) send(ctx context.Context, entry deploy.Entry, organisation string, a arrival, out *outcome) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Timeout+callerMargin)
	defer cancel()
	path, field := "/query", "query"
	if r.experiment.service(a.service).Shards == 0 {
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
	// net/http can't resend the request on another connection without GetBody.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key(organisation))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Drift-Timeout-Ms", strconv.FormatInt(r.experiment.Timeout.Milliseconds(), 10))
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

// checkResponse records the content of the response in the outcome, with any errors in an answer.
func (r *run) checkResponse(out *outcome, body *Response) {
	out.code, out.ran = body.Code, body.Ran
	if !out.ok() {
		return
	}
	if r.experiment.service(out.service).Shards == 0 {
		if want := standin.Outcome(out.text); body.Outcome != want {
			out.problems = append(out.problems, fmt.Sprintf("outcome is %q, want %q", body.Outcome, want))
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
	out.problems = UntruthfulAnswer(out.text, body, r.deployment.Fleet.Shards(out.service, body.Snapshot))
}

// step is one scheduled change of the deployment: the start or the end of a fault.
type step struct {
	at time.Duration
	do func(ctx context.Context) error
}

// runFaults runs the steps of all faults at their scheduled times, without waiting for earlier steps to finish.
func (r *run) runFaults(ctx context.Context, group *sync.WaitGroup) {
	var steps []step
	for _, f := range r.experiment.Faults {
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
				r.faultErrors = append(r.faultErrors, fmt.Errorf("fault at %v: %w", s.at, err))
			}
		})
	}
}

// setFaults sets the faults of the selected targets. It always includes the crash marker, so that requests of crash faults
// crash any target at any time.
func (r *run) setFaults(s standin.Selection, f standin.Faults) {
	f.CrashMark = crashMark
	_, _ = r.deployment.Fleet.Apply(standin.FaultRequest{Selection: s, Faults: &f})
}

// steps returns the steps that cause and revert a fault.
func (r *run) steps(f Fault) []step {
	d := r.deployment
	once := func(do func(ctx context.Context) error) []step { return []step{{f.At, do}} }
	during := func(begin, end func() error) []step {
		return []step{
			{f.At, func(context.Context) error { return begin() }},
			{f.At + f.For, func(context.Context) error { return end() }},
		}
	}
	switch {
	case f.Target != nil:
		return during(
			func() error { r.setFaults(f.Target.Selection, f.Target.Faults); return nil },
			func() error { r.setFaults(f.Target.Selection, standin.Faults{}); return nil })
	case f.Action != nil:
		return once(func(context.Context) error {
			_, err := d.Fleet.Apply(standin.FaultRequest{Selection: f.Action.Selection, Action: f.Action.Do})
			return err
		})
	case f.Snapshot != nil:
		return once(func(context.Context) error {
			return d.Fleet.PublishSnapshot(f.Snapshot.Service, f.Snapshot.Shards, f.Snapshot.Step)
		})
	case f.Platform != nil:
		return during(
			func() error { d.Platform.SetFaults(*f.Platform); return nil },
			func() error { d.Platform.SetFaults(standin.PlatformFaults{}); return nil })
	case f.ZoneOut != "":
		return during(
			func() error { return d.SetZoneOutOfService(f.ZoneOut, true) },
			func() error { return d.SetZoneOutOfService(f.ZoneOut, false) })
	case f.Links != nil:
		return during(
			func() error { d.SetZoneLinks(f.Links.Zone, f.Links.State, f.Links.Platform); return nil },
			func() error { d.SetZoneLinks(f.Links.Zone, deploy.LinkOpen, true); return nil })
	case f.Instance != nil:
		return once(func(ctx context.Context) error { return r.changeInstance(ctx, *f.Instance) })
	case f.WithdrawKey != "":
		return once(func(context.Context) error { return d.WithdrawKeys(f.WithdrawKey) })
	case f.Crash != nil:
		return once(func(ctx context.Context) error { r.sendCrashes(ctx, *f.Crash); return nil })
	default:
		return nil // the arrival schedule already contains surges
	}
}

// unlistDelay is the time for which the platform still lists an instance that was killed.
const unlistDelay = 2 * time.Second

// changeInstance stops, kills or replaces the instance that the fault selects.
func (r *run) changeInstance(ctx context.Context, f InstanceFault) error {
	entries := r.deployment.Entries()
	if f.Index >= len(entries) {
		return fmt.Errorf("instance index %d is out of range: %d instances are running", f.Index, len(entries))
	}
	id := entries[f.Index].ID
	switch f.Do {
	case "kill":
		r.mu.Lock()
		r.killedEntries[id] = true
		r.mu.Unlock()
		err := r.deployment.Kill(id)
		pause(ctx, unlistDelay)
		return errors.Join(err, r.deployment.Unlist(id))
	case "stop":
		return r.deployment.Stop(id)
	default:
		_, err := r.deployment.Replace(id)
		return err
	}
}

// sendCrashes sends the same request that crashes targets f.Count times, one after the other.
func (r *run) sendCrashes(ctx context.Context, f CrashFault) {
	organisation := slices.IndexFunc(r.experiment.Organisations, func(o Organisation) bool { return o.Name == f.Organisation })
	for range f.Count {
		o := r.request(ctx, arrival{at: time.Since(r.start), organisation: organisation, service: f.Service, text: crashMark + "-" + f.Organisation})
		r.mu.Lock()
		r.crashOutcomes = append(r.crashOutcomes, o)
		r.mu.Unlock()
	}
}
