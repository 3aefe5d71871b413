// Package targets decides about targets, the instances that run requests: which of them are usable, on which snapshot
// and replicas a query is planned, when a leg is retried or hedged, and which results an answer contains.
//
// In its comments, control is the goroutine that owns the control state, and traffic the goroutines that serve
// requests.
//
// The package does no I/O, and its decisions take the current time as an argument. Package targetshttp sends requests
// to targets.
package targets

// Snapshot is the version number of a service's index. Higher is newer.
type Snapshot uint64

// Shard is the name of a part of an index.
type Shard string

// State is the state that a target reports about itself. The report may be outdated or wrong.
type State string

// The states that a target reports.
const (
	// StateWarm targets have filled their caches.
	StateWarm State = "warm"
	// StateCold targets have recently started or lost their caches, and tolerate few requests.
	StateCold State = "cold"
	// StateDraining targets finish their requests and accept no new ones.
	StateDraining State = "draining"
)

// Status is the status that a target reports about itself.
type Status struct {
	// Incarnation changes whenever the target's process starts or loses its caches.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts from all instances together.
	Connections int `json:"connections"`
	// Load is the reported fraction of slots in use, from 0 to 1.
	Load float64 `json:"load"`
	// MaxColdRequests is how many concurrent requests the target tolerates while cold.
	MaxColdRequests int `json:"bears"`
	// Replicas lists the shards that the target holds. It is empty for unsharded services.
	Replicas []Replica `json:"replicas,omitempty"`
	// Manifests lists the manifests of the snapshots that the target knows.
	Manifests []Manifest `json:"manifests,omitempty"`
}

// Replica is the copy of a shard on one target, with the snapshots that it can serve.
type Replica struct {
	Shard     Shard      `json:"shard"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Manifest lists the shards of one snapshot. It never changes for a given snapshot.
type Manifest struct {
	Snapshot Snapshot `json:"snapshot"`
	Shards   []Shard  `json:"shards"`
}
