package targetshttp

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"dogwooddrift.org/drift/httpreply/replytest"
	"dogwooddrift.org/drift/targets"
)

// reports collects the reports of legs.
type reports struct {
	mu  sync.Mutex
	all []targets.LegReport
}

func (r *reports) ReportLeg(l targets.LegReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, l)
}

// messagesOfTargets are what targets say to the request "id", by the error that follows from the sound form.
var messagesOfTargets = map[error][]replytest.Message{
	nil:                     {{Status: "200 OK", Body: `{"incarnation":"run-2","state":"cold"}`}},
	targets.ErrShed:         {{Status: "503 Busy", Fields: HeaderRan + ": " + RanNo + "\r\n", Body: "no"}},
	targets.ErrSnapshotGone: {{Status: "409 Conflict", Body: "no"}},
}

const replyFields = HeaderRequestID + ": id\r\n" + HeaderAttempt + ": 1\r\n" + HeaderSnapshot + ": 1\r\n" + HeaderShard + ": a\r\n" +
	HeaderIncarnation + ": run-2\r\n" + HeaderState + ": cold\r\n"

// Guards against a reply that is not HTTP and that counts as an answer, as a proof that the request did not run, or for the state of the
// target, and against further requests on its connection.
func TestMalformedReplyOfATargetIsNone(t *testing.T) {
	for _, c := range replytest.Broken {
		t.Run(c.Name, func(t *testing.T) {
			for meant, messages := range messagesOfTargets {
				for _, m := range messages {
					m.Fields += replyFields
					address, received := replytest.StartPeer(t, c.Unframed, func(*http.Request) string { return c.Encode(m) })
					transport := &Transport{New: func() *http.Transport { return &http.Transport{} }}
					transport.Limit(address, 2)
					client, reported := New(&http.Client{Transport: transport}), &reports{}
					client.SetReporter(reported)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					for range 2 {
						if _, err := client.Change(ctx, testChange(address, "id", "text")); !errors.Is(err, targets.ErrFailed) {
							t.Errorf("change, meant as %v: %v", meant, err)
						}
						if status, err := client.Status(ctx, address); !errors.Is(err, targets.ErrFailed) || status.Incarnation != "" {
							t.Errorf("status, meant as %v: %+v, %v", meant, status, err)
						}
						leg := targets.Leg{Attempt: 1, Shard: "a", Snapshot: 1, Target: &targets.Target{Address: address, Stats: &targets.TargetStats{}}}
						reply, header, err := client.Search(ctx, Search{RequestID: "id", Leg: leg, Timeout: time.Second})
						if !errors.Is(err, targets.ErrFailed) || header != nil {
							t.Errorf("leg, meant as %v: %+v, %v, %v", meant, reply, header, err)
						}
					}
					cancel()
					for _, r := range reported.all {
						if r.Incarnation != "" || r.State != "" || r.Outcome != targets.Failed || r.Reason != targets.ReasonFailed {
							t.Errorf("meant as %v: reported %+v", meant, r)
						}
					}
					if received.Reused.Load() > 0 {
						t.Errorf("meant as %v: the connection carried another request", meant)
					}
				}
			}
		})
	}
}

// Guards against sound replies of targets that are refused because of their form.
func TestOddReplyOfATargetIsRead(t *testing.T) {
	for _, c := range replytest.Odd {
		t.Run(c.Name, func(t *testing.T) {
			address, received := replytest.StartPeer(t, c.Unframed, func(*http.Request) string {
				return c.Encode(replytest.Message{Status: "200 OK", Fields: replyFields, Body: "own"})
			})
			transport := &Transport{New: func() *http.Transport { return &http.Transport{} }}
			client := New(&http.Client{Transport: transport})
			for range 2 {
				if body, err := client.Change(t.Context(), testChange(address, "id", "text")); err != nil || string(body) != "own" {
					t.Errorf("%q, %v", body, err)
				}
			}
			if !c.Unframed && received.Connections.Load() != 1 {
				t.Errorf("%d connections for two requests", received.Connections.Load())
			}
		})
	}
}
