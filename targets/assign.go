package targets

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// EntryInstance is an input of Assign: an instance that receives requests from callers.
type EntryInstance struct {
	ID   string
	Zone string
}

// AssignableTarget is an input of Assign: a target and its connection limits.
type AssignableTarget struct {
	ID   string
	Zone string
	// Connections is how many connections the target accepts from all instances together.
	Connections int
	// MaxPerInstance is how many connections one instance can use.
	MaxPerInstance int
	// Shards lists the shards that the target holds. Targets without shards are assigned as one group.
	Shards []Shard
}

// Grant allows an instance to open a number of connections to a target.
type Grant struct {
	Target      string
	Connections int
}

// assignHeadroom is the divisor of a target's connections that yields the part left unassigned: 1/8. This part is used
// while instances have different lists, and by the owner of a cold target.
const assignHeadroom = 8

// Assignment contains the grants of all instances.
type Assignment struct {
	targets    []AssignableTarget
	byInstance map[string][]grant
}

// grant is a Grant with the index of its target.
type grant struct {
	target      int32
	connections int32
}

// GrantsOf returns the grants of one instance, ordered by target ID.
func (a *Assignment) GrantsOf(instance string) []Grant {
	row := slices.SortedFunc(slices.Values(a.byInstance[instance]), func(a, b grant) int { return cmp.Compare(a.target, b.target) })
	out := make([]Grant, len(row))
	for i, g := range row {
		out[i] = Grant{Target: a.targets[g.target].ID, Connections: int(g.connections)}
	}
	return out
}

// Holders returns the sorted IDs of the instances that have a grant for a target.
func (a *Assignment) Holders(target string) []string {
	n, ok := slices.BinarySearchFunc(a.targets, target, func(t AssignableTarget, id string) int { return cmp.Compare(t.ID, id) })
	if !ok {
		return nil
	}
	var out []string
	for id, row := range a.byInstance {
		if slices.ContainsFunc(row, func(g grant) bool { return g.target == int32(n) }) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Assign distributes the connections of all targets over all instances by bounded-load rendezvous hashing. The result
// does not depend on the order of the lists, so every instance computes the same assignment from the same lists.
//
// For each shard in rounds, each instance takes the target with the highest hash among those in its zone that have free
// connections, else among those in other zones. No instance gets a second replica of a shard before each has had the
// chance to take a first. The connections that remain are then added to existing pairs of instance and target.
func Assign(instances []EntryInstance, targets []AssignableTarget) *Assignment {
	s := newAssigner(instances, targets)
	for _, shard := range s.shards {
		s.assignShard(shard)
	}
	s.addConnections()
	out := &Assignment{targets: s.targets, byInstance: make(map[string][]grant, len(s.instances))}
	for i, in := range s.instances {
		out.byInstance[in.ID] = s.grants[i]
	}
	return out
}

// assigner is the working state of Assign.
type assigner struct {
	instances       []EntryInstance
	targets         []AssignableTarget
	shards          []assignShard
	freeConnections []int32   // by target
	grants          [][]grant // by instance
	entryHash       []uint64  // by instance
	targetHash      []uint64  // by target
	entryZone       []int32   // by instance
	targetZone      []int32   // by target
	zones           int
	shardStart      []int // by instance: index of the first grant for the current shard
}

// assignShard is a shard with the indices of the targets that hold it.
type assignShard struct {
	hash    uint64
	targets []int32
}

func newAssigner(instances []EntryInstance, targets []AssignableTarget) *assigner {
	s := &assigner{
		instances:  slices.SortedFunc(slices.Values(instances), func(a, b EntryInstance) int { return cmp.Compare(a.ID, b.ID) }),
		targets:    slices.SortedFunc(slices.Values(targets), func(a, b AssignableTarget) int { return cmp.Compare(a.ID, b.ID) }),
		grants:     make([][]grant, len(instances)),
		shardStart: make([]int, len(instances)),
	}
	zones := map[string]int32{}
	zone := func(name string) int32 {
		n, ok := zones[name]
		if !ok {
			n = int32(len(zones))
			zones[name] = n
		}
		return n
	}
	for _, in := range s.instances {
		s.entryHash = append(s.entryHash, xxhash.Sum64String(in.ID))
		s.entryZone = append(s.entryZone, zone(in.Zone))
	}
	index := map[Shard]int{}
	for i, t := range s.targets {
		s.targetHash = append(s.targetHash, xxhash.Sum64String(t.ID))
		s.targetZone = append(s.targetZone, zone(t.Zone))
		s.freeConnections = append(s.freeConnections, int32(max(t.Connections-t.Connections/assignHeadroom, 1)))
		shards := t.Shards
		if len(shards) == 0 {
			shards = []Shard{""}
		}
		for _, shard := range shards {
			n, ok := index[shard]
			if !ok {
				n = len(s.shards)
				index[shard] = n
				s.shards = append(s.shards, assignShard{hash: xxhash.Sum64String(string(shard))})
			}
			s.shards[n].targets = append(s.shards[n].targets, int32(i))
		}
	}
	s.zones = len(zones)
	slices.SortFunc(s.shards, func(a, b assignShard) int { return cmp.Compare(a.hash, b.hash) })
	return s
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// holds reports whether the instance has a grant for the target. For a target with one shard, it searches only the
// grants of the current shard.
func (s *assigner) holds(instance int, target int32) bool {
	held := s.grants[instance]
	if len(s.targets[target].Shards) <= 1 {
		held = held[s.shardStart[instance]:]
	}
	return slices.ContainsFunc(held, func(g grant) bool { return g.target == target })
}

// assignShard grants one connection to each replica of the shard that an instance takes.
func (s *assigner) assignShard(shard assignShard) {
	// The order of instances differs between shards, so that no instance is always the last to choose.
	order := make([]int, len(s.instances))
	key := make([]uint64, len(s.instances))
	count := make([]int, len(s.instances)) // replicas of the shard granted, by instance
	for i := range s.instances {
		order[i], key[i] = i, mix(s.entryHash[i]^shard.hash)
		s.shardStart[i] = len(s.grants[i])
		for _, t := range shard.targets {
			if len(s.targets[t].Shards) > 1 && s.holds(i, t) {
				count[i]++
			}
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(key[a], key[b]) })
	// Targets with free connections, by zone and in total.
	zones := make([][]int32, s.zones)
	all := slices.Clone(shard.targets)
	for _, t := range all {
		zones[s.targetZone[t]] = append(zones[s.targetZone[t]], t)
	}
	full := func(t int32) bool { return s.freeConnections[t] == 0 }
	for round := 0; len(all) > 0 && round < len(shard.targets); round++ {
		for _, i := range order {
			if count[i] > round {
				continue
			}
			own := s.entryZone[i]
			t := s.best(i, zones[own])
			if t < 0 {
				t = s.best(i, all)
			}
			if t < 0 {
				continue
			}
			s.grants[i] = append(s.grants[i], grant{target: t, connections: 1})
			count[i]++
			if s.freeConnections[t]--; s.freeConnections[t] == 0 {
				all = slices.DeleteFunc(all, full)
				zones[s.targetZone[t]] = slices.DeleteFunc(zones[s.targetZone[t]], full)
			}
		}
	}
}

// best returns the target in open with the highest hash for the instance for which it has no grant, and -1 if there is
// none.
func (s *assigner) best(instance int, open []int32) int32 {
	best, bestScore := int32(-1), uint64(0)
	for _, t := range open {
		score := mix(s.entryHash[instance]^s.targetHash[t])>>1 + 1
		if score > bestScore && !s.holds(instance, t) {
			best, bestScore = t, score
		}
	}
	return best
}

// addConnections adds connections to existing grants, one to each in turn, while the targets have free connections and
// MaxPerInstance allows it.
func (s *assigner) addConnections() {
	for progress := true; progress; {
		progress = false
		for i := range s.grants {
			for j := range s.grants[i] {
				g := &s.grants[i][j]
				if s.freeConnections[g.target] > 0 && int(g.connections) < s.targets[g.target].MaxPerInstance {
					s.freeConnections[g.target]--
					g.connections++
					progress = true
				}
			}
		}
	}
}
