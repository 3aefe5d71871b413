package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// liveSiblings iterates over states as the live siblings of an instance.
func liveSiblings(states ...sibling.MemberState) func(func(*sibling.MemberState) bool) {
	return func(yield func(*sibling.MemberState) bool) {
		for i := range states {
			if !yield(&states[i]) {
				return
			}
		}
	}
}

// Guards against transfers between zones that the own zone makes needless, since bytes between zones are dear, and against waiting for the
// own zone when it has nothing newer.
func TestWhoIsAskedForValues(t *testing.T) {
	const own, newer = document.Revision(5), document.Revision(6)
	near, far, informant := memberState("near", "z", 1, newer), memberState("far", "y", 1, newer), memberState("informant", "x", 1, newer)
	behind := memberState("behind", "z", 1, own)
	for name, c := range map[string]struct {
		states      []sibling.MemberState
		atOnce      []string
		afterAWhile []string
	}{
		"nobody has newer values":               {[]sibling.MemberState{behind}, nil, nil},
		"one of the own zone":                   {[]sibling.MemberState{behind, near, far, informant}, []string{"near:1"}, nil},
		"one of another zone, by hearsay":       {[]sibling.MemberState{behind, far}, nil, []string{"far:1"}},
		"one of another zone that said so":      {[]sibling.MemberState{behind, informant}, []string{"informant:1"}, nil},
		"one that said so, another by hearsay ": {[]sibling.MemberState{far, informant}, []string{"informant:1"}, nil},
	} {
		x, now := newTransfers(rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
		x.informant = informant.Address
		ask := func() []string {
			if address := x.next(own, "z", liveSiblings(c.states...), now); address != "" {
				return []string{address}
			}
			return nil
		}
		if asked := ask(); !slices.Equal(asked, c.atOnce) {
			t.Errorf("%s: %v asked at once, want %v", name, asked, c.atOnce)
		}
		now = now.Add(transferPatience)
		if len(x.running) > 0 {
			x.progress(c.atOnce[0], now)
		}
		if asked := ask(); !slices.Equal(asked, c.afterAWhile) {
			t.Errorf("%s: %v asked after a while, want %v", name, asked, c.afterAWhile)
		}
	}
}

// Guards against more transfers than an instance on a small part of a core can take part in, and against a sibling that is asked again at once
// although its transfer brought nothing newer.
func TestTransfersAreBounded(t *testing.T) {
	var states []sibling.MemberState
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		states = append(states, memberState(id, "z", 1, 9))
	}
	x, now := newTransfers(rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	asked := 0
	for range 20 {
		if x.next(5, "z", liveSiblings(states...), now) != "" {
			asked++
		}
		now = now.Add(transferPatience)
	}
	if asked != maxTransfers {
		t.Errorf("%d siblings asked while nobody answers, want %d", asked, maxTransfers)
	}
	alone := newTransfers(rand.New(rand.NewPCG(1, 1)))
	asked = 0
	for range 100 {
		if address := alone.next(5, "z", liveSiblings(states[0]), now); address != "" {
			asked++
			alone.end(address, now)
		}
		now = now.Add(transferPatience / 20)
	}
	if asked != 5 {
		t.Errorf("a sibling whose transfers bring nothing newer was asked %d times in %v, want 5", asked, 5*transferPatience)
	}
}
