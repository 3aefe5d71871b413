package sibling

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// An instance with a small part of a core needs long to send a request to hundreds of shards, and sees so few requests that
// targets have closed its connections before the next one. It splits the shards of a request into groups and lets another
// instance, the owner, gather each group. Owners are found by rendezvous hashing, without any agreement: a different view of
// the members costs a connection or a second question, never a wrong answer.

const (
	// sendTime is the processor time that one send to a target takes on a whole core.
	sendTime = 110 * time.Microsecond
	// maxOwnSendTime is the time up to which an instance sends to all shards of a request itself.
	maxOwnSendTime = 20 * time.Millisecond
	// shardsPerGroup is the number of shards in a group. A smaller group costs more calls, a larger one more time at its
	// owner.
	shardsPerGroup = 24
	// minGroupsPerOwner is how many groups each instance owns at least, so that groups have about the same number of owners.
	minGroupsPerOwner = 2
	// ownersPerGroup is how many owners a group has at least on average, if the zone has that many instances.
	ownersPerGroup = 3
	// rankedOwners is how many owners of a group an instance knows: the one that it asks, and those that it asks if that one
	// declines or is out of reach.
	rankedOwners = 3
	// strongCores is the part of the largest instance's core from which on an instance of the zone counts as strong, and
	// strongShare the fraction of the zone's processor time that the strong ones need to gather alone. Gathering takes about
	// a fortieth of the processor time of the fleets that are split, so that they then use a fifth of theirs.
	strongCores = 0.5
	strongShare = 0.125
	// minStrongOwners is the number of strong instances below which the others own groups too, since the loss of one would
	// leave each group of the zone without its owner.
	minStrongOwners = 2
)

// Splits reports whether an instance with the given part of a core splits requests to a number of shards. A part of 0 means
// that it is unknown and taken for a whole core.
func Splits(shards int, cores float64) bool {
	if cores <= 0 {
		cores = 1
	}
	return time.Duration(float64(shards)*float64(sendTime)/cores) > maxOwnSendTime
}

// Owner is an instance that may gather groups of shards for others.
type Owner struct {
	ID, Zone, Address string
	// Cores is the part of a core that the instance has, by which its share of the work is weighted.
	Cores float64
}

// GatherGroup is a group of shards of a request with the owners that may gather it, in order of preference. Without owners,
// or if the first is the asking instance itself, that instance gathers the group.
type GatherGroup struct {
	Shards []string
	Owners []Owner
}

// PlanGroups splits the shards of a request among zones that have targets of them, the zone of the asking instance first and
// then those with most of the rest, so that most sends stay within a zone, and divides those of each zone into groups. The
// groups of a zone are the same for all instances, so that each target gets connections from few owners.
func PlanGroups(self, zone string, shards []string, zonesOf func(shard string) []string, candidates []Owner) []GatherGroup {
	inZone := map[string][]string{} // shards with a target in the zone, in their order
	for _, s := range shards {
		for _, z := range zonesOf(s) {
			inZone[z] = append(inZone[z], s)
		}
	}
	open := make(map[string]bool, len(shards))
	for _, s := range shards {
		open[s] = true
	}
	var out []GatherGroup
	for next := zone; len(open) > 0 && next != ""; next = widestZone(self, inZone, open) {
		all := inZone[next]
		delete(inZone, next)
		owners := rankZoneOwners(self, slices.DeleteFunc(slices.Clone(candidates), func(o Owner) bool { return o.Zone != next }), groupCount(len(all)))
		for g := range owners {
			group := GatherGroup{Owners: owners[g]}
			for _, s := range all[g*len(all)/len(owners) : (g+1)*len(all)/len(owners)] {
				if open[s] {
					group.Shards = append(group.Shards, s)
					delete(open, s)
				}
			}
			if len(group.Shards) > 0 {
				out = append(out, group)
			}
		}
	}
	var rest []string // shards without targets
	for _, s := range shards {
		if open[s] {
			rest = append(rest, s)
		}
	}
	if len(rest) > 0 {
		out = append(out, GatherGroup{Shards: rest})
	}
	return out
}

// groupCount returns the number of groups of a number of shards.
func groupCount(shards int) int { return (shards + shardsPerGroup - 1) / shardsPerGroup }

// widestZone returns the zone that has targets of most open shards, "" if none has any. Of several, each instance prefers
// another one.
func widestZone(self string, inZone map[string][]string, open map[string]bool) string {
	best, most := "", 0
	for z, shards := range inZone {
		n := 0
		for _, s := range shards {
			if open[s] {
				n++
			}
		}
		if n > most || n == most && n > 0 && rendezvous(self, z) > rendezvous(self, best) {
			best, most = z, n
		}
	}
	return best
}

// rankZoneOwners returns, for each of a number of groups, the owners that the instance self asks, in order of preference. The
// sends of a group leave one after another, which takes four times as long on a fifth of a core as on most of one, so the
// strong instances of the zone gather alone where they can. They then also see enough of each target to know how it does,
// and keep connections to it.
func rankZoneOwners(self string, candidates []Owner, groups int) [][]Owner {
	strong, rest := splitByStrength(candidates)
	if len(strong) == 0 {
		return rankOwners(self, candidates, groups)
	}
	out := rankOwners(self, strong, groups)
	for g, next := range rankOwners(self, rest, groups) {
		out[g] = append(out[g], next[:min(len(next), rankedOwners-len(out[g]))]...)
	}
	return out
}

// splitByStrength separates the strong candidates from the rest. It returns no strong ones if they are too few or too small
// to gather alone, or if all are.
func splitByStrength(candidates []Owner) (strong, rest []Owner) {
	largest, total, strongTotal := 0.0, 0.0, 0.0
	for _, o := range candidates {
		largest = max(largest, o.Cores)
		total += o.Cores
	}
	for _, o := range candidates {
		if o.Cores >= strongCores*largest {
			strong, strongTotal = append(strong, o), strongTotal+o.Cores
		} else {
			rest = append(rest, o)
		}
	}
	if len(strong) < minStrongOwners || len(rest) == 0 || strongTotal < strongShare*total {
		return nil, candidates
	}
	return strong, rest
}

// StrongOwners returns the number of candidates that gather alone in their zones, and whether the instance self is one of
// them.
func StrongOwners(self string, candidates []Owner) (count int, own bool) {
	byZone := map[string][]Owner{}
	for _, o := range candidates {
		byZone[o.Zone] = append(byZone[o.Zone], o)
	}
	for _, zone := range byZone {
		strong, _ := splitByStrength(zone)
		count += len(strong)
		own = own || slices.ContainsFunc(strong, func(o Owner) bool { return o.ID == self })
	}
	return count, own
}

// rankOwners returns, for each of a number of groups, the owners that the instance self asks, in order of preference. An
// instance always prefers the same owner of a group, so that its connection to it stays open.
func rankOwners(self string, candidates []Owner, groups int) [][]Owner {
	out := make([][]Owner, groups)
	if len(candidates) == 0 || groups == 0 {
		return out
	}
	perOwner := min(max((ownersPerGroup*groups+len(candidates)-1)/len(candidates), minGroupsPerOwner), groups)
	type scored struct {
		owner Owner
		score float64
	}
	rank := func(g int, o Owner) scored {
		return scored{o, weightedScore(rendezvous(self+" "+strconv.Itoa(g), o.ID), o.Cores)}
	}
	ranked := make([][]scored, groups)
	order := make([]int, groups)
	scores := make([]uint64, groups)
	for _, o := range candidates {
		for g := range groups {
			order[g], scores[g] = g, rendezvous("group "+strconv.Itoa(g)+" of "+strconv.Itoa(groups), o.ID)
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
		for _, g := range order[:perOwner] {
			ranked[g] = append(ranked[g], rank(g, o))
		}
	}
	for g := range ranked {
		if len(ranked[g]) == 0 {
			for _, o := range candidates {
				ranked[g] = append(ranked[g], rank(g, o))
			}
		}
		slices.SortFunc(ranked[g], func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.owner.ID, b.owner.ID))
		})
		for _, s := range ranked[g][:min(len(ranked[g]), rankedOwners)] {
			out[g] = append(out[g], s.owner)
		}
	}
	return out
}

// weightedScore turns a hash into a score such that the highest of several scores belongs to each candidate with a
// probability in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(weight, minOwnerCores) / math.Log(u)
}

// minOwnerCores is the weight of an owner whose part of a core is unknown.
const minOwnerCores = 0.05

// GatherRequest asks an owner to gather the parts of some shards of a request.
type GatherRequest struct {
	RequestID, Method, RequestURI, Path, Host string
	Header                                    map[string][]string
	Body                                      []byte
	// Organisation is the one that the request runs for, empty if it runs for none. KeyDigest is the digest of the caller's
	// key, empty if there is none: the owner checks that the key is still valid.
	Organisation, KeyDigest string
	Shards                  []string
	// MaxAttempts bounds the targets of each shard that may run the request.
	MaxAttempts int
	// TopRecords is the number of records in the answer by the routing of the asking instance, 0 for all; the owner may have
	// another version of the routing. It is UnknownTopRecords in a message of an older process.
	TopRecords int
	// Timeout is the time until the request ends. After SoftTimeout, missing parts are not awaited if the coverage of the
	// shards suffices.
	Timeout, SoftTimeout time.Duration
	// Sender identifies the process that sent the request, and SentAt is its monotonic clock at that time; see Transit.
	Sender string
	SentAt time.Duration
	// StartWithin is the time from the sending within which the owner must confirm that it begins; it declines later. 0 means
	// that there is no limit. With a limit, the owner sends to one target of each shard only until GatherProgress.Proceed: if
	// its confirmation is lost, another owner is asked.
	StartWithin time.Duration
	// MaxMissing is the number of parts that the answer to the whole request may lack: with more missing parts of the group it
	// cannot be given. It is UnknownMaxMissing in a message of an older process.
	MaxMissing int
	// LateRisk is the fraction, from 0 to 1, of the answers of the asking instance that are late if they wait until the planned
	// time; see targets.DispatchConfig.
	LateRisk float64
	// Repeated is set if another owner was asked before and may have sent to targets: each send is paid from the retry budget.
	Repeated bool
}

// The asking instance did not say how many records it needs, or how many parts its answer may lack.
const (
	UnknownTopRecords = -1
	UnknownMaxMissing = -1
)

// GatherProgress connects an owner with the asking instance before its reply. Its fields may be nil.
type GatherProgress struct {
	// Proceed is closed when the asking instance has received the confirmation.
	Proceed <-chan struct{}
	// Confirm is called before the first send, unless the owner declines.
	Confirm func()
	// Partial is called with the parts that have arrived when no further one is likely to arrive in time, then with
	// those that have arrived since. The reply holds the rest.
	Partial func(GatherReply)
}

// GatherReply is the reply of an owner, or the part of it that it sends ahead.
type GatherReply struct {
	// Declined means that nothing ran: the owner does not know the route or the shards, or has too much to do.
	Declined bool
	// Signatures are those of the parts that the owner gathered, and Body their greatest records.
	Signatures []string
	Body       []byte
	// MayHaveRun is set if some target may have run the request.
	MayHaveRun bool
	// RestLeft is the time until enough targets have rested, if their rest is what the reply lacks.
	RestLeft time.Duration
	// ConfirmedAfter is the time from the sending until the owner's confirmation that it began arrived, 0 if it sent none. The
	// asking instance measures it.
	ConfirmedAfter time.Duration
}
