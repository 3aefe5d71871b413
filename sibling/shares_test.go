package sibling

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwooddrift.org/drift/document"
)

// trio is three instances of one zone that exchange claims without delay.
type trio struct {
	t      *testing.T
	now    time.Time
	shares []*Shares
	down   map[string]bool
	cut    [2]string
	// offline says that the platform cannot be read.
	offline bool
}

func newTrio(t *testing.T, n int) *trio {
	f := &trio{t: t, now: time.Unix(1_000_000, 0), down: map[string]bool{}}
	for range n {
		f.add()
	}
	f.list(n)
	f.run(7 * time.Second)
	return f
}

func (f *trio) add() *Shares {
	s := NewShares(string(rune('a'+len(f.shares))), "z", rand.New(rand.NewPCG(1, 1)), f.now)
	s.Configure(testRates(1, 1), f.now)
	f.shares = append(f.shares, s)
	return s
}

// list gives every instance the list of the first n.
func (f *trio) list(n int) {
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

func (f *trio) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(roundInterval) {
		for _, s := range f.shares {
			if f.down[s.self] {
				continue
			}
			for _, e := range s.Tick(f.now) {
				switch e := e.(type) {
				case SendCount:
					to := f.find(e.To.ID)
					if !f.down[to.self] && f.cut != [2]string{s.self, to.self} && f.cut != [2]string{to.self, s.self} {
						s.HandleCountReply(to.HandleCountRequest(e.Request, f.now), f.now, f.now)
					}
				case ConfirmInstances:
					if !f.offline {
						s.InstancesConfirmed(f.now)
					}
				}
			}
			if s.Accrue(s.account(), PoolState{OwnTokens: int64(s.account().deposited / nano)}, f.now) < 0 {
				s.take()
			}
		}
	}
}

func (f *trio) find(id string) *Shares { return f.shares[id[0]-'a'] }

func (s *Shares) account() *Account { return s.accounts["o"] }

func (s *Shares) testSet() *set { return s.account().set }

// take withdraws the own tokens, as a pull does.
func (s *Shares) take() { s.ReclaimTokens(s.account(), int64(s.account().deposited/nano), 0) }

// Guards against tokens in flight that are counted nowhere: the giver would accrue others in their place.
func TestGiverKeepsItsCapDownUntilTokensExpired(t *testing.T) {
	s := newTrio(t, 1).shares[0]
	now := s.testSet().leaseUntil.Add(-ShareLease)
	s.Accrue(s.account(), PoolState{OwnTokens: 60}, now)
	s.take()
	if amount, _ := s.Grant(TokenTransfer{Organisation: "o", Amount: 60 * nano, Lifetime: time.Second}, now); amount != 60*nano {
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

// Guards against pulled tokens whose time starts at the reply, which may have been under way for long.
func TestPulledTokensExpireFromBeforeTheRequest(t *testing.T) {
	f := newTrio(t, 1)
	s := f.shares[0]
	grant := TokenTransfer{Organisation: "o", Amount: 2 * nano, Lifetime: 300 * time.Millisecond}
	if n, expires := s.ReceiveGrant(grant, f.now, f.now.Add(100*time.Millisecond)); n != 2 || !expires.Equal(f.now.Add(grant.Lifetime)) {
		t.Fatalf("%d tokens until %v, want 2 until %v", n, expires, f.now.Add(grant.Lifetime))
	}
	if n, _ := s.ReceiveGrant(grant, f.now, f.now.Add(grant.Lifetime)); n != 0 {
		t.Fatalf("%d tokens of a reply that came after they had expired", n)
	}
}

// Guards against a loan that is settled twice, or after it expired, and so creates tokens.
func TestLoanSettlesOnce(t *testing.T) {
	f := newTrio(t, 1)
	s := f.shares[0]
	s.take()
	_, loan := s.Grant(TokenTransfer{Organisation: "o", Amount: 10 * nano, Lifetime: time.Second}, f.now)
	before := s.account().held()
	settled := TokenTransfer{Organisation: "o", Amount: 0, Lifetime: time.Second, Settlements: []Settlement{{LoanID: loan, ReturnedTokens: 4}, {LoanID: loan, ReturnedTokens: 4}}}
	s.Grant(settled, f.now)
	if got := before - s.account().held(); got != 6*nano {
		t.Fatalf("the account holds %d less after 6 of 10 tokens were spent, want %d", got, 6*nano)
	}
}

// Guards against an instance that accrues before all others count it, or starts with tokens.
func TestJoinStartsEmptyAndNeedsEveryMember(t *testing.T) {
	f := newTrio(t, 2)
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
	if c.testSet().phase != PhaseActive || c.account().held() > 15*nano {
		t.Fatalf("phase %d with %d held a second after all counted it", c.testSet().phase, c.account().held())
	}
}

// Guards against an acknowledgement while tokens that were granted under a larger share may be spent.
func TestMemberIsCountedOnlyOnceLoansFit(t *testing.T) {
	f := newTrio(t, 1)
	a := f.shares[0]
	f.add()
	f.down["b"] = true
	a.take()
	a.Grant(TokenTransfer{Organisation: "o", Amount: 50 * nano, Lifetime: time.Second}, f.now)
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

// Guards against an instance that accrues although others may have removed it.
func TestAccrualEndsWithTheLease(t *testing.T) {
	f := newTrio(t, 3)
	a := f.shares[0]
	until := a.testSet().leaseUntil
	a.Accrue(a.account(), PoolState{}, until)
	held := a.account().held()
	a.Accrue(a.account(), PoolState{OwnTokens: int64(a.account().deposited / nano)}, until.Add(time.Minute))
	if got := a.account().held(); got != held {
		t.Fatalf("%d accrued after the lease had ended", got-held)
	}
	if amount, _ := a.Grant(TokenTransfer{Organisation: "o", Amount: nano, Lifetime: time.Second}, until); amount != 0 {
		t.Fatal("granted after the lease had ended")
	}
}

// Guards against the removal of a member that is only silent, or only unlisted, or for too short a time, and
// against one that goes on after its removal.
func TestRemovalNeedsSilenceAndTheList(t *testing.T) {
	f := newTrio(t, 3)
	a, c := f.shares[0], f.shares[2]
	f.down["c"] = true
	f.run(15 * time.Second)
	if n := a.testSet().size(); n != 3 {
		t.Fatalf("%d members after one fell silent but is listed, want 3", n)
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
		t.Fatal("the removed instance goes on with its old membership")
	}
}

// Guards against a late message that undoes a newer one.
func TestLateClaimChangesNothing(t *testing.T) {
	f := newTrio(t, 1)
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

// Guards against zones that together own more than the whole rate while a document spreads.
func TestFractionRisesLateAndFallsAtOnce(t *testing.T) {
	f := newTrio(t, 1)
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

// Guards against a sole member that pauses, is replaced, and goes on.
func TestSoleMemberJoinsAgainAfterAPause(t *testing.T) {
	f := newTrio(t, 1)
	f.now = f.now.Add(time.Minute)
	f.run(200 * time.Millisecond)
	if got := f.shares[0].testSet().phase; got != PhaseJoining {
		t.Fatalf("phase %d after a pause of a minute, want joining", got)
	}
}

// Guards against a process that pauses and goes on with the rates of an old document.
func TestOldDocumentDoesNotRenewTheLease(t *testing.T) {
	f := newTrio(t, 3)
	a := f.shares[0]
	for _, s := range f.shares[1:] {
		s.Configure(testRates(2, 1), f.now)
	}
	f.offline, a.confirmed = true, time.Time{}
	until := a.testSet().leaseUntil
	f.run(1200 * time.Millisecond)
	if got := a.testSet().leaseUntil; got.After(until) {
		t.Fatalf("the lease of an instance with an old document was renewed until %v, it ended at %v", got, until)
	}
}

// Guards against the removal of a member that others hear: it has a majority and goes on.
func TestRemovalNeedsAMajority(t *testing.T) {
	f := newTrio(t, 3)
	f.cut = [2]string{"a", "c"}
	f.shares[0].SetMembers(f.shares[0].members[:2], f.now)
	f.run(20 * time.Second)
	if n := f.shares[0].testSet().size(); n != 3 {
		t.Fatalf("%d members after one of three lost sight of another, want 3", n)
	}
}

// Guards against messages about organisations without traffic.
func TestIdleOrganisationCausesNoPull(t *testing.T) {
	f := newTrio(t, 3)
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
	s := newTrio(t, 1).shares[0]
	a := s.account()
	now := a.accrued
	s.Accrue(a, PoolState{}, now) // all tokens were spent
	before := a.held()
	s.Accrue(a, PoolState{}, now.Add(500*time.Millisecond))
	if got := a.held() - before; got > 30*nano*100/101 || got < 29*nano {
		t.Fatalf("%d accrued in half a second of a clock that may be 1%% fast, want %d", got, 30*nano*100/101)
	}
}

// Guards against an instance that is cut off from the majority and the platform and goes on.
func TestLeaseEndsWithoutMajority(t *testing.T) {
	f := newTrio(t, 3)
	a := f.shares[0]
	f.down["b"], f.down["c"] = true, true
	a.confirmed = time.Time{} // the platform cannot be read
	until := a.testSet().leaseUntil
	for end := f.now.Add(6 * time.Second); f.now.Before(end); f.now = f.now.Add(roundInterval) {
		a.Tick(f.now)
	}
	if got := a.testSet().leaseUntil; got.After(until) {
		t.Fatalf("the lease was renewed until %v without an acknowledgement, it ended at %v", got, until)
	}
}

// Guards against an instance that starts on a list that leaves out one whose tokens may still be spent.
func TestFirstMemberWaits(t *testing.T) {
	f := &trio{t: t, now: time.Unix(1_000_000, 0), down: map[string]bool{}}
	f.add()
	f.list(1)
	f.run(ShareLease + 2*time.Second)
	if f.shares[0].testSet().phase == PhaseActive {
		t.Fatal("active before the tokens of an unknown holder have expired")
	}
}

// Guards against a membership that goes on after a sibling dropped it.
func TestDroppedMembershipEnds(t *testing.T) {
	f := newTrio(t, 3)
	c := f.shares[2]
	epoch := c.testSet().epoch
	c.HandleCountReply(CountReply{From: Member{ID: "a", Zone: "z"}, Sequence: 1 << 62, Acknowledgements: []Acknowledgement{
		{Group: GroupOf("o"), Epoch: epoch, Void: true, ReplierPhase: PhaseActive},
	}}, f.now, f.now)
	if c.testSet().phase != PhaseJoining || c.testSet().epoch == epoch {
		t.Fatal("the dropped membership goes on")
	}
}

// Guards against two members that take an organisation's rate as their own: with one owner, of members that count
// each other only the first in rank has a share, also while the number of owners changes.
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
			o := owners{}
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
				t.Errorf("%d numbers of owners in use after the hold time, want 1", len(o.counts))
			}
		})
	}
}
