package targetshttp

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddrift.org/drift/targets"
)

type fixedView struct{ view *targets.ServiceView }

func (f fixedView) ServiceView(string) *targets.ServiceView { return f.view }

// replicas starts a test server for each handler and returns a view in which each holds shard "a" of snapshot 1.
func replicas(t *testing.T, handlers ...http.HandlerFunc) *targets.ServiceView {
	t.Helper()
	var usable []targets.UsableTarget
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		usable = append(usable, targets.UsableTarget{
			Target: &targets.Target{
				ID: strconv.Itoa(i), Address: strings.TrimPrefix(server.URL, "http://"), Limit: 4, Stats: &targets.TargetStats{},
			},
			Status: targets.Status{
				Manifests: []targets.Manifest{{Snapshot: 1, Shards: []targets.Shard{"a"}}},
				Replicas:  []targets.Replica{{Shard: "a", Snapshots: []targets.Snapshot{1}}},
			},
		})
	}
	return targets.BuildServiceView("s", targets.NewTail(targets.DefaultPolicy()), usable)
}

func echo(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{HeaderRequestID, HeaderAttempt, HeaderSnapshot, HeaderShard} {
		w.Header().Set(name, r.Header.Get(name))
	}
	_, _ = w.Write([]byte("reply"))
}

func runQuery(t *testing.T, c *Client, view *targets.ServiceView, timeout time.Duration) *targets.Answer {
	t.Helper()
	now := time.Now()
	q, ready := targets.NewQuery(targets.QueryConfig{
		ID: "q", View: view, Views: fixedView{view}, Deadline: now.Add(timeout), Rand: rand.New(rand.NewPCG(1, 1)),
	}, now)
	return c.Run(context.Background(), Request{ID: "q", Deadline: now.Add(timeout)}, q, ready)
}

// Guards against a hedge that is not sent, and against a leg that keeps running at its target after another one has
// won.
func TestLosingLegIsCancelled(t *testing.T) {
	var hang atomic.Bool
	cancelled := make(chan struct{}, 100)
	slow := func(w http.ResponseWriter, r *http.Request) {
		if hang.Load() {
			<-r.Context().Done()
			cancelled <- struct{}{}
			return
		}
		echo(w, r)
	}
	view := replicas(t, slow, echo)
	c := New(http.DefaultClient)
	const timeout = 10 * time.Second
	for range 200 { // accumulates the budget for hedges
		runQuery(t, c, view, timeout)
	}
	hang.Store(true)
	for {
		if a := runQuery(t, c, view, timeout); !a.Complete() {
			t.Fatalf("missing: %v", a.Missing)
		}
		select {
		case <-cancelled:
			return
		default:
		}
	}
}

// Guards against a target that keeps working when its reply can no longer arrive in time.
func TestTargetGetsDeadlineLessReturnTrip(t *testing.T) {
	got := make(chan string, 1)
	view := replicas(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get(HeaderTimeout)
		echo(w, r)
	})
	view.Targets[0].Stats.RecordHandshake(15 * time.Millisecond)
	runQuery(t, New(&http.Client{Transport: &http.Transport{}}), view, 10*time.Second)
	if ms, _ := strconv.Atoi(<-got); ms <= 0 || ms > 10_000-15 {
		t.Fatalf("target got %d ms of 10,000, want at least 15 less", ms)
	}
}

// Guards against a shard that stays open until the deadline after a reply that belongs to another leg.
func TestMismatchedReplyIsRetried(t *testing.T) {
	crossed := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(HeaderRequestID, "another")
		echo(w, r)
	}
	view := replicas(t, crossed, echo)
	for range 10 {
		if a := runQuery(t, New(http.DefaultClient), view, 10*time.Second); !a.Complete() {
			t.Fatalf("missing: %v", a.Missing)
		}
	}
}

// Guards against a shard that is delayed until the deadline by a connection without replies, and against such a
// connection staying open.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var silence sync.Map // remote addresses whose requests get no reply
	var fresh atomic.Int64
	gone := make(chan struct{}, 1)
	view := replicas(t, func(w http.ResponseWriter, r *http.Request) {
		if _, silent := silence.Load(r.RemoteAddr); silent {
			<-r.Context().Done()
			gone <- struct{}{}
			return
		}
		if fresh.Load() == 0 {
			silence.Store(r.RemoteAddr, true) // from the next request on
		}
		echo(w, r)
	})
	transport := &Transport{New: func() *http.Transport { return &http.Transport{} }}
	transport.Limit(view.Targets[0].Address, 4)
	c := New(&http.Client{Transport: transport})
	if a := runQuery(t, c, view, 10*time.Second); !a.Complete() {
		t.Fatalf("missing: %v", a.Missing)
	}
	fresh.Store(1)
	if a := runQuery(t, c, view, 10*time.Second); !a.Complete() {
		t.Fatalf("missing: %v", a.Missing)
	}
	<-gone
}

// Guards against more connections to a target than were granted.
func TestConnectionsOfTargetAreLimited(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	view := replicas(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr] = true
		mu.Unlock()
		echo(w, r)
	})
	transport := &Transport{New: func() *http.Transport { return &http.Transport{} }}
	transport.Limit(view.Targets[0].Address, 2)
	c := New(&http.Client{Transport: transport})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 20 {
				if _, err := c.Status(context.Background(), view.Targets[0].Address); errors.Is(err, targets.ErrNotSent) {
					t.Error(err)
				}
			}
		})
	}
	workers.Wait()
	if len(seen) > 2 {
		t.Fatalf("%d connections were opened, limit 2", len(seen))
	}
}
