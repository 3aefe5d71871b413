// Package target holds the decisions about targets, the instances that run requests: which of them are usable,
// which snapshot and replicas a query is planned on, when a leg is retried, and what a true answer contains.
//
// The package does no I/O and reads no clock; targethttp talks to targets.
package target

import (
	"sync/atomic"
	"time"
)

// Snapshot numbers a version of a service's index. Higher is newer.
type Snapshot uint64

// Shard names a part of an index.
type Shard string

// State is what a target says of itself. It may lag or mislead.
type State string

// The states that a target reports.
const (
	StateWarm     State = "warm"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Status is a target's own report.
type Status struct {
	// Incarnation changes whenever the target's process starts or loses its caches.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Slots is how many requests the target runs at a time.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts, over all instances together.
	Connections int `json:"connections"`
	// Load is the reported part of slots in use, from 0 to 1.
	Load float64 `json:"load"`
	// Bears is how many requests at a time the target bears while cold.
	Bears int `json:"bears"`
	// Replicas lists the shards that the target holds. Empty for unsharded services.
	Replicas []Replica `json:"replicas,omitempty"`
	// Manifests lists the shards that make up each snapshot the target knows.
	Manifests []Manifest `json:"manifests,omitempty"`
}

// Replica is one shard on one target with the snapshots it can serve.
type Replica struct {
	Shard     Shard      `json:"shard"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Manifest is the set of shards of one snapshot. It is part of the snapshot and never changes.
type Manifest struct {
	Snapshot Snapshot `json:"snapshot"`
	Shards   []Shard  `json:"shards"`
}

// Gauge counts what this instance has under way at one target. Control creates it, traffic updates it.
type Gauge struct {
	outstanding atomic.Int64
	latency     atomic.Int64 // nanoseconds, exponentially weighted
}

// latencyWeightShift sets the weight of one sample in the latency estimate to 1/8.
const latencyWeightShift = 3

// TryStart counts a request as outstanding unless limit requests are outstanding already.
func (g *Gauge) TryStart(limit int) bool {
	for {
		n := g.outstanding.Load()
		if n >= int64(limit) {
			return false
		}
		if g.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Finish ends a request that TryStart counted. A latency of zero or less is not sampled.
func (g *Gauge) Finish(latency time.Duration) {
	g.outstanding.Add(-1)
	if latency <= 0 {
		return
	}
	old := g.latency.Load()
	if old == 0 {
		g.latency.CompareAndSwap(0, int64(latency))
		return
	}
	g.latency.CompareAndSwap(old, old+(int64(latency)-old)>>latencyWeightShift)
}

// Outstanding returns the requests under way from this instance.
func (g *Gauge) Outstanding() int { return int(g.outstanding.Load()) }

// Latency returns the weighted mean latency that this instance saw, zero before the first sample.
func (g *Gauge) Latency() time.Duration { return time.Duration(g.latency.Load()) }
