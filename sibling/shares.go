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
	// RateGroups is the number of groups that organisations are hashed into. Each zone has one accounting set for
	// each group, so 16 groups of 5 holders occupy 80 of the 171 instances of a zone at the design size.
	RateGroups = 16
	// maxHolders bounds the members of an accounting set. It keeps an equal share of a zone's rate above one whole
	// token for small organisations.
	maxHolders = 5
	// probeRanks is the number of ranks to which a joining instance sends its claim. A list change that moves more
	// than probeRanks-maxHolders ranks at once could hide the present holders from it.
	probeRanks = 2 * maxHolders

	// ShareLease is how long an acknowledgement allows an instance to accrue and spend.
	ShareLease = 3 * time.Second
	// shareHold is how long a member must be silent and absent from the list before it is removed. It exceeds
	// ShareLease by about 6 s, which covers the lag of the platform's list.
	shareHold = 10 * time.Second
	// orphanHold replaces shareHold when a majority of the set is gone and only the platform's list supports the
	// removal.
	orphanHold = 60 * time.Second
	// minTokenLifetime and maxTokenLifetime bound how long a puller may spend pulled tokens, counted from before it
	// sent the request. A longer lifetime wastes fewer tokens at low rates, but reduces for longer
	// what the giver can accrue.
	minTokenLifetime = 300 * time.Millisecond
	maxTokenLifetime = 2 * time.Second
	// clockSlack covers a clock that runs 1% fast; its square covers a clock 1% fast relative to one 1% slow. It
	// divides the rate at which an instance accrues.
	clockSlack = 1.01
	// grantHold is how long a giver counts a grant of maxTokenLifetime as unspent: 2 s x 1.01 x 1.01 = 2.0402 s.
	grantHold = 2050 * time.Millisecond
	// bootstrapWait covers ShareLease and grantHold of an unknown holder, 5.05 s x 1.01 x 1.01 = 5.15 s, and
	// documentHold.
	bootstrapWait = 5200 * time.Millisecond
	// documentHold is the delay before an increase takes effect, so that every instance has applied the decreases
	// that compensate for it. Documents are in force everywhere within 4 s.
	documentHold = 5 * time.Second

	// settleTime is how long an instance that joined waits before it reports ready, so that its token pools fill.
	settleTime = 500 * time.Millisecond

	roundInterval = 100 * time.Millisecond
	// urgentInterval is the minimum time between rounds of pulls for a waiting request, while rounds yield tokens.
	urgentInterval   = 10 * time.Millisecond
	demandWindow     = 500 * time.Millisecond // time constant of the smoothed demand
	lifetimePerBurst = 0.8                    // part of the time to accrue a full burst that a token may be spent for
	stockPerLifetime = 0.6                    // part of a token's lifetime for which a puller keeps stock
	stockPerBurst    = 0.4                    // part of the fleet's burst that one puller may keep in stock
	maxPulls         = 16                     // siblings that one account pulls from in one round
	oneToken         = 1_000_000_000          // one token as an Amount
)

// Amount is a number of tokens in units of 1e-9 token. Integers keep the accounting exact.
type Amount int64

// Tokens converts a number of tokens to an Amount.
func Tokens(n float64) Amount { return Amount(n * oneToken) }

// Whole returns the number of whole tokens in a.
func (a Amount) Whole() int64 { return int64(a / oneToken) }

// GroupOf returns the group of an organisation.
func GroupOf(organisation string) int { return int(xxhash.Sum64String(organisation) % RateGroups) }

// TokenTransfer is an amount of one organisation's tokens that is requested or granted.
type TokenTransfer struct {
	Organisation string
	Amount       Amount
	// Lifetime is how long the tokens may be spent, counted from before the request was sent.
	Lifetime time.Duration
	// LoanID identifies a grant that the puller can settle before it expires; zero if it cannot.
	LoanID uint64
	// Settlements lists earlier grants of the receiver whose tokens are spent or returned.
	Settlements []Settlement
}

// Settlement ends a loan early: none of its tokens can be spent any more. ReturnedTokens counts those that were never
// spent.
type Settlement struct {
	LoanID         uint64
	ReturnedTokens int64
}

// PullRequest requests tokens of any number of organisations.
type PullRequest struct{ Wants []TokenTransfer }

// tokenLifetime returns how long pulled tokens of the account may be spent. A giver passes on at most its cap within
// the time for which it counts a grant, so the lifetime stays below the time in which a full burst accrues.
func (a *Account) tokenLifetime() time.Duration {
	life := time.Duration(lifetimePerBurst * a.burst / a.rate * float64(time.Second))
	return min(max(life, minTokenLifetime), maxTokenLifetime).Truncate(time.Millisecond)
}

// PullReply carries the granted tokens.
type PullReply struct{ Grants []TokenTransfer }

// ShareEffect is an output of Shares: a message to send, or a read of the platform.
type ShareEffect interface{ shareEffect() }

// SendCount instructs the caller to send a CountRequest.
type SendCount struct {
	To      Member
	Request CountRequest
}

// SendPull instructs the caller to send a PullRequest.
type SendPull struct {
	To      Member
	Request PullRequest
}

// ConfirmInstances instructs the caller to read the instance list from the platform itself.
type ConfirmInstances struct{}

func (SendCount) shareEffect()        {}
func (SendPull) shareEffect()         {}
func (ConfirmInstances) shareEffect() {}

// Account is this instance's part of one organisation's rate. The invariant is
//
//	level + deposited + sum of loans <= cap
//
// whenever the other members of the set may rely on it. Lent tokens stay counted until they have expired at the
// puller, and deposited tokens until traffic has spent them.
type Account struct {
	organisation     string
	set              *accountingSet
	epoch            uint64  // epoch of the set when level was accrued
	rate, burst      float64 // of the fleet
	owners           ownerCounts
	level            Amount // own tokens that are neither deposited nor lent
	deposited        Amount // own tokens in the pool that traffic spends from
	loans            []loan // grants to siblings that may still be spent
	lentTotal        Amount
	accrued          time.Time // time up to which tokens were accrued
	fractional       Amount    // pulled fractions of a token
	fractionalUntil  time.Time
	demand           float64                 // requests per second, smoothed
	grantedInRound   Amount                  // since the last round of pulls
	requestedInRound Amount                  // in the last round of pulls
	pulledUnspent    Amount                  // whole pulled tokens in the pool
	requestWaiting   bool                    // a request waits for a token
	nextUrgentPull   time.Time               // when a waiting request may trigger another round of pulls
	crossZoneRounds  int                     // rounds of pulls left that include other zones
	settlements      map[string][]Settlement // to report, by giver
}

// loan is a grant that a sibling may still spend.
type loan struct {
	id     uint64
	amount Amount
	until  time.Time
}

// held returns the amount that counts against the cap.
func (a *Account) held() Amount { return a.level + a.deposited + a.lentTotal }

// Shares is the state machine of this instance's rate shares. It belongs to the control goroutine.
type Shares struct {
	self                string
	zone                string
	rng                 *rand.Rand
	members             Members
	selfMember          Member // this instance as last listed
	listed              bool   // the list in force contains this instance and does not mark it as leaving
	documentRevision    document.Revision
	accounts            map[string]*Account
	removed             map[string]time.Time // when a removed organisation may accrue again
	fraction            zoneFraction
	sequence            uint64 // last number used for a message or loan
	sets                [RateGroups]*accountingSet
	holders             [RateGroups][]Members // by group, then zone, this instance's zone first
	activeOrganisations []string              // organisations with demand, sorted
	nextRound           time.Time
	draining            bool
	static              bool // see UseStaticSplit

	started         time.Time
	listConfirmedAt time.Time // when the last read of the platform's list that contains this instance was sent
	nextConfirm     time.Time
	unlistedSince   map[string]time.Time // when each peer was first missing from the list
}

// NewShares returns the shares of an instance that starts at now, with no tokens.
func NewShares(id, zone string, rng *rand.Rand, now time.Time) *Shares {
	s := &Shares{
		self: id, zone: zone, rng: rng, started: now,
		accounts: map[string]*Account{}, removed: map[string]time.Time{}, unlistedSince: map[string]time.Time{},
	}
	for g := range s.sets {
		// The epochs of a later process of the same instance must be higher than those of an earlier one.
		s.sets[g] = newSet(g, id, uint64(now.UnixNano()), now)
	}
	s.sequence = uint64(now.UnixNano())
	return s
}

// UseStaticSplit switches to a static split: every listed instance owns the same part of every rate, without
// accounting sets and transfers. It is a baseline for comparison; it exceeds the rate while the instances' lists
// differ.
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
	if s.documentRevision == 0 {
		// A joining instance waits for documentHold or takes the smaller fraction of an active member.
		s.fraction = zoneFraction{inForce: value}
	} else {
		s.fraction.update(value, now)
	}
	s.documentRevision = doc.Revision
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
			s.selfMember, s.listed = m, !m.Leaving
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

// InstancesConfirmed records that the platform answered the read of the instance list that was sent at the given
// time. It counts only if the list in force contains this instance.
func (s *Shares) InstancesConfirmed(sent time.Time) {
	if s.listed && sent.After(s.listConfirmedAt) {
		s.listConfirmedAt = sent
	}
}

// Drain makes this instance give up its shares before a planned stop.
func (s *Shares) Drain() { s.draining = true }

// Joined reports whether this instance has joined its sets, should not be a member of any, or has tried for long
// enough. Until then, other instances serve callers better.
func (s *Shares) Joined(now time.Time) bool {
	if now.Sub(s.started) > bootstrapWait+2*claimRenewInterval {
		return true
	}
	if s.documentRevision == 0 || len(s.members) == 0 {
		return false
	}
	for _, set := range s.sets {
		// The token pools fill in settleTime after the join.
		if set.phase == PhaseJoining || (set.phase == PhaseOut || now.Sub(set.since) < settleTime) && s.shouldHold(set) {
			return false
		}
	}
	return true
}

// Accounts returns the accounts by organisation.
func (s *Shares) Accounts() map[string]*Account { return s.accounts }

// Lease returns the epoch of a group's tokens and the time at which they become void unless the lease is renewed.
func (s *Shares) Lease(group int) (epoch uint64, until time.Time) {
	return s.sets[group].epoch, s.sets[group].leaseUntil
}

// Group returns the group of the account's organisation.
func (a *Account) Group() int { return a.set.group }

// PoolState is the state of an organisation's token pool, from which traffic spends.
type PoolState struct {
	OwnTokens    int64         // own tokens still in the pool
	PulledTokens int64         // pulled tokens still in the pool
	Requests     float64       // number of requests since the last call
	Elapsed      time.Duration // time since the last call
}

// Accrue updates the account from the state of its pool, accrues tokens, and returns how many own tokens to deposit.
// If the result is negative, the caller must withdraw all own tokens from the pool and pass them to ReclaimTokens.
func (s *Shares) Accrue(a *Account, pool PoolState, now time.Time) int64 {
	if pool.Elapsed > 0 {
		weight := 1 - math.Exp(-float64(pool.Elapsed)/float64(demandWindow))
		a.demand += (pool.Requests/pool.Elapsed.Seconds() - a.demand) * weight
		if a.demand < 0.01 {
			a.demand = 0
		}
		s.updateActive(a)
	}
	a.pulledUnspent = Amount(pool.PulledTokens) * oneToken
	s.fraction.settle(now)
	a.owners.settle(now)
	a.deposited = Amount(pool.OwnTokens) * oneToken
	a.expire(now)
	set := a.set
	if a.epoch != set.epoch || set.phase != PhaseActive || set.stopping {
		a.level, a.epoch, a.accrued = 0, set.epoch, now
		if pool.OwnTokens > 0 {
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
	if a.held() > limit && pool.OwnTokens > 0 {
		return -1
	}
	whole := a.level.Whole()
	a.level -= Amount(whole) * oneToken
	a.deposited += Amount(whole) * oneToken
	return whole
}

// ReclaimTokens takes back own tokens that were withdrawn from the pool. stillSpendable is the number of tokens that
// concurrent takers may still spend. Tokens of an earlier epoch are void.
func (s *Shares) ReclaimTokens(a *Account, tokens, stillSpendable int64) {
	a.deposited = Amount(stillSpendable) * oneToken
	if a.epoch == a.set.epoch && a.set.phase == PhaseActive && !a.set.stopping {
		a.level += max(0, min(Amount(tokens)*oneToken, s.cap(a)-a.held()))
	}
}

// expire removes the loans whose tokens have expired at the puller.
func (a *Account) expire(now time.Time) {
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool {
		if now.Before(l.until) {
			return false
		}
		a.lentTotal -= l.amount
		return true
	})
}

// lend moves an amount from the level to a new loan.
func (a *Account) lend(id uint64, amount Amount, life time.Duration, now time.Time) {
	a.level -= amount
	a.lentTotal += amount
	hold := time.Duration(float64(life)*clockSlack*clockSlack) + time.Millisecond
	a.loans = append(a.loans, loan{id: id, amount: amount, until: now.Add(hold)})
}

// available reports whether the account may grant tokens.
func (a *Account) available(now time.Time) bool {
	return a.set.phase == PhaseActive && !a.set.stopping && a.epoch == a.set.epoch && now.Before(a.set.leaseUntil)
}

// Grant answers one request for tokens from the account's level. Own tokens in the pool must have been withdrawn and
// passed to ReclaimTokens before. Half of what this instance itself expects to need within minTokenLifetime is held
// back. Grants are whole tokens, which the puller can settle, unless the puller requests less than one or the
// account's cap is below one.
func (s *Shares) Grant(want TokenTransfer, now time.Time) (amount Amount, loanID uint64) {
	a := s.accounts[want.Organisation]
	if a == nil || !a.available(now) || want.Lifetime <= 0 || want.Lifetime > maxTokenLifetime {
		return 0, 0
	}
	a.expire(now)
	for _, settlement := range want.Settlements {
		a.settleLoan(settlement, s.cap(a))
	}
	reserve := Tokens(a.demand * minTokenLifetime.Seconds() / 2)
	amount = min(want.Amount, a.level-reserve)
	switch {
	case amount >= oneToken:
		amount = Amount(amount.Whole()) * oneToken
		s.sequence++
		loanID = s.sequence
	case amount <= 0 || want.Amount >= oneToken && s.cap(a) >= oneToken:
		return 0, 0
	}
	a.lend(loanID, amount, want.Lifetime, now)
	return amount, loanID
}

// settleLoan ends a loan early. It has no effect if the loan has expired or was already settled.
func (a *Account) settleLoan(settlement Settlement, limit Amount) {
	i := slices.IndexFunc(a.loans, func(l loan) bool { return settlement.LoanID != 0 && l.id == settlement.LoanID })
	if i < 0 || settlement.ReturnedTokens < 0 {
		return
	}
	amount := a.loans[i].amount
	a.loans = slices.Delete(a.loans, i, i+1)
	a.lentTotal -= amount
	a.level += max(0, min(Amount(settlement.ReturnedTokens)*oneToken, amount, limit-a.held()))
}

// RecordSettlement records that the tokens of a grant are spent or returned. The next round of pulls reports it to
// the giver.
func (s *Shares) RecordSettlement(a *Account, giver string, settlement Settlement) {
	if a.settlements == nil {
		a.settlements = map[string][]Settlement{}
	}
	a.settlements[giver] = append(a.settlements[giver], settlement)
}
