// Package demo runs a small deployment in one process: three availability zones, emulated targets and platform,
// and entry instances that serve real requests over loopback.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/cmd/internal/node"
	"dogwooddrift.org/drift/cmd/internal/settings"
	"dogwooddrift.org/drift/cmd/internal/standin"
	"dogwooddrift.org/drift/platform"
)

// ErrUntruthful means that an answer contradicted the stand-ins.
var ErrUntruthful = errors.New("an answer was untruthful")

const (
	demoKey           = "demo-key"
	instancesPerZone  = 2
	workersPerClass   = 4
	readyTimeout      = 20 * time.Second
	readyPoll         = 20 * time.Millisecond
	histogramMaxMicro = int64(60 * time.Second / time.Microsecond)
	histogramDigits   = 3
)

var zones = []string{"roskilde", "koege", "holbaek"}

var services = []standin.ServiceOptions{
	{Name: "shopfront", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ServiceTime: 2 * time.Millisecond},
	{Name: "farm-portal", Shards: 30, Replicas: 2, Slots: 2, Connections: 25, ServiceTime: 2 * time.Millisecond},
	{Name: "subscriptions", Replicas: 5, Slots: 6, Connections: 110, ServiceTime: 2 * time.Millisecond},
}

// Run starts the deployment, sends requests for the duration and prints a table. It fails with ErrUntruthful
// if an answer was not true.
func Run(ctx context.Context, out io.Writer, duration time.Duration) error {
	fleet, err := standin.NewFleet(services, zones)
	if err != nil {
		return err
	}
	defer fleet.Close()
	p, platformAddress, stopPlatform, err := startPlatform(fleet)
	if err != nil {
		return err
	}
	defer stopPlatform()
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	var entries []string
	listed := fleet.Instances
	for _, zone := range zones {
		for i := range instancesPerZone {
			n, err := startNode(group, ctx, fmt.Sprintf("%s-%d", zone, i), zone, platformAddress)
			if err != nil {
				cancel()
				return errors.Join(err, group.Wait())
			}
			entries = append(entries, n.CallersAddress())
			listed = append(listed, n.Instance())
		}
	}
	if err := p.PublishInstances(&platform.InstanceList{Revision: 2, Instances: listed}); err != nil {
		cancel()
		return errors.Join(err, group.Wait())
	}
	err = waitReady(ctx, entries)
	if err == nil {
		err = drive(ctx, out, entries, duration)
	}
	cancel()
	return errors.Join(err, group.Wait())
}

func startPlatform(fleet *standin.Fleet) (*standin.Platform, string, func(), error) {
	p := standin.NewPlatform()
	doc := Document()
	if err := p.PublishDocument(doc); err != nil {
		return nil, "", nil, err
	}
	if err := p.PublishInstances(&platform.InstanceList{Revision: 1, Instances: fleet.Instances}); err != nil {
		return nil, "", nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, err
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return p, listener.Addr().String(), func() { _ = server.Close() }, nil
}

// Document returns the document of the demo.
func Document() *platform.Document {
	d := &platform.Document{
		Revision: 1,
		Organisations: []platform.Organisation{{
			Name: "nordlys", Host: true, Rate: 100000, Burst: 100000, Weight: 1,
			Keys: []platform.Key{{ID: "app", SHA256: caller.Digest(demoKey)}},
		}},
		Isolation:    platform.Isolation{KeyedLimit: 60},
		ChangeWindow: 600,
	}
	for _, s := range services {
		d.Services = append(d.Services, platform.Service{
			Name: s.Name, Sharded: s.Shards > 0, Slots: s.Slots, Connections: s.Connections,
		})
	}
	for _, z := range zones {
		d.Zones = append(d.Zones, platform.Zone{Name: z, RateFraction: 1 / float64(len(zones))})
	}
	return d
}

func startNode(group *errgroup.Group, ctx context.Context, id, zone, platformAddress string) (*node.Node, error) {
	s := settings.Default()
	s.ID, s.Zone, s.Platform = id, zone, "http://"+platformAddress
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Siblings: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Drain.Notice = 0
	n, err := node.New(s, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return n.Run(ctx, context.Background()) })
	return n, nil
}

func waitReady(ctx context.Context, entries []string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range entries {
		for !ready(ctx, entry) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry instance at %s did not become ready: %w", entry, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, entry string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

type tally struct {
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	sent       int
	whole      int
	answered   int
	total      int
	refusals   map[string]int
	untruthful []string
}

func drive(ctx context.Context, out io.Writer, entries []string, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	tallies := make([]*tally, len(services))
	var workers sync.WaitGroup
	for i, s := range services {
		t := &tally{latency: hdrhistogram.New(1, histogramMaxMicro, histogramDigits), refusals: map[string]int{}}
		tallies[i] = t
		for w := range workersPerClass {
			workers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					t.request(ctx, entries[(w+n)%len(entries)], s, fmt.Sprintf("w%d-%d", w, n))
				}
			})
		}
	}
	workers.Wait()
	return report(out, tallies)
}

func report(out io.Writer, tallies []*tally) error {
	var failed bool
	_, _ = fmt.Fprintf(out, "%-14s %8s %8s %10s %9s %9s  %s\n", "class", "requests", "whole", "coverage", "p50", "p99", "refusals")
	for i, t := range tallies {
		coverage := 1.0
		if t.total > 0 {
			coverage = float64(t.answered) / float64(t.total)
		}
		_, _ = fmt.Fprintf(out, "%-14s %8d %8d %9.3f%% %9s %9s  %v\n", services[i].Name, t.sent, t.whole, 100*coverage,
			time.Duration(t.latency.ValueAtQuantile(50))*time.Microsecond,
			time.Duration(t.latency.ValueAtQuantile(99))*time.Microsecond, t.refusals)
		for _, u := range t.untruthful {
			failed = true
			_, _ = fmt.Fprintf(out, "untruthful: %s\n", u)
		}
	}
	if failed {
		return ErrUntruthful
	}
	return nil
}

type reply struct {
	Code     string `json:"code"`
	Snapshot uint64 `json:"snapshot"`
	Coverage struct {
		Answered int `json:"answered"`
		Total    int `json:"total"`
	} `json:"coverage"`
	Results []struct {
		Shard  string `json:"shard"`
		Result string `json:"result"`
	} `json:"results"`
	Outcome string `json:"outcome"`
}

// request sends one request of the service's class and counts its outcome.
func (t *tally) request(ctx context.Context, entry string, s standin.ServiceOptions, text string) {
	path, body := "/query", map[string]string{"query": text}
	if s.Shards == 0 {
		path, body = "/changes", map[string]string{"change": text}
	}
	encoded, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/services/"+s.Name+path, bytes.NewReader(encoded))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", text)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var r reply
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return
	}
	t.count(s, text, resp.StatusCode, r, time.Since(start))
}

func (t *tally) count(s standin.ServiceOptions, text string, status int, r reply, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if status != http.StatusOK {
		t.refusals[r.Code]++
		return
	}
	_ = t.latency.RecordValue(latency.Microseconds())
	if s.Shards == 0 {
		t.whole++
		return
	}
	t.answered += r.Coverage.Answered
	t.total += r.Coverage.Total
	if r.Coverage.Answered == s.Shards {
		t.whole++
	}
	if r.Coverage.Total != s.Shards || r.Coverage.Answered != len(r.Results) {
		t.untruthful = append(t.untruthful, fmt.Sprintf("%s: coverage %+v with %d results", text, r.Coverage, len(r.Results)))
	}
	for _, result := range r.Results {
		if want := fmt.Sprintf("%s@%d:%s", result.Shard, r.Snapshot, text); result.Result != want {
			t.untruthful = append(t.untruthful, fmt.Sprintf("%s: shard %s answered %q", text, result.Shard, result.Result))
		}
	}
}
