package targets

import (
	"cmp"
	"slices"
	"time"
)

// Target is one usable target in a View. It is immutable but for its gauge.
type Target struct {
	ID          string
	Service     string
	Zone        string
	Address     string
	Incarnation string
	// Limit is how many requests this instance may have outstanding at the target.
	Limit int
	// Slots is how many requests the target runs at a time, 0 if it is not known.
	Slots int
	// ColdRate is how many requests a second this instance may send to the target while it is cold, 0 if it is not.
	ColdRate float64
	// ReportedLoad is the reported part of slots in use, from 0 to 1. It may lag or mislead.
	ReportedLoad float64
	Stats        *TargetStats
	// Ramping says that control wants a report of every leg, since the limit depends on them.
	Ramping bool
}

// same reports whether o is the same target, perhaps of another view.
func (t *Target) same(o *Target) bool { return t.ID == o.ID }

// ShardView lists the usable replicas of one shard in one snapshot.
type ShardView struct {
	Shard    Shard
	Replicas []*Target
}

// SnapshotView is one snapshot with the shards of its manifest.
type SnapshotView struct {
	Snapshot Snapshot
	Shards   []ShardView
	// Covered counts the shards that have a usable replica.
	Covered int
}

// ServiceView is what traffic needs to know of one service. It is immutable.
type ServiceView struct {
	Name string
	// Targets lists the usable targets, by ID.
	Targets []*Target
	// Snapshots lists the known snapshots, newest first.
	Snapshots []SnapshotView
	// SnapshotsSettleAt is when targets are expected to have agreed on their snapshots again. Before that, queries wait
	// for a whole snapshot while their deadlines allow; after it, missing replicas are not expected soon.
	SnapshotsSettleAt time.Time
	// Tail is shared by all queries of the service.
	Tail *Tail
}

// View maps the name of a service to its view. It is immutable.
type View map[string]*ServiceView

// UsableTarget is a target with what it reported, as input of BuildServiceView.
type UsableTarget struct {
	Target *Target
	Status Status
}

// BuildServiceView arranges the usable targets of a service by snapshot and shard. A snapshot is known when
// any target reports its manifest. Where targets disagree about a manifest, its shards are those that any of them
// names: a shard too many lowers the reported coverage, one too few would make it false.
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

// union returns the sorted union of a, which is sorted, and b. It returns a itself when b adds nothing.
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

// whole reports whether every shard has a usable replica. It is false for nil.
func (s *SnapshotView) whole() bool { return s != nil && s.Covered == len(s.Shards) }

// Pick returns the snapshot that a query is pinned to: the newest that every shard can serve, else the one
// with the best coverage, the newest of equals. Snapshots not above after are passed over. It returns nil
// if there is none.
func (v *ServiceView) Pick(after Snapshot) *SnapshotView {
	var best *SnapshotView
	for i := range v.Snapshots {
		s := &v.Snapshots[i]
		if s.Snapshot <= after {
			break
		}
		if s.whole() {
			return s
		}
		if best == nil || s.Covered*len(best.Shards) > best.Covered*len(s.Shards) {
			best = s
		}
	}
	return best
}
