package sibling

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// shareFleet is a number of instances of one zone that exchange claims without delay.
type shareFleet struct {
	t            *testing.T
	now          time.Time
	shares       []*Shares
	down         map[string]bool
	disconnected [2]string
	// offline means that the platform cannot be read.
	offline bool
}

func newShareFleet(t *testing.T, n int) *shareFleet {
	f := &shareFleet{t: t, now: time.Unix(1_000_000, 0), down: map[string]bool{}}
	for range n {
		f.add()
	}
	f.list(n)
	f.run(7 * time.Second)
	return f
}

func (f *shareFleet) add() *Shares {
	s := NewShares(string(rune('a'+len(f.shares))), "z", rand.New(rand.NewPCG(1, 1)), f.now)
	s.Configure(testRates(1, 1), f.now)
	f.shares = append(f.shares, s)
	return s
}

// list gives every running instance the list of the first n instances.
func (f *shareFleet) list(n int) {
	var members Members
	for _, s := range f.shares[:n] {
		members = append(members, Member{ID: s.self, Zone: "z"})
	}
	for _, s := range f.shares {
		if !f.down[s.self] {
			s.SetMembers(members, f.now)
		}
	}
}

func testRates(revision document.Revision, fraction float64) *document.Document {
	return &document.Document{
		Revision:      revision,
		Organisations: []document.Organisation{{Name: "o", Rate: 60, Burst: 60}},
		Zones:         []document.Zone{{Name: "z", RateFraction: fraction}},
	}
}

func (f *shareFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(roundInterval) {
		for _, s := range f.shares {
			if f.down[s.self] {
				continue
			}
			for _, e := range s.Tick(f.now) {
				switch e := e.(type) {
				case SendCount:
					to := f.find(e.To.ID)
					if !f.down[to.self] && f.disconnected != [2]string{s.self, to.self} && f.disconnected != [2]string{to.self, s.self} {
						s.HandleCountReply(to.HandleCountRequest(e.Request, f.now), f.now, f.now)
					}
				case ConfirmInstances:
					if !f.offline {
						s.InstancesConfirmed(f.now)
					}
				}
			}
			if s.Accrue(s.account(), PoolState{OwnTokens: int64(s.account().deposited / oneToken)}, f.now) < 0 {
				s.withdrawOwn()
			}
		}
	}
}

func (f *shareFleet) find(id string) *Shares { return f.shares[id[0]-'a'] }

func (s *Shares) account() *Account { return s.accounts["o"] }

func (s *Shares) testSet() *accountingSet { return s.account().set }

// withdrawOwn withdraws the own tokens from the pool, as granting a pull does.
func (s *Shares) withdrawOwn() {
	s.ReclaimTokens(s.account(), int64(s.account().deposited/oneToken), 0)
}

// Guards against granted tokens that are counted nowhere while they may be spent: the giver would accrue others in
// their place.
func TestGiverKeepsItsCapDownUntilTokensExpired(t *testing.T) {
	s := newShareFleet(t, 1).shares[0]
	now := s.testSet().leaseUntil.Add(-ShareLease)
	s.Accrue(s.account(), PoolState{OwnTokens: 60}, now)
	s.withdrawOwn()
	if amount, _ := s.Grant(TokenTransfer{Organisation: "o", Amount: 60 * oneToken, Lifetime: time.Second}, now); amount != 60*oneToken {
		t.Fatalf("granted %d, want all", amount)
	}
	late := now.Add(time.Duration(float64(time.Second) * clockSlack * clockSlack))
	if n := s.Accrue(s.account(), PoolState{}, late); n != 0 {
		t.Fatalf("%d tokens accrued while the granted ones may still be spent", n)
	}
	late = late.Add(500 * time.Millisecond)
	if n := s.Accrue(s.account(), PoolState{}, late); n == 0 {
		t.Fatal("nothing accrued after the granted tokens had expired")
	}
}

// Guards against pulled tokens whose lifetime starts at the reply, which may have been in transit for a long time.
func TestPulledTokensExpireFromBeforeTheRequest(t *testing.T) {
	f := newShareFleet(t, 1)
	s := f.shares[0]
	grant := TokenTransfer{Organisation: "o", Amount: 2 * oneToken, Lifetime: 300 * time.Millisecond}
	if n, expires := s.ReceiveGrant(grant, f.now, f.now.Add(100*time.Millisecond)); n != 2 || !expires.Equal(f.now.Add(grant.Lifetime)) {
		t.Fatalf("%d tokens until %v, want 2 until %v", n, expires, f.now.Add(grant.Lifetime))
	}
	if n, _ := s.ReceiveGrant(grant, f.now, f.now.Add(grant.Lifetime)); n != 0 {
		t.Fatalf("%d tokens from a reply received after they had expired", n)
	}
}

// Guards against a loan that is settled twice, or after it expired, and thus creates tokens.
func TestLoanSettlesOnce(t *testing.T) {
	f := newShareFleet(t, 1)
	s := f.shares[0]
	s.withdrawOwn()
	_, loan := s.Grant(TokenTransfer{Organisation: "o", Amount: 10 * oneToken, Lifetime: time.Second}, f.now)
	before := s.account().held()
	settled := TokenTransfer{Organisation: "o", Amount: 0, Lifetime: time.Second, Settlements: []Settlement{{LoanID: loan, ReturnedTokens: 4}, {LoanID: loan, ReturnedTokens: 4}}}
	s.Grant(settled, f.now)
	if got := before - s.account().held(); got != 6*oneToken {
		t.Fatalf("the account holds %d less after 6 of 10 tokens were spent, want %d", got, 6*oneToken)
	}
}

// Guards against an instance that accrues before all others count it, or starts with tokens.
func TestJoinStartsEmptyAndNeedsEveryMember(t *testing.T) {
	f := newShareFleet(t, 2)
	f.add()
	f.down["b"] = true
	f.list(3)
	f.run(5 * time.Second)
	c := f.shares[2]
	if c.testSet().phase == PhaseActive {
		t.Fatal("an instance accrues although a member does not count it")
	}
	f.down["b"] = false
	f.list(3)
	f.run(time.Second)
	if c.testSet().phase != PhaseActive || c.account().held() > 15*oneToken {
		t.Fatalf("phase %d with %d held a second after all counted it", c.testSet().phase, c.account().held())
	}
}

// Guards against an acknowledgement while tokens that were granted under a larger share may still be spent.
func TestMemberIsCountedOnlyOnceLoansFit(t *testing.T) {
	f := newShareFleet(t, 1)
	a := f.shares[0]
	f.add()
	f.down["b"] = true
	a.withdrawOwn()
	a.Grant(TokenTransfer{Organisation: "o", Amount: 50 * oneToken, Lifetime: time.Second}, f.now)
	r := CountRequest{From: Member{ID: "b", Zone: "z"}, Sequence: 1, Claims: []Claim{{Group: GroupOf("o"), Epoch: 1, Phase: PhaseJoining}}}
	if ack := a.HandleCountRequest(r, f.now).Acknowledgements[0]; ack.Counted {
		t.Fatal("counted while 50 of 60 tokens are lent and the share is 30")
	}
	f.run(1200 * time.Millisecond)
	r.Sequence++
	if ack := a.HandleCountRequest(r, f.now).Acknowledgements[0]; !ack.Counted {
		t.Fatal("not counted after the loans had expired")
	}
}

// Guards against an instance that accrues after others may have removed it.
func TestAccrualEndsWithTheLease(t *testing.T) {
	f := newShareFleet(t, 3)
	a := f.shares[0]
	until := a.testSet().leaseUntil
	a.Accrue(a.account(), PoolState{}, until)
	held := a.account().held()
	a.Accrue(a.account(), PoolState{OwnTokens: int64(a.account().deposited / oneToken)}, until.Add(time.Minute))
	if got := a.account().held(); got != held {
		t.Fatalf("%d accrued after the lease had ended", got-held)
	}
	if amount, _ := a.Grant(TokenTransfer{Organisation: "o", Amount: oneToken, Lifetime: time.Second}, until); amount != 0 {
		t.Fatal("granted after the lease had ended")
	}
}

// Guards against the removal of a member that is only silent, only unlisted, or both for too short a time, and
// against a member that goes on after its removal.
func TestRemovalNeedsSilenceAndTheList(t *testing.T) {
	f := newShareFleet(t, 3)
	a, c := f.shares[0], f.shares[2]
	f.down["c"] = true
	f.run(15 * time.Second)
	if n := a.testSet().size(); n != 3 {
		t.Fatalf("%d members after a listed one became silent, want 3", n)
	}
	f.list(2)
	f.run(9 * time.Second)
	if n := a.testSet().size(); n != 3 {
		t.Fatalf("%d members before the hold time, want 3", n)
	}
	f.run(4 * time.Second)
	if n := a.testSet().size(); n != 2 {
		t.Fatalf("%d members after the hold time, want 2", n)
	}
	epoch := c.testSet().epoch
	f.down["c"] = false
	f.run(time.Second)
	if c.testSet().epoch == epoch || c.testSet().phase == PhaseActive {
		t.Fatal("the removed instance continues its old membership")
	}
}

// Guards against a late message that undoes a newer one.
func TestLateClaimChangesNothing(t *testing.T) {
	f := newShareFleet(t, 1)
	a := f.shares[0]
	claim := func(order uint64, phase Phase) {
		a.HandleCountRequest(CountRequest{From: Member{ID: "b", Zone: "z"}, Sequence: order, Claims: []Claim{{Group: GroupOf("o"), Epoch: 1, Phase: phase}}}, f.now)
	}
	claim(2, PhaseActive)
	claim(1, PhaseOut)
	if n := a.testSet().size(); n != 2 {
		t.Fatalf("%d members after a late claim, want 2", n)
	}
}

// Guards against zones that together own more than the whole rate while a new document spreads.
func TestFractionRisesLateAndFallsAtOnce(t *testing.T) {
	f := newShareFleet(t, 1)
	a := f.shares[0]
	a.Configure(testRates(2, 0.2), f.now)
	if a.fraction.inForce != 0.2 {
		t.Fatalf("fraction %v right after it was lowered, want 0.2", a.fraction.inForce)
	}
	a.Configure(testRates(3, 0.9), f.now)
	f.run(documentHold - time.Second)
	if a.fraction.inForce != 0.2 {
		t.Fatalf("fraction %v before others have lowered theirs, want 0.2", a.fraction.inForce)
	}
	f.run(1200 * time.Millisecond)
	if a.fraction.inForce != 0.9 {
		t.Fatalf("fraction %v after the hold time, want 0.9", a.fraction.inForce)
	}
}

// Guards against a sole member that is paused, replaced, and then goes on.
func TestSoleMemberJoinsAgainAfterAPause(t *testing.T) {
	f := newShareFleet(t, 1)
	f.now = f.now.Add(time.Minute)
	f.run(200 * time.Millisecond)
	if got := f.shares[0].testSet().phase; got != PhaseJoining {
		t.Fatalf("phase %d after a pause of a minute, want joining", got)
	}
}

// Guards against a process that resumes after a pause and goes on with the rates of an old document.
func TestOldDocumentDoesNotRenewTheLease(t *testing.T) {
	f := newShareFleet(t, 3)
	a := f.shares[0]
	for _, s := range f.shares[1:] {
		s.Configure(testRates(2, 1), f.now)
	}
	f.offline, a.listConfirmedAt = true, time.Time{}
	until := a.testSet().leaseUntil
	f.run(1200 * time.Millisecond)
	if got := a.testSet().leaseUntil; got.After(until) {
		t.Fatalf("the lease of an instance with an old document was renewed until %v, it ended at %v", got, until)
	}
}

// Guards against the removal of a member with which others are still in contact: it has a majority and goes on.
func TestRemovalNeedsAMajority(t *testing.T) {
	f := newShareFleet(t, 3)
	f.disconnected = [2]string{"a", "c"}
	f.shares[0].SetMembers(f.shares[0].members[:2], f.now)
	f.run(20 * time.Second)
	if n := f.shares[0].testSet().size(); n != 3 {
		t.Fatalf("%d members after one of three lost contact with another, want 3", n)
	}
}

// Guards against messages about organisations without traffic.
func TestIdleOrganisationCausesNoPull(t *testing.T) {
	f := newShareFleet(t, 3)
	a := f.shares[0]
	pulls := func() (n int) {
		for _, e := range a.Tick(f.now.Add(roundInterval)) {
			if _, ok := e.(SendPull); ok {
				n++
			}
		}
		return n
	}
	if n := pulls(); n != 0 {
		t.Fatalf("%d pulls without demand", n)
	}
	f.now = f.now.Add(2 * roundInterval)
	a.Accrue(a.account(), PoolState{Requests: 50, Elapsed: time.Second}, f.now)
	if n := pulls(); n == 0 {
		t.Fatal("no pull with demand beyond the stock")
	}
}

// Guards against a clock that runs 1% fast and accrues 1% too much.
func TestAccrualAllowsForAFastClock(t *testing.T) {
	s := newShareFleet(t, 1).shares[0]
	a := s.account()
	now := a.accrued
	s.Accrue(a, PoolState{}, now) // all tokens were spent
	before := a.held()
	s.Accrue(a, PoolState{}, now.Add(500*time.Millisecond))
	if got := a.held() - before; got > 30*oneToken*100/101 || got < 29*oneToken {
		t.Fatalf("%d accrued in half a second of a clock that may be 1%% fast, want %d", got, 30*oneToken*100/101)
	}
}

// Guards against an instance that goes on while it is cut off from the majority and from the platform.
func TestLeaseEndsWithoutMajority(t *testing.T) {
	f := newShareFleet(t, 3)
	a := f.shares[0]
	f.down["b"], f.down["c"] = true, true
	a.listConfirmedAt = time.Time{} // the platform cannot be read
	until := a.testSet().leaseUntil
	for end := f.now.Add(6 * time.Second); f.now.Before(end); f.now = f.now.Add(roundInterval) {
		a.Tick(f.now)
	}
	if got := a.testSet().leaseUntil; got.After(until) {
		t.Fatalf("the lease was renewed until %v without an acknowledgement, it ended at %v", got, until)
	}
}

// Guards against an instance that starts with a list that lacks an instance whose tokens may still be spent.
func TestFirstMemberWaits(t *testing.T) {
	f := &shareFleet{t: t, now: time.Unix(1_000_000, 0), down: map[string]bool{}}
	f.add()
	f.list(1)
	f.run(ShareLease + 2*time.Second)
	if f.shares[0].testSet().phase == PhaseActive {
		t.Fatal("active before the tokens of an unknown holder have expired")
	}
}

// Guards against a membership that continues after a sibling dropped it.
func TestDroppedMembershipEnds(t *testing.T) {
	f := newShareFleet(t, 3)
	c := f.shares[2]
	epoch := c.testSet().epoch
	c.HandleCountReply(CountReply{From: Member{ID: "a", Zone: "z"}, Sequence: 1 << 62, Acknowledgements: []Acknowledgement{
		{Group: GroupOf("o"), Epoch: epoch, Void: true, ReplierPhase: PhaseActive},
	}}, f.now, f.now)
	if c.testSet().phase != PhaseJoining || c.testSet().epoch == epoch {
		t.Fatal("the dropped membership continues")
	}
}

// Guards against two members that both take an organisation's whole rate: with one owner, only the first in rank
// among members that count each other has a share, also while the number of owners changes.
func TestOwnersShareByRank(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name   string
		bursts []float64 // by document
		size   int
		want   []float64 // by rank
	}{
		{"one owner", []float64{5}, 3, []float64{1, 0, 0}},
		{"two owners", []float64{16}, 3, []float64{0.5, 0.5, 0}},
		{"more owners than members", []float64{1000}, 3, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"change from one to two", []float64{5, 16}, 3, []float64{0.5, 0, 0}},
		{"change from two to one", []float64{16, 5}, 3, []float64{0.5, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := ownerCounts{}
			for _, burst := range c.bursts {
				o.update(burst, now)
			}
			for rank, want := range c.want {
				if got := o.part(rank, c.size); got != want {
					t.Errorf("rank %d of %d has %v of the rate, want %v", rank, c.size, got, want)
				}
			}
			o.settle(now.Add(documentHold))
			if len(o.counts) != 1 {
				t.Errorf("%d owner counts in use after the hold time, want 1", len(o.counts))
			}
		})
	}
}
