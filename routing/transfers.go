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
	// informant is the address of the sibling that showed in an exchange that it has newer values.
	informant string
	// behindSince is since when a live sibling is known to have newer values, zero if none is.
	behindSince time.Time
}

// transfer is a transfer of values from a sibling.
type transfer struct {
	at       time.Time         // of its beginning, its last progress, or its end
	revision document.Revision // up to which the sibling had all values when it was asked
}

func newTransfers(rng *rand.Rand) *transfers {
	return &transfers{rng: rng, running: map[string]*transfer{}, ended: map[string]transfer{}}
}

// next returns the address of the sibling to ask now, "" if none is. completeTo is the revision up to which this instance has all
// values, zone is its zone, and live are the siblings that are live.
func (t *transfers) next(completeTo document.Revision, zone string, live iter.Seq[*sibling.MemberState], now time.Time) string {
	maps.DeleteFunc(t.ended, func(_ string, e transfer) bool { return now.Sub(e.at) >= transferPatience })
	var near, far []*sibling.MemberState // with newer values, and not asked
	behind := false
	for m := range live {
		switch {
		case m.CompleteTo <= completeTo:
			continue
		case t.running[m.Address] != nil || t.ended[m.Address].revision >= m.CompleteTo:
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
	t.running[m.Address] = &transfer{at: now, revision: m.CompleteTo}
	return m.Address
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

// end records that the transfer from a sibling has ended.
func (t *transfers) end(address string, now time.Time) {
	if r := t.running[address]; r != nil {
		t.ended[address] = transfer{now, r.revision}
		delete(t.running, address)
	}
}

// fetchValues asks a sibling for the values that this instance lacks, if one has them and none is being asked.
func (s *State) fetchValues(now time.Time, result *StepResult) {
	address := s.transfers.next(s.values.completeTo, s.config.Zone, s.gossip.EachLive(now), now)
	if address == "" {
		return
	}
	result.Effects = append(result.Effects, FetchValues{
		Address: address, After: s.values.completeTo, Routing: s.values.routing.Routing, Self: s.gossip.Self(now),
	})
}
