package sibling

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddrift.org/drift/document"
)

const (
	// RateGroups is the number of groups that organisations are hashed into. Each zone has one accounting set
	// for each group, so 16 groups of 5 holders occupy 80 of the 171 instances of a zone at the design size.
	RateGroups = 16
	// maxHolders keeps an equal share of a zone's rate above one whole token for small organisations.
	maxHolders = 5
	// probeRanks is how many ranks a joining instance asks. A list change that moves more than
	// probeRanks-maxHolders ranks at once could hide the present holders from it.
	probeRanks = 2 * maxHolders

	// ShareLease is how long an acknowledgement allows an instance to accrue and spend.
	ShareLease = 3 * time.Second
	// shareHold is how long a member must be silent and absent from the list before it is removed. It exceeds
	// ShareLease by the lag of the platform's list that is covered, about 6 s.
	shareHold = 10 * time.Second
	// orphanHold applies when a majority of the set is gone and only the platform's list speaks for removal.
	orphanHold = 60 * time.Second
	// minTokenLife and maxTokenLife bound how long a puller may spend pulled tokens, from before it asked. A
	// longer life wastes fewer tokens at low rates, but keeps the giver's cap down for longer.
	minTokenLife = 300 * time.Millisecond
	maxTokenLife = 2 * time.Second
	// clockSlack covers a clock that runs 1% fast, and its square one that is 1% fast next to one that is 1%
	// slow. It divides the rate at which an instance accrues.
	clockSlack = 1.01
	// grantHold is how long a giver counts a grant of maxTokenLife as unspent: 2 s x 1.01 x 1.01 = 2.0402 s.
	grantHold = 2050 * time.Millisecond
	// bootstrapWait covers ShareLease and grantHold of an unknown holder, 5.05 s x 1.01 x 1.01 = 5.15 s, and
	// documentHold.
	bootstrapWait = 5200 * time.Millisecond
	// documentHold is how long an increase waits, so that every instance has applied the decreases that pay
	// for it. Documents are in force everywhere within 4 s.
	documentHold = 5 * time.Second

	// settleTime is how long an instance that joined waits before it reports ready, so that its pools fill.
	settleTime = 500 * time.Millisecond

	roundInterval = 100 * time.Millisecond
	// urgentInterval is the least time between rounds for a request that waits, while rounds bring tokens.
	urgentInterval = 10 * time.Millisecond
	demandWindow   = 500 * time.Millisecond
	lifePerBurst   = 0.8
	stockPerLife   = 0.6 // part of a token's life for which a puller keeps stock
	stockPerBurst  = 0.4 // part of the fleet's burst that one puller may keep in stock
	maxPulls       = 16  // siblings asked in one round
	nano           = 1_000_000_000
)

// Amount is a number of tokens in units of 1e-9 token. Integers keep the accounting exact.
type Amount int64

// Tokens converts a number of tokens.
func Tokens(n float64) Amount { return Amount(n * nano) }

// Whole returns the whole tokens in a.
func (a Amount) Whole() int64 { return int64(a / nano) }

// GroupOf returns the group of an organisation.
func GroupOf(organisation string) int { return int(xxhash.Sum64String(organisation) % RateGroups) }

// TokenTransfer is an amount of one organisation's tokens that may be spent for Life, from before it was asked for.
type TokenTransfer struct {
	Organisation string
	Amount       Amount
	Lifetime     time.Duration
	// LoanID names a grant that the puller can settle before it expires; zero if it cannot.
	LoanID uint64
	// Settlements lists earlier grants of the receiver that are spent or come back.
	Settlements []Settlement
}

// Settlement says that no token of a loan can be spent any more, and how many were never spent.
type Settlement struct {
	LoanID         uint64
	ReturnedTokens int64
}

// PullRequest asks for tokens of any number of organisations.
type PullRequest struct{ Wants []TokenTransfer }

// tokenLife is how long pulled tokens of the account may be spent. A giver passes on at most its cap in the time
// for which it counts a grant, so the life stays below the time in which a full burst accrues.
func (a *Account) tokenLife() time.Duration {
	life := time.Duration(lifePerBurst * a.burst / a.rate * float64(time.Second))
	return min(max(life, minTokenLife), maxTokenLife).Truncate(time.Millisecond)
}

// PullReply carries the tokens that were granted.
type PullReply struct{ Grants []TokenTransfer }

// ShareEffect is a message that Shares asks to send, or a read of the platform.
type ShareEffect interface{ shareEffect() }

// SendCount asks for a CountRequest to be sent.
type SendCount struct {
	To      Member
	Request CountRequest
}

// SendPull asks for a PullRequest to be sent.
type SendPull struct {
	To      Member
	Request PullRequest
}

// ConfirmInstances asks for a read of the instance list from the platform itself.
type ConfirmInstances struct{}

func (SendCount) shareEffect()        {}
func (SendPull) shareEffect()         {}
func (ConfirmInstances) shareEffect() {}

// Account is this instance's part of one organisation's rate. The invariant is
//
//	level + deposited + sum of lent <= cap
//
// at the moment the set's other members may rely on it; lent tokens stay counted until they have expired at the
// puller, and deposited tokens until traffic has spent them.
type Account struct {
	organisation string
	set          *set
	epoch        uint64  // of the set when level was accrued
	rate, burst  float64 // of the fleet
	owners       owners
	level        Amount
	deposited    Amount
	lent         []loan
	lentSum      Amount
	accrued      time.Time
	crumbs       Amount // pulled fractions of a token
	crumbsUntil  time.Time
	demand       float64                 // requests a second, smoothed
	granted      Amount                  // since the last round of pulls
	asked        Amount                  // in the last round of pulls
	pulled       Amount                  // whole pulled tokens in the pool
	urgent       bool                    // a request waits for a token
	nextUrgent   time.Time               // when it may ask for a round of pulls again
	wide         int                     // rounds for which other zones are asked too
	settled      map[string][]Settlement // to report, by giver
}

type loan struct {
	id     uint64
	amount Amount
	until  time.Time
}

func (a *Account) held() Amount { return a.level + a.deposited + a.lentSum }

// Shares is the state machine of this instance's rate shares. It belongs to the control goroutine.
type Shares struct {
	self      string
	zone      string
	rng       *rand.Rand
	members   Members
	me        Member
	listed    bool
	document  document.Revision
	accounts  map[string]*Account
	removed   map[string]time.Time // when a removed organisation may accrue again
	fraction  fraction
	order     uint64
	sets      [RateGroups]*set
	holders   [RateGroups][]Members // by group, then zone, this instance's zone first
	active    []string              // organisations with demand, sorted
	nextRound time.Time
	draining  bool
	static    bool

	started       time.Time
	confirmed     time.Time // when the last read of the platform's list that contains this instance was sent
	nextConfirm   time.Time
	unlistedSince map[string]time.Time
}

// NewShares returns the shares of an instance that starts at now, with no tokens.
func NewShares(id, zone string, rng *rand.Rand, now time.Time) *Shares {
	s := &Shares{
		self: id, zone: zone, rng: rng, started: now,
		accounts: map[string]*Account{}, removed: map[string]time.Time{}, unlistedSince: map[string]time.Time{},
	}
	for g := range s.sets {
		// A later run of the same instance must have higher epochs than an earlier one.
		s.sets[g] = newSet(g, id, uint64(now.UnixNano()), now)
	}
	s.order = uint64(now.UnixNano())
	return s
}

// UseStaticSplit makes the shares a static split: every listed instance owns the same part of every rate, without
// accounting sets and transfers. It is kept for comparison; it breaks the bound while lists differ.
func (s *Shares) UseStaticSplit() {
	s.static = true
	for _, set := range s.sets {
		set.phase = PhaseActive
	}
}

// Configure applies a document.
func (s *Shares) Configure(doc *document.Document, now time.Time) {
	value := 0.0
	for _, z := range doc.Zones {
		if z.Name == s.zone {
			value = z.RateFraction
		}
	}
	if s.document == 0 {
		// A joining instance waits for documentHold or takes the smaller fraction of an active member.
		s.fraction = fraction{inForce: value}
	} else {
		s.fraction.update(value, now)
	}
	s.document = doc.Revision
	listed := make(map[string]bool, len(doc.Organisations))
	for _, o := range doc.Organisations {
		listed[o.Name] = true
		a := s.accounts[o.Name]
		if a == nil {
			a = &Account{organisation: o.Name, set: s.sets[GroupOf(o.Name)], accrued: now}
			a.epoch = a.set.epoch
			if until := s.removed[o.Name]; now.Before(until) {
				// Tokens granted before the organisation was removed may still be spent.
				a.accrued = until
			}
			s.accounts[o.Name] = a
		}
		a.rate, a.burst = o.Rate, o.Burst
		a.owners.update(o.Burst*value, now)
	}
	for name := range s.accounts {
		if !listed[name] {
			delete(s.accounts, name)
			s.removed[name] = now.Add(documentHold)
		}
	}
	maps.DeleteFunc(s.removed, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// SetMembers applies an instance list.
func (s *Shares) SetMembers(members Members, now time.Time) {
	s.members, s.listed = members, false
	zones := map[string]Members{}
	listed := make(map[string]bool, len(members))
	var order []string
	for _, m := range members {
		if m.ID == s.self {
			s.me, s.listed = m, !m.Leaving
		}
		listed[m.ID] = true
		if m.Leaving {
			continue
		}
		if zones[m.Zone] == nil && m.Zone != s.zone {
			order = append(order, m.Zone)
		}
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	own := zones[s.zone]
	for g, set := range s.sets {
		key := groupKey(g)
		ranked := own.Rank(key, probeRanks)
		set.ranked = ranked
		s.holders[g] = append(s.holders[g][:0], ranked[:min(maxHolders, len(ranked))])
		for _, z := range order {
			s.holders[g] = append(s.holders[g], zones[z].Rank(key, maxHolders))
		}
		for id := range set.peers {
			if listed[id] {
				delete(s.unlistedSince, id)
			} else if s.unlistedSince[id].IsZero() {
				s.unlistedSince[id] = now
			}
		}
	}
	for id := range s.unlistedSince {
		if listed[id] {
			delete(s.unlistedSince, id)
		}
	}
}

// InstancesConfirmed notes that the platform answered a read that was sent at the given time and that the list
// in force contains this instance.
func (s *Shares) InstancesConfirmed(sent time.Time) {
	if s.listed && sent.After(s.confirmed) {
		s.confirmed = sent
	}
}

// Drain begins the planned leave.
func (s *Shares) Drain() { s.draining = true }

// Joined reports whether this instance has joined its sets, holds none, or has tried for long enough. Until
// then callers are better served by others.
func (s *Shares) Joined(now time.Time) bool {
	if now.Sub(s.started) > bootstrapWait+2*countInterval {
		return true
	}
	if s.document == 0 || len(s.members) == 0 {
		return false
	}
	for _, set := range s.sets {
		// The pools fill in the second after the join.
		if set.phase == PhaseJoining || (set.phase == PhaseOut || now.Sub(set.since) < settleTime) && s.holds(set) {
			return false
		}
	}
	return true
}

// Accounts returns the account of every organisation.
func (s *Shares) Accounts() map[string]*Account { return s.accounts }

// Lease returns the epoch of a group's tokens and when they become void unless the lease is renewed.
func (s *Shares) Lease(group int) (epoch uint64, until time.Time) {
	return s.sets[group].epoch, s.sets[group].leaseUntil
}

// Group returns the group that the account's organisation belongs to.
func (a *Account) Group() int { return a.set.group }

// PoolState is what traffic did with an organisation's tokens, as control sees it.
type PoolState struct {
	OwnTokens    int64   // own tokens still in the pool
	PulledTokens int64   // pulled tokens still in the pool
	Requests     float64 // requests since the last call
	Elapsed      time.Duration
}

// Accrue accrues, and returns how many own tokens to deposit. A negative result asks to withdraw all own tokens
// and to pass them to Returned.
func (s *Shares) Accrue(a *Account, stock PoolState, now time.Time) int64 {
	if stock.Elapsed > 0 {
		weight := 1 - math.Exp(-float64(stock.Elapsed)/float64(demandWindow))
		a.demand += (stock.Requests/stock.Elapsed.Seconds() - a.demand) * weight
		if a.demand < 0.01 {
			a.demand = 0
		}
		s.noteDemand(a)
	}
	a.pulled = Amount(stock.PulledTokens) * nano
	s.fraction.settle(now)
	a.owners.settle(now)
	a.deposited = Amount(stock.OwnTokens) * nano
	a.expire(now)
	set := a.set
	if a.epoch != set.epoch || set.phase != PhaseActive || set.stopping {
		a.level, a.epoch, a.accrued = 0, set.epoch, now
		if stock.OwnTokens > 0 {
			return -1
		}
		return 0
	}
	limit := s.cap(a)
	until := now
	if set.leaseUntil.Before(until) {
		until = set.leaseUntil
	}
	if elapsed := until.Sub(a.accrued); elapsed > 0 {
		a.level += Amount(s.share(a, a.rate) / clockSlack * float64(elapsed))
	}
	a.accrued = now
	if over := a.held() - limit; over > 0 {
		a.level -= min(over, a.level)
	}
	if a.held() > limit && stock.OwnTokens > 0 {
		return -1
	}
	whole := a.level.Whole()
	a.level -= Amount(whole) * nano
	a.deposited += Amount(whole) * nano
	return whole
}

// ReclaimTokens takes back own tokens that were withdrawn; left are those that takers may still spend. Tokens of an
// earlier epoch are void.
func (s *Shares) ReclaimTokens(a *Account, tokens, left int64) {
	a.deposited = Amount(left) * nano
	if a.epoch == a.set.epoch && a.set.phase == PhaseActive && !a.set.stopping {
		a.level += max(0, min(Amount(tokens)*nano, s.cap(a)-a.held()))
	}
}

func (a *Account) expire(now time.Time) {
	a.lent = slices.DeleteFunc(a.lent, func(l loan) bool {
		if now.Before(l.until) {
			return false
		}
		a.lentSum -= l.amount
		return true
	})
}

func (a *Account) lend(id uint64, amount Amount, life time.Duration, now time.Time) {
	a.level -= amount
	a.lentSum += amount
	hold := time.Duration(float64(life)*clockSlack*clockSlack) + time.Millisecond
	a.lent = append(a.lent, loan{id: id, amount: amount, until: now.Add(hold)})
}

// available reports whether the account may give.
func (a *Account) available(now time.Time) bool {
	return a.set.phase == PhaseActive && !a.set.stopping && a.epoch == a.set.epoch && now.Before(a.set.leaseUntil)
}

// Grant answers one want from the account's level; own tokens in the pool must have been Returned before. Half
// of what this instance itself expects to need soon stays. Grants are whole tokens, which the puller can settle, unless
// it asks for less or the account can never hold one.
func (s *Shares) Grant(want TokenTransfer, now time.Time) (amount Amount, loan uint64) {
	a := s.accounts[want.Organisation]
	if a == nil || !a.available(now) || want.Lifetime <= 0 || want.Lifetime > maxTokenLife {
		return 0, 0
	}
	a.expire(now)
	for _, settled := range want.Settlements {
		a.settleLoan(settled, s.cap(a))
	}
	reserve := Tokens(a.demand * minTokenLife.Seconds() / 2)
	amount = min(want.Amount, a.level-reserve)
	switch {
	case amount >= nano:
		amount = Amount(amount.Whole()) * nano
		s.order++
		loan = s.order
	case amount <= 0 || want.Amount >= nano && s.cap(a) >= nano:
		return 0, 0
	}
	a.lend(loan, amount, want.Lifetime, now)
	return amount, loan
}

// settleLoan ends a loan early. A loan that has expired, or was settled before, changes nothing.
func (a *Account) settleLoan(settled Settlement, limit Amount) {
	i := slices.IndexFunc(a.lent, func(l loan) bool { return settled.LoanID != 0 && l.id == settled.LoanID })
	if i < 0 || settled.ReturnedTokens < 0 {
		return
	}
	amount := a.lent[i].amount
	a.lent = slices.Delete(a.lent, i, i+1)
	a.lentSum -= amount
	a.level += max(0, min(Amount(settled.ReturnedTokens)*nano, amount, limit-a.held()))
}

// RecordSettlement notes that a grant of the giver is spent or comes back. The next round of pulls reports it.
func (s *Shares) RecordSettlement(a *Account, giver string, settled Settlement) {
	if a.settled == nil {
		a.settled = map[string][]Settlement{}
	}
	a.settled[giver] = append(a.settled[giver], settled)
}
