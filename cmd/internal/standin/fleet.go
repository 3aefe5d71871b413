package standin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/targets"
)

// ServiceOptions configures the targets of one emulated service.
type ServiceOptions struct {
	Name string `yaml:"name"`
	// Shards is the number of shards; 0 makes an unsharded service.
	Shards int `yaml:"shards"`
	// Replicas is the number of targets of each shard, or of an unsharded service.
	Replicas    int `yaml:"replicas"`
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// Queue is the maximum number of requests that wait for a slot at a target; 0 means twice the slots.
	Queue       int           `yaml:"queue"`
	ServiceTime time.Duration `yaml:"service_time"`
	// ConnectionCost is the time that a target needs to accept one connection; 0 means 6 ms for a sharded
	// service and 1 ms for others, the sizes on the design page.
	ConnectionCost time.Duration `yaml:"connection_cost"`
	// MaxColdRequests is the number of concurrent requests that a cold target can take without overload; 0
	// means 1, or 2 for an unsharded service.
	MaxColdRequests int `yaml:"bears"`
	// ColdTime is the maximum duration of a cold start; 0 means the default of TargetOptions.
	ColdTime time.Duration `yaml:"cold_time"`
	// KeyOptional makes the service accept requests without a caller's key.
	KeyOptional bool `yaml:"open"`
}

const (
	shardedConnectionCost    = 6 * time.Millisecond
	unshardedConnectionCost  = time.Millisecond
	unshardedMaxColdRequests = 2
)

// ErrUnknownService is returned if the fleet has no sharded service of that name or the number of shards is not
// positive.
var ErrUnknownService = errors.New("unknown sharded service")

// Fleet is a set of emulated targets, each with its own listener.
type Fleet struct {
	// Instances and Targets do not change after NewFleet.
	Instances []document.Instance
	Targets   map[string]*Target

	seed    uint64
	secrets []string

	mu      sync.Mutex
	indexes map[string]*shardedIndex
}

// shardedIndex holds the snapshots of one sharded service and the targets that serve them.
type shardedIndex struct {
	publishMu sync.Mutex // serialises PublishSnapshot

	targets   []*Target // in shard order, replicas of a shard next to each other
	replicas  int
	manifests map[targets.Snapshot]targets.Manifest
	newest    targets.Snapshot
}

// Option configures NewFleet.
type Option func(*Fleet)

// WithSeed makes the targets' random choices repeatable.
func WithSeed(seed uint64) Option { return func(f *Fleet) { f.seed = seed } }

// WithSecrets sets the callers' keys. Each target counts the requests that contain one, since none may reach it.
func WithSecrets(keys ...string) Option { return func(f *Fleet) { f.secrets = keys } }

// NewFleet starts the targets of the services on loopback, distributed over the zones.
func NewFleet(services []ServiceOptions, zones []string, options ...Option) (*Fleet, error) {
	f := &Fleet{Targets: map[string]*Target{}, indexes: map[string]*shardedIndex{}}
	for _, o := range options {
		o(f)
	}
	for _, s := range services {
		x := &shardedIndex{replicas: s.Replicas, manifests: map[targets.Snapshot]targets.Manifest{}, newest: 1}
		x.manifests[1] = newManifest(1, s.Shards)
		for i := range max(s.Shards, 1) {
			for r := range s.Replicas {
				t, err := f.addTarget(fmt.Sprintf("%s-%d-%d", s.Name, i, r), zones[(i+r)%len(zones)], s)
				if err != nil {
					f.Close()
					return nil, err
				}
				x.targets = append(x.targets, t)
			}
		}
		if s.Shards > 0 {
			f.indexes[s.Name] = x
			for i, t := range x.targets {
				x.assignShards(i, t, 1)
			}
		}
	}
	return f, nil
}

func (f *Fleet) addTarget(id, zone string, s ServiceOptions) (*Target, error) {
	sharded := s.Shards > 0
	status := targets.Status{
		Incarnation: id + "/1", State: targets.StateWarm, Slots: s.Slots, Connections: s.Connections, MaxColdRequests: s.MaxColdRequests,
	}
	o := TargetOptions{
		ID: id, ServiceTime: s.ServiceTime, Queue: s.Queue, ConnectionCost: s.ConnectionCost, ColdTime: s.ColdTime,
		Seed: f.seed, Secrets: f.secrets,
	}
	if o.Queue == 0 {
		o.Queue = 2 * s.Slots
	}
	if status.MaxColdRequests == 0 {
		status.MaxColdRequests = 1
		if !sharded {
			status.MaxColdRequests = unshardedMaxColdRequests
		}
	}
	if o.ConnectionCost == 0 {
		o.ConnectionCost = unshardedConnectionCost
		if sharded {
			o.ConnectionCost = shardedConnectionCost
		}
	}
	o.Status = status
	t := NewTarget(o)
	address, err := t.Start()
	if err != nil {
		return nil, err
	}
	f.Targets[id] = t
	f.Instances = append(f.Instances, document.Instance{
		ID: id, Kind: document.KindTarget, Service: s.Name, Zone: zone, Address: address, State: document.StateLive,
	})
	return t, nil
}

// newManifest lists the shards of a snapshot.
func newManifest(snapshot targets.Snapshot, shards int) targets.Manifest {
	m := targets.Manifest{Snapshot: snapshot}
	for i := range shards {
		m.Shards = append(m.Shards, shardName(snapshot, i, shards))
	}
	return m
}

// shardName returns the name of a shard. From the second snapshot on, the name contains the number of shards, so
// that a repartitioned index shares no shard name with the previous snapshot.
func shardName(snapshot targets.Snapshot, i, shards int) targets.Shard {
	if snapshot == 1 {
		return targets.Shard(fmt.Sprintf("s%02d", i))
	}
	return targets.Shard(fmt.Sprintf("s%02d.%d", i, shards))
}

// assignShards sets the shards of the given snapshots that the i-th target serves. Shards are distributed
// round-robin over the replica groups. The caller holds Fleet.mu, except in NewFleet.
func (x *shardedIndex) assignShards(i int, t *Target, snapshots ...targets.Snapshot) {
	group, groups := i/x.replicas, len(x.targets)/x.replicas
	byShard := map[targets.Shard][]targets.Snapshot{}
	var manifests []targets.Manifest
	for _, s := range snapshots {
		m := x.manifests[s]
		manifests = append(manifests, m)
		for j, shard := range m.Shards {
			if j%groups == group {
				byShard[shard] = append(byShard[shard], s)
			}
		}
	}
	var replicas []targets.Replica
	for _, shard := range slices.Sorted(maps.Keys(byShard)) {
		replicas = append(replicas, targets.Replica{Shard: shard, Snapshots: byShard[shard]})
	}
	t.setReplicas(replicas, manifests)
}

// PublishSnapshot adds a new index snapshot with the given number of shards to a service, one target after the
// other with a pause of step after each, and then removes the previous snapshot in the same way. It returns once
// all targets serve only the new snapshot.
func (f *Fleet) PublishSnapshot(service string, shards int, step time.Duration) error {
	x := f.indexes[service] // the map does not change after NewFleet
	if x == nil || shards < 1 {
		return fmt.Errorf("%w: %q with %d shards", ErrUnknownService, service, shards)
	}
	x.publishMu.Lock()
	defer x.publishMu.Unlock()
	f.mu.Lock()
	old := x.newest
	x.newest++
	snapshot := x.newest
	x.manifests[snapshot] = newManifest(snapshot, shards)
	f.mu.Unlock()
	for _, snapshots := range [][]targets.Snapshot{{old, snapshot}, {snapshot}} {
		for i, t := range x.targets {
			f.mu.Lock()
			x.assignShards(i, t, snapshots...)
			f.mu.Unlock()
			time.Sleep(step)
		}
	}
	return nil
}

// Shards returns the shards of a published snapshot, or nil if the service or the snapshot does not exist.
func (f *Fleet) Shards(service string, snapshot targets.Snapshot) []targets.Shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.indexes[service]; x != nil {
		return x.manifests[snapshot].Shards
	}
	return nil
}

// Select returns the targets that match all arguments, sorted by ID. An empty argument matches every target.
func (f *Fleet) Select(id, service, zone string) []*Target {
	var out []*Target
	for _, in := range f.Instances {
		if (id == "" || id == in.ID) && (service == "" || service == in.Service) && (zone == "" || zone == in.Zone) {
			out = append(out, f.Targets[in.ID])
		}
	}
	slices.SortFunc(out, func(a, b *Target) int {
		if a.options.ID < b.options.ID {
			return -1
		}
		return 1
	})
	return out
}

// Counters returns the counters of all targets, keyed by target ID.
func (f *Fleet) Counters() map[string]Counters {
	out := make(map[string]Counters, len(f.Targets))
	for id, t := range f.Targets {
		out[id] = t.Counters()
	}
	return out
}

// ChangeRuns returns the number of runs of each change, summed over all targets and keyed by ChangeKey.
func (f *Fleet) ChangeRuns() map[string]int {
	out := map[string]int{}
	for _, t := range f.Targets {
		for key, n := range t.ChangeRuns() {
			out[key] += n
		}
	}
	return out
}

// Close stops all targets permanently.
func (f *Fleet) Close() {
	for _, t := range f.Targets {
		t.Close()
	}
}
