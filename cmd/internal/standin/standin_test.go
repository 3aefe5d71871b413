package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/document/documenthttp"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/targets/targetshttp"
)

const testCallerKey = "secret-of-a-caller"

func testFleet(t *testing.T, s ServiceOptions) *Fleet {
	t.Helper()
	s.Name = "svc"
	f, err := NewFleet([]ServiceOptions{s}, []string{"a"}, WithSeed(1), WithSecrets(testCallerKey))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func client(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

func send(c *http.Client, address, path, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	return resp, text.String(), err
}

func search(c *http.Client, address, body string, snapshot int, shard string, headers ...string) (*http.Response, string, error) {
	return send(c, address, targetshttp.SearchPath, body,
		append([]string{targetshttp.HeaderSnapshot, strconv.Itoa(snapshot), targetshttp.HeaderShard, shard}, headers...)...)
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", description)
		}
	}
}

// Guards against a crash after which the target keeps its incarnation or connections, or restarts warm.
func TestCrashOnMarkedRequest(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 2, Connections: 5})
	in, tg, c := f.Instances[0], f.Targets["svc-0-0"], client(t)
	tg.SetFaults(Faults{CrashMark: "!boom", DownMS: 50})
	if _, _, err := send(c, in.Address, targetshttp.ChangePath, "x!boom", targetshttp.HeaderOrganisation, "o", targetshttp.HeaderIdempotencyKey, "k"); err == nil {
		t.Fatal("request with the crash mark got a reply, want a broken connection")
	}
	var resp *http.Response
	waitFor(t, "target restarts after the crash", func() bool {
		var err error
		resp, _, err = send(c, in.Address, targetshttp.ChangePath, "y")
		// While the target is down, a server of another test process may listen on its port and reply.
		return err == nil && resp.Header.Get(targetshttp.HeaderIncarnation) != ""
	})
	if got := resp.Header.Get(targetshttp.HeaderIncarnation) + " " + resp.Header.Get(targetshttp.HeaderState); got != "svc-0-0/2 cold" {
		t.Errorf("after the crash the target is %q, want %q; status %d", got, "svc-0-0/2 cold", resp.StatusCode)
	}
	if got := tg.Counters(); got.Crashes != 1 || got.Changes["o/k"] != 1 {
		t.Errorf("crashes %d, runs of the marked change %d, want 1 and 1", got.Crashes, got.Changes["o/k"])
	}
}

// Guards against SilenceConnections affecting new connections, and against silent connections that carry traffic
// again.
func TestSilentConnections(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 2, Connections: 5})
	in, tg, old, fresh := f.Instances[0], f.Targets["svc-0-0"], client(t), client(t)
	if _, _, err := send(old, in.Address, targetshttp.ChangePath, "a"); err != nil {
		t.Fatal(err)
	}
	tg.SilenceConnections()
	old.Timeout = 50 * time.Millisecond
	if _, _, err := send(old, in.Address, targetshttp.ChangePath, "b"); err == nil {
		t.Error("request on a silent connection got a reply")
	}
	if _, _, err := send(fresh, in.Address, targetshttp.ChangePath, "c"); err != nil {
		t.Errorf("request on a new connection failed: %v", err)
	}
	if got := tg.Counters().Runs; got != 2 {
		t.Errorf("%d requests ran, want 2: the request on the silent connection must not run", got)
	}
}

// Guards against a connection limit that is not enforced, or that is enforced for each caller separately.
func TestConnectionLimit(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 2, Connections: 2})
	in := f.Instances[0]
	for i := range 3 {
		_, _, err := send(client(t), in.Address, targetshttp.ChangePath, "a")
		if refused := err != nil; refused != (i == 2) {
			t.Errorf("connection %d: error %v", i, err)
		}
	}
	if got := f.Targets["svc-0-0"].Counters(); got.MostConnections != 2 || got.ConnectionsRefused != 1 {
		t.Errorf("most connections %d, refused %d, want 2 and 1", got.MostConnections, got.ConnectionsRefused)
	}
}

// Guards against connection costs that overlap: the accept loop handles one connection at a time.
func TestConnectionCostIsSerial(t *testing.T) {
	const cost = 20 * time.Millisecond
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 8, Connections: 8, ConnectionCost: cost})
	start := time.Now()
	var group sync.WaitGroup
	for range 4 {
		c := client(t)
		group.Go(func() { _, _, _ = send(c, f.Instances[0].Address, targetshttp.ChangePath, "a") })
	}
	group.Wait()
	if took := time.Since(start); took < 4*cost {
		t.Errorf("4 connections took %v, want at least %v", took, 4*cost)
	}
}

// Guards against a repartitioned snapshot that shares shards with the previous one, and against targets that still
// serve a removed snapshot.
func TestRepartition(t *testing.T) {
	f := testFleet(t, ServiceOptions{Shards: 2, Replicas: 2, Slots: 2, Connections: 5})
	if err := f.PublishSnapshot("svc", 3, 0); err != nil {
		t.Fatal(err)
	}
	c := client(t)
	served := map[targets.Shard]int{}
	for _, in := range f.Instances {
		resp, _, err := search(c, in.Address, "q", 1, "s00")
		if err != nil || resp.StatusCode != http.StatusConflict {
			t.Errorf("%s: search in the removed snapshot got %v, %v, want 409", in.ID, resp, err)
		}
		for _, shard := range f.Shards("svc", 2) {
			if resp, body, err := search(c, in.Address, "q", 2, string(shard)); err == nil && resp.StatusCode == http.StatusOK {
				served[shard]++
				if body != Result(shard, 2, "q") {
					t.Errorf("search of shard %s returned %q", shard, body)
				}
			}
		}
	}
	for _, shard := range f.Shards("svc", 2) {
		if served[shard] != 2 {
			t.Errorf("shard %s is served by %d targets, want 2", shard, served[shard])
		}
	}
	if len(served) != 3 {
		t.Errorf("snapshot 2 has shards %v, want 3", served)
	}
}

// Guards against overloads of a cold target that are not counted, and against counting requests up to its
// MaxColdRequests.
func TestColdOverloadIsCounted(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 4, MaxColdRequests: 2, Connections: 5, ServiceTime: 50 * time.Millisecond})
	tg, in := f.Targets["svc-0-0"], f.Instances[0]
	tg.BeginColdStart()
	for want, n := range []int{2, 3} {
		var group sync.WaitGroup
		for range n {
			c := client(t)
			group.Go(func() { _, _, _ = send(c, in.Address, targetshttp.ChangePath, "a") })
		}
		group.Wait()
		if got := tg.Counters().ColdOverloads; got != want {
			t.Errorf("%d concurrent requests: %d overloads, want %d", n, got, want)
		}
	}
}

// Guards against Faults.Cross and Faults.Duplicate having no effect: tests that use them would pass without
// exercising the fault.
func TestCrossedAndRepeatedReplies(t *testing.T) {
	f := testFleet(t, ServiceOptions{Shards: 1, Replicas: 1, Slots: 2, Connections: 5})
	tg, in, c := f.Targets["svc-0-0"], f.Instances[0], client(t)
	if _, _, err := search(c, in.Address, "first", 1, "s00", targetshttp.HeaderRequestID, "r1"); err != nil {
		t.Fatal(err)
	}
	tg.SetFaults(Faults{Cross: 1})
	resp, body, err := search(c, in.Address, "second", 1, "s00", targetshttp.HeaderRequestID, "r2")
	if err != nil || body != Result("s00", 1, "first") || resp.Header.Get(targetshttp.HeaderRequestID) != "r1" {
		t.Errorf("crossed reply is %q, %v, want the reply to the first request", body, err)
	}
	tg.SetFaults(Faults{Duplicate: 1})
	raw, err := net.Dial("tcp", in.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	_, _ = fmt.Fprintf(raw, "POST /change HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nz")
	_ = raw.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(raw)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("reply %d: %v, want the reply twice", i+1, err)
		}
		body, _ := io.ReadAll(resp.Body)
		if string(body) != Outcome("z") {
			t.Errorf("reply %d is %q", i+1, body)
		}
	}
}

// Guards against a caller's key that is not counted, whether it is in the Authorization header, another header or
// the body.
func TestKeysAreSeen(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 2, Connections: 5})
	in, c := f.Instances[0], client(t)
	_, _, _ = send(c, in.Address, targetshttp.ChangePath, "a")
	_, _, _ = send(c, in.Address, targetshttp.ChangePath, "a", "Authorization", "Bearer other")
	_, _, _ = send(c, in.Address, targetshttp.ChangePath, "a", "X-Any", "v "+testCallerKey)
	_, _, _ = send(c, in.Address, targetshttp.ChangePath, "a "+testCallerKey)
	if got := f.Targets["svc-0-0"].Counters().KeysSeen; got != 3 {
		t.Errorf("%d requests with a key were counted, want 3", got)
	}
}

// Guards against status reports that ignore Faults.ReportLagMS or Faults.ReportLoad, and against replies that
// follow these faults instead of carrying the actual status.
func TestReportsLagAndLie(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 1, Slots: 2, Connections: 5})
	in, tg := f.Instances[0], f.Targets["svc-0-0"]
	load := 0.9
	tg.SetFaults(Faults{ReportLagMS: 60000, ReportLoad: &load})
	tg.BeginColdStart()
	status, err := targetshttp.New(client(t)).Status(context.Background(), in.Address)
	if err != nil || status.Incarnation != "svc-0-0/1" || status.State != targets.StateWarm || status.Load != load {
		t.Errorf("report is %+v, %v, want the old incarnation with the false load", status, err)
	}
	resp, _, err := send(client(t), in.Address, targetshttp.ChangePath, "a")
	if err != nil || resp.Header.Get(targetshttp.HeaderIncarnation) != "svc-0-0/2" {
		t.Errorf("reply is %v, %v, want the new incarnation", resp, err)
	}
}

func testPlatform(t *testing.T) (*Platform, *documenthttp.Client, string) {
	t.Helper()
	p := NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, documenthttp.New(server.URL, server.Client()), server.URL
}

// Guards against a platform that accepts a lower revision, that serves an older one without PlatformFaults.Stale,
// or that serves or does not count reads in an outage.
func TestPlatformRevisions(t *testing.T) {
	p, c, _ := testPlatform(t)
	ctx := context.Background()
	if err := p.PublishDocument(&document.Document{Revision: 5}); err != nil {
		t.Fatal(err)
	}
	if err := p.PublishDocument(&document.Document{Revision: 4}); !errors.Is(err, ErrLowerRevision) {
		t.Errorf("publishing 4 after 5: %v, want ErrLowerRevision", err)
	}
	if err := p.PublishDocument(&document.Document{Revision: 6}); err != nil {
		t.Fatal(err)
	}
	for stale, want := range map[bool]document.Revision{true: 5, false: 6} {
		p.SetFaults(PlatformFaults{Stale: stale})
		if d, err := c.Document(ctx, 0, 0); err != nil || d.Revision != want {
			t.Errorf("stale %v: read %+v, %v, want revision %d", stale, d, err, want)
		}
	}
	p.SetFaults(PlatformFaults{Outage: OutageRefuse})
	if _, err := c.Document(ctx, 0, 0); !errors.Is(err, document.ErrUnavailable) {
		t.Errorf("read in an outage: %v, want ErrUnavailable", err)
	}
	if got := p.Calls(); got != 3 {
		t.Errorf("%d calls were counted, want 3", got)
	}
}

// Guards against values and faults that are set over HTTP without effect, and against invalid ones that are
// accepted.
func TestPlatformPutAndFaultOverHTTP(t *testing.T) {
	_, c, url := testPlatform(t)
	put := func(path string, value any) int {
		body, _ := json.Marshal(value)
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, url+path, bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	got := fmt.Sprint(
		put(documenthttp.DocumentPath, document.Document{Revision: 3}),
		put(documenthttp.DocumentPath, document.Document{Revision: 2}),
		put(documenthttp.DocumentPath+"?stale=true", document.Document{Revision: 2}),
		put("/fault", PlatformFaults{LagMS: 60000}),
		put(documenthttp.DocumentPath, document.Document{Revision: 9}),
		put("/fault", map[string]int{"no_such_fault": 1}),
	)
	if want := "200 409 200 200 200 400"; got != want {
		t.Errorf("status codes are %s, want %s", got, want)
	}
	if d, err := c.Document(context.Background(), 0, 0); err != nil || d.Revision != 2 {
		t.Errorf("read %+v, %v, want revision 2 while revision 9 is delayed", d, err)
	}
}

// Guards against a fault set over HTTP that affects targets outside the selection, or that is ignored without an
// error.
func TestFaultsOverHTTP(t *testing.T) {
	f := testFleet(t, ServiceOptions{Replicas: 2, Slots: 2, Connections: 5})
	server := httptest.NewServer(f.FaultHandler())
	defer server.Close()
	for body, want := range map[string]int{
		`{"target":"svc-1-0","action":"cold"}`:  http.StatusNotFound,
		`{"target":"svc-0-1","action":"cold"}`:  http.StatusOK,
		`{"target":"svc-0-1","action":"thaw"}`:  http.StatusBadRequest,
		`{"target":"svc-0-1","actions":"cold"}`: http.StatusBadRequest,
		`{"service":"svc","faults":{"shed":1}}`: http.StatusOK,
	} {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, server.URL+"/fault", strings.NewReader(body))
		resp, err := server.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", body, resp.StatusCode, want)
		}
	}
	for i, want := range []string{"svc-0-0/1", "svc-0-1/2"} {
		resp, _, err := send(client(t), f.Instances[i].Address, targetshttp.ChangePath, "a")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(targetshttp.HeaderRan) != targetshttp.RanNo {
			t.Errorf("%s: %v, %v, want shed and not run", f.Instances[i].ID, resp, err)
		} else if got := resp.Header.Get(targetshttp.HeaderIncarnation); got != want {
			t.Errorf("%s has incarnation %s, want %s", f.Instances[i].ID, got, want)
		}
	}
}
