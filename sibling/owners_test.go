package sibling

import (
	"fmt"
	"testing"
)

func ownerCandidates(n, zones int) []Owner {
	var out []Owner
	for i := range n {
		o := Owner{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprint("n", i, ":1"), Cores: 0.192}
		if i < n/15 {
			o.Cores = 0.8
		}
		out = append(out, o)
	}
	return out
}

// Guards against small instances that send to hundreds of shards themselves, and against a hop where it costs more than it
// saves.
func TestGroupsFollowShardsAndCores(t *testing.T) {
	for _, c := range []struct {
		shards int
		cores  float64
		want   int
	}{{20, 0.4, 0}, {30, 0.4, 0}, {90, 0.8, 0}, {135, 0, 0}, {90, 0.192, 4}, {180, 0.192, 8}, {180, 0.8, 8}, {270, 0.192, 11}} {
		if got := GroupCount(c.shards, c.cores); got != c.want {
			t.Errorf("%d shards on %v of a core: %d groups, want %d", c.shards, c.cores, got, c.want)
		}
	}
	shards := make([]string, 181)
	for i := range shards {
		shards[i] = fmt.Sprint(i)
	}
	seen := 0
	for i := range 8 {
		for _, s := range Group(shards, i, 8) {
			if s != shards[seen] {
				t.Fatalf("shard %s at position %d", s, seen)
			}
			seen++
		}
	}
	if seen != len(shards) {
		t.Errorf("%d shards in the groups, want all %d", seen, len(shards))
	}
}

// Guards against owners that are drowned while others idle, against groups without owners, and against work that does not
// follow the parts of a core.
func TestOwnersShareTheWork(t *testing.T) {
	const groups = 8
	for _, n := range []int{23, 90, 295, 1200} {
		candidates := ownerCandidates(n, 3)
		load := map[string]int{}
		for _, self := range candidates {
			for g, owners := range RankOwners(self.ID, self.Zone, candidates, groups) {
				if len(owners) == 0 {
					t.Fatalf("%d instances: group %d has no owner", n, g)
				}
				if owners[0].Zone != self.Zone {
					t.Errorf("%d instances: an owner in another zone", n)
				}
				load[owners[0].ID]++
			}
		}
		small, strong, most := 0, 0, 0
		strongCount := n / 15
		for _, o := range candidates {
			if o.Cores > 0.5 {
				strong += load[o.ID]
			} else {
				small += load[o.ID]
				most = max(most, load[o.ID])
			}
		}
		perSmall := float64(small) / float64(n-strongCount)
		if perStrong := float64(strong) / float64(max(strongCount, 1)); perStrong < 1.5*perSmall {
			t.Errorf("%d instances: a strong one has %.1f groups, a small one %.1f", n, perStrong, perSmall)
		}
		if float64(most) > 5*perSmall {
			t.Errorf("%d instances: the busiest small one has %d groups, the mean is %.1f", n, most, perSmall)
		}
	}
}

// Guards against a departure that moves owners which have nothing to do with it, and so closes warm connections.
func TestDepartureMovesFewOwners(t *testing.T) {
	const groups = 8
	candidates := ownerCandidates(295, 6)
	before := RankOwners("n7", "z1", candidates, groups)
	var lost string
	for _, o := range candidates {
		if o.Zone == "z1" && o.ID != "n7" {
			lost = o.ID
			break
		}
	}
	var rest []Owner
	for _, o := range candidates {
		if o.ID != lost {
			rest = append(rest, o)
		}
	}
	after := RankOwners("n7", "z1", rest, groups)
	for g := range before {
		if len(before[g]) > 0 && before[g][0].ID != lost && before[g][0] != after[g][0] {
			t.Errorf("group %d moved from %s to %s", g, before[g][0].ID, after[g][0].ID)
		}
	}
	if far := RankOwners("x", "elsewhere", candidates, groups); len(far[0]) != rankedOwners {
		t.Errorf("an instance of a zone without candidates knows %d owners", len(far[0]))
	}
}
