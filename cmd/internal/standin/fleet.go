package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"dogwooddrift.org/drift/platform"
	"dogwooddrift.org/drift/target"
)

// ServiceOptions describes the targets of one emulated service.
type ServiceOptions struct {
	Name string
	// Shards is the number of shards; 0 makes an unsharded service.
	Shards int
	// Replicas is the number of targets of each shard, or of an unsharded service.
	Replicas    int
	Slots       int
	Connections int
	ServiceTime time.Duration
}

// Fleet is a set of emulated targets, each on a listener of its own.
type Fleet struct {
	Instances []platform.Instance
	Targets   map[string]*Target
	servers   []*http.Server
}

// NewFleet starts the targets of the services on loopback, spread over the zones.
func NewFleet(services []ServiceOptions, zones []string) (*Fleet, error) {
	f := &Fleet{Targets: map[string]*Target{}}
	for _, s := range services {
		for i := range max(s.Shards, 1) {
			for r := range s.Replicas {
				id := fmt.Sprintf("%s-%d-%d", s.Name, i, r)
				if err := f.add(id, zones[(i+r)%len(zones)], s, i); err != nil {
					f.Close()
					return nil, err
				}
			}
		}
	}
	return f, nil
}

func (f *Fleet) add(id, zone string, s ServiceOptions, shard int) error {
	status := target.Status{Incarnation: id + "/1", State: target.StateWarm, Slots: s.Slots, Connections: s.Connections, Bears: 1}
	if s.Shards > 0 {
		const first = target.Snapshot(1)
		status.Replicas = []target.Replica{{Shard: shardName(shard), Snapshots: []target.Snapshot{first}}}
		manifest := target.Manifest{Snapshot: first}
		for i := range s.Shards {
			manifest.Shards = append(manifest.Shards, shardName(i))
		}
		status.Manifests = []target.Manifest{manifest}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := NewTarget(TargetOptions{Status: status, ServiceTime: s.ServiceTime})
	server := &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	f.servers = append(f.servers, server)
	f.Targets[id] = t
	f.Instances = append(f.Instances, platform.Instance{
		ID: id, Kind: platform.KindTarget, Service: s.Name, Zone: zone,
		Address: listener.Addr().String(), State: platform.StateLive,
	})
	return nil
}

func shardName(i int) target.Shard { return target.Shard(fmt.Sprintf("s%02d", i)) }

// Close stops all targets.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}
