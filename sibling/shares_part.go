package sibling

import "time"

// fraction is the part of every rate and burst that this zone owns.
type fraction struct {
	inForce float64
	next    float64
	due     time.Time // when next comes into force; zero if there is none
}

// update lowers at once and raises after documentHold, since another zone may still use the part of the old
// document that pays for the increase.
func (f *fraction) update(value float64, now time.Time) {
	if value <= f.inForce {
		*f = fraction{inForce: value}
		return
	}
	if f.due.IsZero() || value > f.next {
		f.due = now.Add(documentHold)
	}
	f.next = value
}

func (f *fraction) settle(now time.Time) {
	if !f.due.IsZero() && !now.Before(f.due) {
		*f = fraction{inForce: f.next}
	}
}

// owners is how many members of a set own an organisation's rate and burst, those that rank highest by rendezvous
// hashing. Equal shares of all members would fall under one whole token for a small burst.
//
// An accruing member counts every other one, so its rank among those that it counts is never better than its rank
// among the accruing ones: at most n members find themselves among the first n.
type owners struct {
	// counts holds the number of owners by the newest document, last, and those by the documents before it that
	// siblings may still use until due.
	counts []int
	due    time.Time
}

// minOwnerBurst is the burst, in tokens, for which an organisation gets one more owner in a zone.
const minOwnerBurst = 8

// update takes the burst that the newest document gives the zone.
func (o *owners) update(burst float64, now time.Time) {
	n := min(max(int(burst/minOwnerBurst), 1), maxHolders)
	if len(o.counts) == 0 {
		o.counts = []int{n}
		return
	}
	if n != o.newest() {
		o.counts, o.due = append(o.counts, n), now.Add(documentHold)
	}
}

func (o *owners) newest() int { return o.counts[len(o.counts)-1] }

// settle drops the numbers of documents that no sibling uses any more.
func (o *owners) settle(now time.Time) {
	if len(o.counts) > 1 && !now.Before(o.due) {
		o.counts = o.counts[len(o.counts)-1:]
	}
}

// part returns the part of a set's rate that belongs to the member of that rank, counted from 0, in a set of that
// size: the smallest by all documents that may be in use.
func (o *owners) part(rank, size int) float64 {
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

func (s *Shares) cap(a *Account) Amount { return Tokens(s.share(a, a.burst)) }
