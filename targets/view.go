package targets

import (
	"cmp"
	"slices"
	"time"
)

// Target is a usable target in a View. It is immutable except for Stats.
type Target struct {
	ID          string
	Service     string
	Zone        string
	Address     string
	Incarnation string
	// Limit is how many requests this instance may have outstanding at the target.
	Limit int
	// Slots is how many requests the target runs concurrently, 0 if unknown.
	Slots int
	// ColdRate is how many requests per second this instance may send to the target while the target is cold, 0 if it
	// is not cold.
	ColdRate float64
	// ReportedLoad is the fraction of slots in use that the target reports, from 0 to 1. It may be outdated or wrong.
	ReportedLoad float64
	Stats        *TargetStats
	// Ramping is set while the limit depends on the outcomes of legs, so that control needs a report of every leg.
	Ramping bool
}

// sameID reports whether o has the same ID, possibly as a value of another view.
func (t *Target) sameID(o *Target) bool { return t.ID == o.ID }

// SameIncarnation reports whether o is the same process at the same address, possibly as a value of another view.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Incarnation == o.Incarnation && t.Address == o.Address
}

// ShardView lists the usable replicas of one shard in one snapshot.
type ShardView struct {
	Shard    Shard
	Replicas []*Target
}

// SnapshotView is a snapshot with the usable replicas of the shards in its manifest.
type SnapshotView struct {
	Snapshot Snapshot
	Shards   []ShardView
	// Covered is the number of shards that have a usable replica.
	Covered int
}

// ServiceView is the part of a View for one service. It is immutable except for Tail and the statistics of its targets.
type ServiceView struct {
	Name string
	// Targets lists the usable targets, ordered by ID.
	Targets []*Target
	// Snapshots lists the snapshots with a known manifest, newest first.
	Snapshots []SnapshotView
	// SnapshotsSettleAt is when the targets are expected to serve the same snapshots again. Before that time, queries
	// wait for a complete snapshot if their deadlines allow it. After it, missing replicas are not expected soon.
	SnapshotsSettleAt time.Time
	// Tail is shared by all queries of the service.
	Tail *Tail
}

// View maps service names to their views. It is immutable.
type View map[string]*ServiceView

// UsableTarget is an input of BuildServiceView: a target and its last reported status.
type UsableTarget struct {
	Target *Target
	Status Status
}

// BuildServiceView groups the usable targets of a service by snapshot and shard. A snapshot is known when any target
// reports its manifest. Where targets disagree about a manifest, the view contains the union of their shards: an extra
// shard only lowers the reported coverage, while an omitted one would make it false.
func BuildServiceView(name string, tail *Tail, usable []UsableTarget) *ServiceView {
	v := &ServiceView{Name: name, Tail: tail}
	slices.SortFunc(usable, func(a, b UsableTarget) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	manifests := map[Snapshot][]Shard{}
	replicas := map[Snapshot]map[Shard][]*Target{}
	for _, u := range usable {
		v.Targets = append(v.Targets, u.Target)
		for _, m := range u.Status.Manifests {
			manifests[m.Snapshot] = union(manifests[m.Snapshot], m.Shards)
		}
		for _, r := range u.Status.Replicas {
			for _, s := range r.Snapshots {
				if replicas[s] == nil {
					replicas[s] = map[Shard][]*Target{}
				}
				replicas[s][r.Shard] = append(replicas[s][r.Shard], u.Target)
			}
		}
	}
	for snapshot, shards := range manifests {
		if len(shards) == 0 {
			continue
		}
		v.Snapshots = append(v.Snapshots, buildSnapshotView(snapshot, shards, replicas[snapshot]))
	}
	slices.SortFunc(v.Snapshots, func(a, b SnapshotView) int { return cmp.Compare(b.Snapshot, a.Snapshot) })
	return v
}

// union returns the sorted union of a, which is sorted, and b. If b equals a, it returns a itself.
func union(a, b []Shard) []Shard {
	if slices.Equal(a, b) {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func buildSnapshotView(snapshot Snapshot, shards []Shard, replicas map[Shard][]*Target) SnapshotView {
	sv := SnapshotView{Snapshot: snapshot, Shards: make([]ShardView, 0, len(shards))}
	for _, shard := range shards {
		shardView := ShardView{Shard: shard, Replicas: replicas[shard]}
		if len(shardView.Replicas) > 0 {
			sv.Covered++
		}
		sv.Shards = append(sv.Shards, shardView)
	}
	return sv
}

// complete reports whether every shard has a usable replica. It returns false for nil.
func (s *SnapshotView) complete() bool { return s != nil && s.Covered == len(s.Shards) }

// Pick returns the snapshot for a query: the newest complete one, else the one with the largest fraction of shards
// covered, the newest of equals. It ignores snapshots up to and including after, and returns nil if no other is known.
func (v *ServiceView) Pick(after Snapshot) *SnapshotView {
	var best *SnapshotView
	for i := range v.Snapshots {
		s := &v.Snapshots[i]
		if s.Snapshot <= after {
			break
		}
		if s.complete() {
			return s
		}
		if best == nil || s.Covered*len(best.Shards) > best.Covered*len(s.Shards) {
			best = s
		}
	}
	return best
}
