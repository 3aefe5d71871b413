package load

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"dogwooddrift.org/drift/cmd/internal/deploy"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/targets"
)

func testExperiment() Experiment {
	return Experiment{
		Name: "test", Seed: 7, Duration: 2 * time.Second, Timeout: time.Second, Zones: []string{"a"}, Instances: 1,
		Services: []standin.ServiceOptions{
			{Name: "index", Shards: 3, Replicas: 2, Slots: 4, Connections: 25, ServiceTime: time.Millisecond},
			{Name: "orders", Replicas: 2, Slots: 6, Connections: 25, ServiceTime: time.Millisecond},
		},
		Organisations: []Organisation{{
			Name: "host", Host: true, Rate: 1000, Burst: 1000, Weight: 1, Offered: 200, Shares: map[string]float64{"index": 3, "orders": 1},
		}},
		Policy: settings.Default().Policy,
	}
}

// Guards against a schedule that varies between runs with the same seed, and against wrong rates of arrivals, surges and
// services.
func TestScheduleIsRepeatable(t *testing.T) {
	x := testExperiment()
	x.RepeatChanges = 0.5
	first := schedule(&x)
	if !reflect.DeepEqual(first, schedule(&x)) {
		t.Error("the same seed gave two schedules")
	}
	x.Seed++
	if reflect.DeepEqual(first, schedule(&x)) {
		t.Error("another seed gave the same schedule")
	}
	x.RepeatChanges, x.Duration = 0, 100*time.Second
	x.Faults = []Fault{{At: 50 * time.Second, For: 50 * time.Second, Surge: &SurgeFault{Organisation: "host", Factor: 3}}}
	var early, late, changes int
	for _, a := range schedule(&x) {
		if a.at < 50*time.Second {
			early++
		} else {
			late++
		}
		if a.service == "orders" {
			changes++
		}
	}
	// The bounds are five standard deviations of a Poisson count.
	for _, c := range []struct {
		what string
		got  int
		want float64
	}{{"before the surge", early, 10000}, {"in the surge", late, 30000}, {"changes", changes, 10000}} {
		if math.Abs(float64(c.got)-c.want) > 5*math.Sqrt(c.want) {
			t.Errorf("%s: %d requests, want about %v", c.what, c.got, c.want)
		}
	}
}

// naiveExcess is a reference implementation of rateExcess that evaluates every window.
func naiveExcess(admissions []admission, rate, burst float64) float64 {
	worst := -burst
	for _, a := range admissions {
		for _, b := range admissions {
			n := 0
			for _, e := range admissions {
				if e.sent >= a.sent && e.answered <= b.answered {
					n++
				}
			}
			if b.answered >= a.sent {
				worst = max(worst, float64(n)-rate*(b.answered-a.sent).Seconds()-burst)
			}
		}
	}
	return worst
}

// Guards against a rate check that misses the worst window or reports too large an excess.
func TestRateExcess(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		admissions := make([]admission, 1+rng.IntN(40))
		for i := range admissions {
			sent := time.Duration(rng.IntN(1000)) * time.Millisecond
			admissions[i] = admission{sent, sent + time.Duration(rng.IntN(100))*time.Millisecond}
		}
		rate, burst := 1+50*rng.Float64(), float64(1+rng.IntN(10))
		if got, want := rateExcess(admissions, rate, burst), naiveExcess(admissions, rate, burst); math.Abs(got-want) > 1e-6 {
			t.Fatalf("excess is %v, want %v for %v at rate %v, burst %v", got, want, admissions, rate, burst)
		}
	}
	burst := []admission{{0, 1}, {0, 1}, {0, 1}}
	if got := rateExcess(burst, 1, 2); math.Abs(got-1) > 1e-6 {
		t.Errorf("3 requests at once with burst 2: excess %v, want 1", got)
	}
}

// Guards against counting refusals above the rate as wrongful, or refusals within the rate as justified.
func TestTokenBucket(t *testing.T) {
	bucket := newTokenBucket(10, 2)
	var got []bool
	for _, at := range []time.Duration{0, 0, 0, 50 * time.Millisecond, 100 * time.Millisecond, 10 * time.Second, 10 * time.Second, 10 * time.Second} {
		ok := bucket.available(at)
		got = append(got, ok)
		if ok {
			bucket.spend()
		}
	}
	if want := []bool{true, true, false, false, true, true, true, false}; !reflect.DeepEqual(got, want) {
		t.Errorf("allowed %v, want %v", got, want)
	}
}

// Guards against reporting an organisation without requests as the worst served.
func TestWorstServed(t *testing.T) {
	for _, c := range []struct {
		served []float64
		sent   []int
		want   int
	}{
		{[]float64{0.9, 0.5, 0}, []int{10, 10, 0}, 1},
		{[]float64{0, 0}, []int{0, 0}, -1},
		{[]float64{1, 1}, []int{1, 1}, 0},
	} {
		if got := worstServed(c.served, c.sent); got != c.want {
			t.Errorf("worst of %v with %v requests is %d, want %d", c.served, c.sent, got, c.want)
		}
	}
}

// Guards against accepting answers with wrong results, coverage or missing shards.
func TestUntruthfulAnswer(t *testing.T) {
	manifest := []targets.Shard{"s0", "s1"}
	answer := func(change func(r *Response)) []string {
		r := &Response{Snapshot: 4}
		r.Coverage.Answered, r.Coverage.Total = 1, 2
		r.Results = append(r.Results, struct {
			Shard  targets.Shard `json:"shard"`
			Result string        `json:"result"`
		}{"s0", standin.Result("s0", 4, "q")})
		r.Coverage.Missing = append(r.Coverage.Missing, struct {
			Shard  targets.Shard `json:"shard"`
			Reason string        `json:"reason"`
		}{"s1", "deadline"})
		change(r)
		return UntruthfulAnswer("q", r, manifest)
	}
	for name, c := range map[string]struct {
		change func(r *Response)
		wrong  bool
	}{
		"true":              {func(*Response) {}, false},
		"false coverage":    {func(r *Response) { r.Coverage.Answered = 2 }, true},
		"wrong snapshot":    {func(r *Response) { r.Results[0].Result = standin.Result("s0", 3, "q") }, true},
		"foreign result":    {func(r *Response) { r.Results[0].Result = standin.Result("s0", 4, "other") }, true},
		"wrong shard":       {func(r *Response) { r.Coverage.Missing[0].Shard = "s9" }, true},
		"shard twice":       {func(r *Response) { r.Coverage.Missing[0].Shard = "s0" }, true},
		"missing unnamed":   {func(r *Response) { r.Coverage.Missing = nil }, true},
		"without a reason":  {func(r *Response) { r.Coverage.Missing[0].Reason = "" }, true},
		"total of the past": {func(r *Response) { r.Coverage.Total = 3 }, true},
	} {
		if wrong := answer(c.change); (len(wrong) > 0) != c.wrong {
			t.Errorf("%s: findings %v", name, wrong)
		}
	}
	if wrong := UntruthfulAnswer("q", &Response{Snapshot: 9}, nil); len(wrong) == 0 {
		t.Error("a snapshot that does not exist was not found")
	}
}

// Guards against accepting responses to a change that contradict the number of times it ran.
func TestUntruthfulChange(t *testing.T) {
	for _, c := range []struct {
		result ChangeResult
		runs   int
		wrong  bool
	}{
		{ChangeResult{Sent: 1, Answered: 1}, 1, false},
		{ChangeResult{Sent: 1, Answered: 1}, 0, true},
		{ChangeResult{Sent: 1, Answered: 1}, 2, true},
		{ChangeResult{Sent: 1, NotRun: 1}, 1, true},
		{ChangeResult{Sent: 1, NotRun: 1}, 0, false},
		{ChangeResult{Sent: 2, NotRun: 1, Answered: 1}, 1, false},
		{ChangeResult{Sent: 2, NotRun: 1}, 1, false}, // the other attempt has an unknown outcome
		{ChangeResult{Sent: 2, NotRun: 2}, 1, true},
	} {
		if wrong := UntruthfulChange("k", c.result, c.runs); (len(wrong) > 0) != c.wrong {
			t.Errorf("%+v with %d runs: findings %v", c.result, c.runs, wrong)
		}
	}
}

// Guards against a closed loop, in which a slow answer delays later requests, and against a latency that leaves out the
// waiting time.
func TestOpenLoop(t *testing.T) {
	const slow = 300 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(slow)
		_, _ = w.Write([]byte(`{"outcome":"x"}`))
	}))
	defer server.Close()
	x := testExperiment()
	x.Duration = 200 * time.Millisecond
	x.Organisations[0].Shares = map[string]float64{"orders": 1}
	x.Organisations[0].Instance = new(int)
	r := &run{experiment: &x, client: server.Client(), initialEntries: []deploy.Entry{{Address: strings.TrimPrefix(server.URL, "http://")}}}
	r.sendArrivals(context.Background())
	if len(r.outcomes) < 10 {
		t.Fatalf("%d requests were sent, want about 40", len(r.outcomes))
	}
	for _, o := range r.outcomes {
		// Each request should be sent before the first answer arrives; slow/2 allows for delays of the machine.
		if o.sent > x.Duration+slow/2 {
			t.Errorf("request of %v was sent at %v", o.at, o.sent)
		}
		if o.latency < slow || o.latency != o.answered-o.at {
			t.Errorf("latency is %v for an arrival at %v answered at %v", o.latency, o.at, o.answered)
		}
	}
}

// Guards against silently ignoring invalid or unknown settings of an experiment.
func TestParseIsStrict(t *testing.T) {
	const valid = `
name: x
duration: 1s
zones: [a]
instances: 1
services: [{name: index, shards: 2, replicas: 1, slots: 1, connections: 2}]
organisations: [{name: o, host: true, rate: 1, burst: 1, weight: 1, offered: 1, shares: {index: 1}}]
`
	for _, c := range []struct{ add, wrong string }{
		{"", ""},
		{"durations: 1s", "unknown field"},
		{"faults: [{at: 0s, for: 1s, zone_out: b}]", `zone "b" does not exist`},
		{"faults: [{at: 0s, for: 1s, zone_out: a, withdraw_key: o}]", "2 kinds of fault"},
		{"faults: [{at: 0s}]", "0 kinds of fault"},
		{"faults: [{at: 0s, target: {service: index, faults: {stragle: 1}}}]", "unknown field"},
		{"policy: {replica: best}", "oneof"},
		{"warmup: 2s", "warmup"},
	} {
		_, err := Parse([]byte(valid + c.add + "\n"))
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%q: error %v, want %q", c.add, err, c.wrong)
		}
	}
}

// Guards against a run without answered requests, and against findings in a healthy deployment.
func TestRunHealthy(t *testing.T) {
	x := testExperiment()
	x.Duration = time.Second
	report, err := Run(context.Background(), x, x.Policy)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Untruthful) > 0 || report.Targets.KeysSeen > 0 {
		t.Errorf("findings in a healthy run: %v %v", report.Untruthful, report.Violations)
	}
	for _, c := range report.Classes {
		if c.Answered == 0 {
			t.Errorf("no request of %s was answered: %v", c.Name, c.Refusals)
		}
	}
}
