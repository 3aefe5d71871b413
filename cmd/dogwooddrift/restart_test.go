package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/soak"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/document"
)

// mainVariable is the environment variable that makes the test binary run as the command.
const mainVariable = "DOGWOODDRIFT_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	instanceCount = 3
	restarts      = 20
	workers       = 6
	restartKey    = "key"
)

// instance is a `dogwooddrift` process.
type instance struct {
	index          int
	settingsPath   string
	callersAddress string
	ready          atomic.Bool // result of the last readiness check
	process        *exec.Cmd
}

func (i *instance) start(t *testing.T) {
	i.process = exec.Command(os.Args[0], "--settings", i.settingsPath)
	i.process.Env = append(os.Environ(), mainVariable+"=1")
	i.process.Stderr = os.Stderr
	if err := i.process.Start(); err != nil {
		t.Fatal(err)
	}
}

// stop sends SIGTERM, waits for the process and returns its exit code.
func (i *instance) stop(t *testing.T) int {
	if err := i.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = i.process.Wait()
	return i.process.ProcessState.ExitCode()
}

func (i *instance) isReady() bool {
	resp, err := http.Get("http://" + i.callersAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !i.ready.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("instance %d did not become ready in 20 s", i.index)
		}
	}
}

// deploy starts stand-ins for the targets and the platform, and the instances.
func deploy(t *testing.T) (*standin.Fleet, []*instance) {
	services := []standin.ServiceOptions{
		{Name: "search", Shards: 4, Replicas: 2, Slots: 64, Connections: 100, ServiceTime: 5 * time.Millisecond},
		{Name: "orders", Replicas: 3, Slots: 64, Connections: 100, ServiceTime: 5 * time.Millisecond},
	}
	fleet, err := standin.NewFleet(services, []string{"z"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	doc := &document.Document{
		Revision: 1,
		Organisations: []document.Organisation{{
			Name: "o", IsHost: true, Rate: 1e6, Burst: 1e6, Weight: 1, Keys: []document.Key{{ID: "k", SHA256: caller.Digest(restartKey)}},
		}},
		Services: []document.Service{
			{Name: "search", Sharded: true, Slots: 64, MaxConnections: 100}, {Name: "orders", Slots: 64, MaxConnections: 100},
		},
		Zones:     []document.Zone{{Name: "z", RateFraction: 1}},
		Isolation: document.Isolation{KeyedLimit: 60}, ChangeWindow: 600,
	}
	list := &document.InstanceList{Revision: 1, Instances: fleet.Instances}
	addresses, err := soak.FreeAddresses(3 * instanceCount)
	if err != nil {
		t.Fatal(err)
	}
	address := func(n int) string { return addresses[n] }
	platformServer := standin.NewPlatform()
	server := httptest.NewServer(platformServer)
	t.Cleanup(server.CloseClientConnections)
	var out []*instance
	for i := range instanceCount {
		id := fmt.Sprintf("entry-%d", i)
		path := filepath.Join(t.TempDir(), "settings.yaml")
		text := fmt.Sprintf("id: %s\nzone: z\nplatform: %s\nlisten: {callers: %q, siblings: %q, operators: %q}\ndrain: {notice: 150ms, limit: 20s}\nlog: {level: warn}\n",
			id, server.URL, address(3*i), address(3*i+1), address(3*i+2))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out = append(out, &instance{index: i, settingsPath: path, callersAddress: address(3 * i)})
		list.Instances = append(list.Instances, document.Instance{
			ID: id, Kind: document.KindEntry, Zone: "z", State: document.StateLive, Address: address(3 * i), PeerAddress: address(3*i + 1),
		})
	}
	if err := platformServer.PublishDocument(doc); err != nil {
		t.Fatal(err)
	}
	if err := platformServer.PublishInstances(list); err != nil {
		t.Fatal(err)
	}
	for _, i := range out {
		i.start(t)
		t.Cleanup(func() { _ = i.process.Process.Kill(); _ = i.process.Wait() })
	}
	return fleet, out
}

// load sends queries and changes to ready instances, as a load balancer that checks /ready does.
type load struct {
	t         *testing.T
	instances []*instance
	client    *http.Client
	sent      atomic.Int64
	// draining counts the requests that were refused as draining and sent to another instance.
	draining  atomic.Int64
	mu        sync.Mutex
	succeeded map[string]bool // idempotency keys of changes that succeeded
	failures  []string
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < 10 {
		l.failures = append(l.failures, fmt.Sprintf(format, args...))
	}
}

// choose returns a ready instance, starting from the n-th, or the n-th if none is ready.
func (l *load) choose(n int) *instance {
	for k := range l.instances {
		if i := l.instances[(n+k)%len(l.instances)]; i.ready.Load() {
			return i
		}
	}
	return l.instances[n%len(l.instances)]
}

// request sends one request and retries it at other instances while it is refused as draining. It reports success.
func (l *load) request(path, body, key string, n int) bool {
	l.sent.Add(1)
	for attempt := range 20 {
		i := l.choose(n + attempt)
		req, err := http.NewRequest(http.MethodPost, "http://"+i.callersAddress+path, bytes.NewReader([]byte(body)))
		if err != nil {
			l.fail("%v", err)
			return false
		}
		req.Header.Set("Authorization", "Bearer "+restartKey)
		req.Header.Set("Drift-Timeout-Ms", "10000")
		if key != "" {
			// With the canonical name, which Header.Set would use, net/http retries the request by itself.
			req.Header["idempotency-key"] = []string{key}
		}
		resp, err := l.client.Do(req)
		if err != nil {
			l.fail("instance %d, %s: %v", i.index, path, err)
			return false
		}
		var reply struct {
			Code, Ran, Message string
			Coverage           struct{ Answered, Total int }
		}
		err = json.NewDecoder(resp.Body).Decode(&reply)
		_ = resp.Body.Close()
		switch {
		case err != nil:
			l.fail("instance %d, %s: reply cut off: %v", i.index, path, err)
			return false
		case resp.StatusCode == http.StatusOK:
			if reply.Coverage.Answered != reply.Coverage.Total {
				l.fail("instance %d: %+v", i.index, reply.Coverage)
			}
			return true
		case reply.Code == string(caller.CodeDraining) && reply.Ran == string(caller.RanNo):
			l.draining.Add(1)
		default:
			l.fail("instance %d, %s: %d %+v", i.index, path, resp.StatusCode, reply)
			return false
		}
	}
	l.fail("%s: refused by every instance", path)
	return false
}

// Guards against a graceful shutdown that cuts off or refuses requests, and against changes that run twice when all
// instances are replaced within the change window.
func TestRestartsCutOffNoRequest(t *testing.T) {
	fleet, instances := deploy(t)
	ctx, stopLoad := context.WithCancel(t.Context())
	var background sync.WaitGroup
	for _, i := range instances {
		background.Go(func() {
			for ctx.Err() == nil {
				i.ready.Store(i.isReady())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for _, i := range instances {
		i.awaitReady(t)
	}
	l := &load{t: t, instances: instances, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}, succeeded: map[string]bool{}}
	for w := range workers {
		background.Go(func() {
			for n := w; ctx.Err() == nil; n += workers {
				if w%2 == 0 {
					l.request("/v1/services/search/query", `{"query":"q"}`, "", n)
					continue
				}
				key := fmt.Sprintf("k%d", n)
				if l.request("/v1/services/orders/changes", `{"change":"c"}`, key, n) {
					l.mu.Lock()
					l.succeeded[key] = true
					l.mu.Unlock()
				}
			}
		})
	}
	start := time.Now()
	for n := range restarts {
		i := instances[n%len(instances)]
		if code := i.stop(t); code != 0 {
			t.Errorf("restart %d: exit code %d, want 0", n, code)
		}
		i.ready.Store(false)
		i.start(t)
		i.awaitReady(t)
	}
	stopLoad()
	background.Wait()
	t.Logf("%d restarts in %v, %d requests, %d refused with draining and sent elsewhere", restarts, time.Since(start), l.sent.Load(), l.draining.Load())
	for _, f := range l.failures {
		t.Error(f)
	}
	// Each change is repeated after all instances were replaced, and must not run again.
	for key := range l.succeeded {
		l.request("/v1/services/orders/changes", `{"change":"c"}`, key, 0)
	}
	runs := map[string]int{}
	for _, target := range fleet.Targets {
		for key, n := range target.ChangeRuns() {
			runs[key] += n
		}
	}
	for key := range l.succeeded {
		if runs["o/"+key] != 1 {
			t.Errorf("change %s ran %d times", key, runs["o/"+key])
		}
	}
	for _, f := range l.failures {
		t.Error(f)
	}
}

// Guards against a second signal that does not end a shutdown at once, or whose exit code is that of a graceful one.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	_, instances := deploy(t)
	i := instances[0]
	for limit := time.Now().Add(20 * time.Second); !i.isReady(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the instance did not become ready in 20 s")
		}
	}
	text, err := os.ReadFile(i.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	if code := i.stop(t); code != 0 {
		t.Errorf("exit code after one signal is %d, want 0", code)
	}
	if err := os.WriteFile(i.settingsPath, bytes.Replace(text, []byte("notice: 150ms"), []byte("notice: 1h"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	i.start(t)
	for !i.isReady() {
		time.Sleep(5 * time.Millisecond)
	}
	if err := i.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i.isReady() {
		time.Sleep(5 * time.Millisecond)
	}
	if code := i.stop(t); code != 1 {
		t.Errorf("exit code after a second signal is %d, want 1", code)
	}
}
