// Package targets holds the decisions about targets, the instances that run requests: which of them are usable,
// which snapshot and replicas a query is planned on, when a leg is retried, and what a true answer contains.
//
// The package does no I/O and reads no clock; targetshttp talks to targets.
package targets

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
	// MaxColdRequests is how many requests at a time the target bears while cold.
	MaxColdRequests int `json:"bears"`
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
