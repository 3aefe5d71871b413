package sibling

import "time"

// zoneFraction is the part of every rate and burst that this zone owns.
type zoneFraction struct {
	inForce float64
	next    float64
	due     time.Time // when next comes into force; zero if there is none
}

// update applies a decrease at once and an increase after documentHold, since another zone may still use the part of
// the old document that the increase takes over.
func (f *zoneFraction) update(value float64, now time.Time) {
	if value <= f.inForce {
		*f = zoneFraction{inForce: value}
		return
	}
	if f.due.IsZero() || value > f.next {
		f.due = now.Add(documentHold)
	}
	f.next = value
}

// settle applies a pending increase that is due.
func (f *zoneFraction) settle(now time.Time) {
	if !f.due.IsZero() && !now.Before(f.due) {
		*f = zoneFraction{inForce: f.next}
	}
}

// ownerCounts determines how many members of a set own an organisation's rate and burst: those that rank highest by
// rendezvous hashing. Equal shares of all members would fall below one whole token for a small burst.
//
// An accruing member counts every other one, so its rank among those that it counts is never better than its rank
// among the accruing ones: at most n members find themselves among the first n.
type ownerCounts struct {
	// counts holds the number of owners by the newest document, last, and those by the documents before it that
	// siblings may still use until due.
	counts []int
	due    time.Time
}

// minOwnerBurst is the burst, in tokens, per owner of an organisation in a zone.
const minOwnerBurst = 8

// update applies the burst that the newest document gives the zone.
func (o *ownerCounts) update(burst float64, now time.Time) {
	n := min(max(int(burst/minOwnerBurst), 1), maxHolders)
	if len(o.counts) == 0 {
		o.counts = []int{n}
		return
	}
	if n != o.newest() {
		o.counts, o.due = append(o.counts, n), now.Add(documentHold)
	}
}

// newest returns the number of owners by the newest document.
func (o *ownerCounts) newest() int { return o.counts[len(o.counts)-1] }

// settle drops the counts of documents that no sibling uses any more.
func (o *ownerCounts) settle(now time.Time) {
	if len(o.counts) > 1 && !now.Before(o.due) {
		o.counts = o.counts[len(o.counts)-1:]
	}
}

// part returns the part of a set's rate that belongs to the member of a rank, counted from 0, in a set of the given
// size. It is the smallest part by all documents that may be in use.
func (o *ownerCounts) part(rank, size int) float64 {
	part := 1.0
	for _, n := range o.counts {
		n = min(n, size)
		if rank >= n {
			return 0
		}
		part = min(part, 1/float64(n))
	}
	return part
}

// share returns this instance's part of a fleet-wide value.
func (s *Shares) share(a *Account, value float64) float64 {
	if s.static {
		return value / float64(max(len(s.members), 1))
	}
	rank, size := a.set.rank()
	return value * s.fraction.inForce * a.owners.part(rank, size)
}

// cap returns the maximum amount that this instance may hold of the account's burst.
func (s *Shares) cap(a *Account) Amount { return Tokens(s.share(a, a.burst)) }
