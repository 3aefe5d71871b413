package routing

import (
	"iter"
	"maps"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

const (
	// transferPatience is how long a transfer of values may bring nothing before another sibling is asked too, and how long siblings
	// may have newer values before those of other zones are asked that this instance only heard of.
	transferPatience = 400 * time.Millisecond
	// maxTransfers bounds the transfers that run at the same time.
	maxTransfers = 3
)

// transfers decides which siblings this instance asks for the values that it lacks. One that goes on is waited for, however long it
// takes: a second one would bring the same values and take the processor time that the first one needs.
type transfers struct {
	rng *rand.Rand
	// running holds the transfers that have not ended, by address.
	running map[string]*transfer
	// ended holds the siblings whose transfer ended within transferPatience, by address.
	ended map[string]transfer
	// retained holds the digests of the retained statements of siblings that were received.
	retained map[uint64]bool
	// informant is the address of the sibling that showed in an exchange that it has newer values.
	informant string
	// behindSince is since when a live sibling is known to have newer values, zero if none is.
	behindSince time.Time
}

// transfer is a transfer of values from a sibling.
type transfer struct {
	at       time.Time         // of its beginning, its last progress, or its end
	position document.Position // up to which the sibling had all values when it was asked
	retained uint64            // the digest of the statements that it retained then
}

func newTransfers(rng *rand.Rand) *transfers {
	return &transfers{rng: rng, running: map[string]*transfer{}, ended: map[string]transfer{}, retained: map[uint64]bool{}}
}

// next returns the address of the sibling to ask now, "" if none is. completeTo is the position up to which this instance has all
// values, retained the digest of the statements that it retains, zone is its zone, and live are the siblings that may be asked.
func (t *transfers) next(completeTo document.Position, retained uint64, zone string, live iter.Seq[*sibling.MemberState], now time.Time) string {
	maps.DeleteFunc(t.ended, func(_ string, e transfer) bool { return now.Sub(e.at) >= transferPatience })
	var near, far []*sibling.MemberState // with newer values, and not asked
	behind := false
	for m := range live {
		switch {
		case m.CompleteTo.Revision == 0, !m.CompleteTo.After(completeTo) && !t.offersRetained(m, completeTo, retained):
			continue
		case t.running[m.Address] != nil || t.justEnded(m):
		case m.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
		behind = true
	}
	t.updateBehind(behind, now)
	if !behind || len(t.running) >= maxTransfers || t.progressing(now) {
		return ""
	}
	candidates := near
	switch {
	case len(t.running) > 0:
		// The siblings of the own zone may be gone together.
		candidates = append(near, far...)
	case len(near) > 0:
	case now.Sub(t.behindSince) >= transferPatience:
		candidates = far
	default:
		for _, m := range far {
			if m.Address == t.informant {
				candidates = append(candidates, m)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	m := candidates[t.rng.IntN(len(candidates))]
	t.running[m.Address] = &transfer{at: now, position: m.CompleteTo, retained: m.Retained}
	return m.Address
}

// offersRetained reports whether a sibling retains other statements than this instance, which were not received yet.
func (t *transfers) offersRetained(m *sibling.MemberState, completeTo document.Position, retained uint64) bool {
	return m.Retained != 0 && m.Retained != retained && !t.retained[m.Retained] && m.CompleteTo.History == completeTo.History
}

// justEnded reports whether a transfer of what a sibling has ended within transferPatience.
func (t *transfers) justEnded(m *sibling.MemberState) bool {
	e, ended := t.ended[m.Address]
	return ended && !m.CompleteTo.After(e.position) && m.Retained == e.retained
}

func (t *transfers) updateBehind(behind bool, now time.Time) {
	switch {
	case !behind:
		t.behindSince, t.informant = time.Time{}, ""
	case t.behindSince.IsZero():
		t.behindSince = now
	}
}

// progressing reports whether a transfer began or went on within transferPatience.
func (t *transfers) progressing(now time.Time) bool {
	for _, r := range t.running {
		if now.Sub(r.at) < transferPatience {
			return true
		}
	}
	return false
}

// progress records that the transfer from a sibling goes on.
func (t *transfers) progress(address string, now time.Time) {
	if r := t.running[address]; r != nil {
		r.at = now
	}
}

// end records that the transfer from a sibling has ended, and whether it brought all that the sibling retains.
func (t *transfers) end(address string, received bool, now time.Time) {
	r := t.running[address]
	if r == nil {
		return
	}
	t.ended[address] = transfer{now, r.position, r.retained}
	delete(t.running, address)
	if received && r.retained != 0 {
		if len(t.retained) >= maxRetainedDigests {
			clear(t.retained)
		}
		t.retained[r.retained] = true
	}
}

// maxRetainedDigests bounds the digests that are remembered.
const maxRetainedDigests = 256

// fetchValues asks a sibling for the values that this instance lacks, if one has them and none is being asked.
func (s *State) fetchValues(now time.Time, result *StepResult) {
	offering := func(yield func(*sibling.MemberState) bool) {
		for m := range s.gossip.EachLive(now) {
			if s.offersValues(m, now) && !yield(m) {
				return
			}
		}
	}
	retained := s.values.retainedDigest()
	address := s.transfers.next(s.values.completeTo, retained, s.config.Zone, offering, now)
	if address == "" {
		return
	}
	result.Effects = append(result.Effects, FetchValues{
		Address: address, After: s.values.completeTo, Routing: s.values.routing.Routing, Retained: retained, Self: s.gossip.Self(now),
	})
}
