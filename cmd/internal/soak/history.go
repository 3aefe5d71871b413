package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dogwooddrift.org/drift/cmd/internal/rules"
	"dogwooddrift.org/drift/platform/platformtest"
)

// historyFile is the name of the file with the recorded history of a run.
const historyFile = "history.jsonl"

// recording is what was seen from outside in one run. It is safe for concurrent use.
type recording struct {
	started time.Time

	mu     sync.Mutex
	events []rules.Event
	// instances holds the instance that each attempt was sent to.
	instances map[string]string
}

func newRecording() *recording {
	return &recording{started: time.Now(), instances: map[string]string{}}
}

// now returns the time since the start of the run.
func (r *recording) now() rules.Time { return time.Since(r.started) }

func (r *recording) add(e rules.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent, ok := e.(rules.RequestSent); ok {
		r.instances[sent.Request] = sent.Instance
	}
	r.events = append(r.events, e)
}

// instanceOf returns the instance that an attempt was sent to.
func (r *recording) instanceOf(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[attempt]
}

// observe records what happens to a request at a target. That it came from the instance which took it from the caller is an
// assumption: a sibling may have sent it.
func (r *recording) observe(o platformtest.Observation) {
	at := r.now()
	switch o.What {
	case platformtest.RequestArrived, platformtest.RequestMisdirected:
		r.add(rules.Arrived{
			At: at, Request: o.Attempt, Target: o.Target.ID, Service: o.Target.Service, Instance: r.instanceOf(o.Attempt), Organisation: o.Organisation,
			Misdirected: o.What == platformtest.RequestMisdirected,
		})
	case platformtest.RunBegan:
		r.add(rules.RunBegan{At: at, Request: o.Attempt, Target: o.Target.ID})
	default:
		end := map[platformtest.ObservationKind]rules.RunEnd{
			platformtest.RunFinished: rules.Finished, platformtest.RunFailed: rules.Finished, platformtest.RunCut: rules.Cut, platformtest.RunBrokeOff: rules.BrokeOff,
			platformtest.RunCrashed: rules.Crashed,
		}[o.What]
		r.add(rules.RunEnded{At: at, Request: o.Attempt, Target: o.Target.ID, End: end, Failed: o.What == platformtest.RunFailed})
	}
}

// disrupt records that something unplanned begins and returns a function that records its end. No instances means all. The
// cause names the target whose link is disrupted.
func (r *recording) disrupt(cause string, instances ...string) (end func()) {
	from, target := r.now(), ""
	if rest, ok := strings.CutPrefix(cause, "link of target "); ok {
		target, _, _ = strings.Cut(rest, " ")
	}
	return func() {
		r.add(rules.Disruption{At: from, Until: r.now(), Instances: instances, Target: target, Cause: cause})
	}
}

// save writes the history to a file in a folder.
func (r *recording) save(folder string, b rules.Bounds) (err error) {
	f, err := os.Create(filepath.Join(folder, historyFile))
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return rules.Write(f, b, r.events)
}

// judge returns the verdicts on a history as findings.
func judge(b rules.Bounds, events []rules.Event) []string {
	var out []string
	for _, v := range rules.Judge(b, events) {
		out = append(out, fmt.Sprintf("%s at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Text))
	}
	return out
}

// Replay judges a recorded history again and returns the findings.
func Replay(history io.Reader) ([]string, error) {
	b, events, err := rules.Read(history)
	if err != nil {
		return nil, err
	}
	return judge(b, events), nil
}
