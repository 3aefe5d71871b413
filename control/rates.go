package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// SendCount sends a claim of membership in the accounting of rate shares to a sibling.
type SendCount struct{ sibling.SendCount }

// SendPull sends a request for tokens to a sibling.
type SendPull struct{ sibling.SendPull }

// ConfirmInstances reads the instance list from the platform itself.
type ConfirmInstances struct{}

func (SendCount) effect()        {}
func (SendPull) effect()         {}
func (ConfirmInstances) effect() {}

// CountRequestReceived carries a sibling's claim of membership. Reply must have room for one value.
type CountRequestReceived struct {
	Request sibling.CountRequest
	Reply   chan<- sibling.CountReply
}

// CountReplyReceived carries the reply to a claim of membership. Sent was read before the claim was sent.
type CountReplyReceived struct {
	Reply sibling.CountReply
	Sent  time.Time
}

// PullRequestReceived carries a sibling's request for tokens. Reply must have room for one value.
type PullRequestReceived struct {
	Request sibling.PullRequest
	Reply   chan<- sibling.PullReply
}

// PullReplyReceived carries the reply to a request for tokens. Sent was read before the request was sent.
type PullReplyReceived struct {
	From  string
	Reply sibling.PullReply
	Sent  time.Time
}

// InstancesConfirmed reports that the platform itself answered a read of the instance list, sent at Sent, with a list of
// this revision. The list was posted before.
type InstancesConfirmed struct {
	Revision document.Revision
	Sent     time.Time
}

func (e CountRequestReceived) apply(s *State, now time.Time) {
	e.Reply <- s.rates.shares.HandleCountRequest(e.Request, now)
}

func (e CountReplyReceived) apply(s *State, now time.Time) {
	s.rates.shares.HandleCountReply(e.Reply, e.Sent, now)
}

func (e PullRequestReceived) apply(s *State, now time.Time) { e.Reply <- s.rates.grant(e.Request, now) }

func (e PullReplyReceived) apply(s *State, now time.Time) { s.rates.receiveGrants(e, now) }

func (e InstancesConfirmed) apply(s *State, _ time.Time) {
	if s.list == nil || s.list.Revision.Supersedes(e.Revision) {
		// The read is stale, so it does not confirm the list in force.
		return
	}
	s.rates.shares.InstancesConfirmed(e.Sent)
}

const (
	// idleSettleInterval is the time between two settlements of an organisation without traffic. Its pool has been
	// refilled by the time it counts as idle.
	idleSettleInterval = 250 * time.Millisecond
	// busyPeriod is how long after a request an organisation is settled in every step.
	busyPeriod = 2 * time.Second
	// returnFraction is the fraction at the end of a token's lifetime in which unspent tokens go back to their grantor.
	returnFraction = 0.25
)

// rates connects the rate shares with the token pools that traffic spends from.
type rates struct {
	shares        *sibling.Shares
	organisations map[string]*organisationPool // by name
	leases        [sibling.RateGroups]lease
	due           time.Time
}

// lease is the expiry of a group's own tokens. Tokens of different memberships never share an expiry, so that a request
// that took a token of an earlier membership finds it expired.
type lease struct {
	epoch  uint64
	expiry *caller.Expiry
}

// organisationPool is the token pool of one organisation with its accounting.
type organisationPool struct {
	pool          *caller.TokenPool
	account       *sibling.Account
	requests      int64 // result of requested at the last settlement
	settledAt     time.Time
	busyUntil     time.Time
	pulledBatches []*pulledBatch
}

// pulledBatch is a grant of whole tokens by a sibling that can be settled before it expires.
type pulledBatch struct {
	batch     *caller.TokenBatch
	grantor   string
	loanID    uint64
	returned  int64
	returnAt  time.Time // when unspent tokens go back to the grantor
	expiresAt time.Time
}

// requested returns the number of requests that tried to take a token since the start.
func (p *organisationPool) requested() int64 { return p.pool.Spent() + p.pool.Refused() }

func newRates() *rates {
	return &rates{organisations: map[string]*organisationPool{}}
}

// init creates the shares in the first step, since the time is not known before.
func (r *rates) init(self Identity, rng *rand.Rand, now time.Time) {
	if r.shares == nil {
		r.shares = sibling.NewShares(self.ID, self.Zone, rng, now)
		if self.StaticRates {
			r.shares.UseStaticSplit()
		}
	}
}

func (r *rates) configure(doc *document.Document, members sibling.Members, now time.Time) {
	r.shares.SetMembers(members, now)
	r.shares.Configure(doc, now)
	accounts := r.shares.Accounts()
	for name, a := range accounts {
		if p := r.organisations[name]; p == nil || p.account != a {
			r.organisations[name] = &organisationPool{pool: &caller.TokenPool{}, account: a, settledAt: now}
		}
	}
	for name, p := range r.organisations {
		if accounts[name] == nil {
			// A request with an older snapshot must not spend the remaining tokens.
			p.pool.Withdraw()
			delete(r.organisations, name)
		}
	}
	r.due = now
}

// step does what is due and returns the messages to send.
func (r *rates) step(now time.Time) []sibling.ShareEffect {
	if now.Before(r.due) {
		return nil
	}
	r.due = now.Add(refillInterval)
	effects := r.shares.Tick(now)
	r.renewLeases()
	for _, p := range r.organisations {
		requests := p.requested()
		if requests != p.requests {
			p.busyUntil = now.Add(busyPeriod)
		}
		if now.Before(p.busyUntil) || now.Sub(p.settledAt) >= idleSettleInterval {
			r.settle(p, requests, now)
		}
	}
	return effects
}

// TokensNeeded reports that a request waits for a token of the organisation.
type TokensNeeded struct{ Organisation string }

func (e TokensNeeded) apply(s *State, now time.Time) { s.rates.requestTokens(e.Organisation, now) }

// RequestTokens posts that a request waits for a token of the organisation.
func (l *Loop) RequestTokens(organisation string) { l.Post(TokensNeeded{Organisation: organisation}) }

// requestTokens makes the next step request tokens from siblings at once, unless the shares limit such requests.
func (r *rates) requestTokens(organisation string, now time.Time) {
	p := r.organisations[organisation]
	if p == nil || !r.shares.RequestUrgentPull(p.account, now) {
		return
	}
	p.busyUntil = now.Add(busyPeriod)
	r.settle(p, p.requested(), now)
	r.due = now
}

// renewLeases moves the expiry of own tokens to the end of the lease of each group.
func (r *rates) renewLeases() {
	for g := range r.leases {
		l := &r.leases[g]
		epoch, until := r.shares.Lease(g)
		switch {
		case l.expiry == nil:
			*l = lease{epoch: epoch, expiry: caller.NewExpiry(until)}
		case l.epoch != epoch:
			l.expiry.Set(time.Time{})
			*l = lease{epoch: epoch, expiry: caller.NewExpiry(until)}
		case !l.expiry.At().Equal(until):
			l.expiry.Set(until)
		}
	}
}

// settle accrues the tokens of the time since the last settlement and deposits whole ones in the pool. requests is the
// current value of p.requested().
func (r *rates) settle(p *organisationPool, requests int64, now time.Time) {
	a := p.account
	r.settleBatches(p, now)
	state := sibling.PoolState{
		OwnTokens: p.pool.Unspent(), PulledTokens: p.pool.UnspentPulled(now),
		Requests: float64(requests - p.requests), Elapsed: now.Sub(p.settledAt),
	}
	p.requests, p.settledAt = requests, now
	tokens := r.shares.Accrue(a, state, now)
	if tokens < 0 {
		// After a reduction of the share, all own tokens are withdrawn and the remaining ones deposited again in the same
		// settlement. Otherwise the pool would be empty until the next refill, and requests far below the rate would be
		// refused.
		r.withdraw(p)
		tokens = r.shares.Accrue(a, sibling.PoolState{OwnTokens: p.pool.Unspent(), PulledTokens: state.PulledTokens}, now)
	}
	if tokens > 0 {
		p.pool.Deposit(tokens, r.leases[a.Group()].expiry)
	}
	r.combine(p, now)
}

// grant replies to a request for tokens. Own tokens are withdrawn from the pool before any are granted to a sibling.
func (r *rates) grant(request sibling.PullRequest, now time.Time) sibling.PullReply {
	r.renewLeases()
	var reply sibling.PullReply
	for _, want := range request.Wants {
		p := r.organisations[want.Organisation]
		if p == nil {
			continue
		}
		r.settle(p, p.requested(), now)
		r.withdraw(p)
		if amount, loan := r.shares.Grant(want, now); amount > 0 {
			reply.Grants = append(reply.Grants, sibling.TokenTransfer{
				Organisation: want.Organisation, Amount: amount, Lifetime: want.Lifetime, LoanID: loan,
			})
		}
		r.settle(p, p.requests, now)
	}
	return reply
}

func (r *rates) receiveGrants(e PullReplyReceived, now time.Time) {
	for _, grant := range e.Reply.Grants {
		p := r.organisations[grant.Organisation]
		if p == nil {
			continue
		}
		if n, expiresAt := r.shares.ReceiveGrant(grant, e.Sent, now); n > 0 {
			batch := p.pool.DepositPulled(n, expiresAt, now)
			if grant.LoanID != 0 {
				returnAt := expiresAt.Add(-time.Duration(float64(grant.Lifetime) * returnFraction))
				p.pulledBatches = append(p.pulledBatches, &pulledBatch{batch: batch, grantor: e.From, loanID: grant.LoanID, returnAt: returnAt, expiresAt: expiresAt})
			}
		}
		r.combine(p, now)
	}
}

// combine deposits the whole tokens that pulled fractions of tokens add up to.
func (r *rates) combine(p *organisationPool, now time.Time) {
	if n, expiresAt := r.shares.CombineFractions(p.account, now); n > 0 {
		p.pool.DepositPulled(n, expiresAt, now)
	}
}

// withdraw takes the own tokens out of the pool.
func (r *rates) withdraw(p *organisationPool) {
	n := p.pool.Withdraw()
	r.shares.ReclaimTokens(p.account, n, p.pool.Unspent())
}

// settleBatches reports pulled batches that are spent to their grantors. From returnAt on it withdraws unspent tokens and
// reports them as returned.
func (r *rates) settleBatches(p *organisationPool, now time.Time) {
	p.pulledBatches = slices.DeleteFunc(p.pulledBatches, func(b *pulledBatch) bool {
		if !now.Before(b.expiresAt) {
			return true
		}
		if !now.Before(b.returnAt) {
			b.returned += b.batch.Withdraw()
		}
		if b.batch.Unspent() > 0 {
			return false
		}
		r.shares.RecordSettlement(p.account, b.grantor, sibling.Settlement{LoanID: b.loanID, ReturnedTokens: b.returned})
		return true
	})
}

func (r *rates) pool(organisation string) *caller.TokenPool {
	if p := r.organisations[organisation]; p != nil {
		return p.pool
	}
	return nil
}

func (r *rates) pools() map[string]*caller.TokenPool {
	out := make(map[string]*caller.TokenPool, len(r.organisations))
	for name, p := range r.organisations {
		out[name] = p.pool
	}
	return out
}

// emitRateEffects emits the effects of the rate shares.
func (s *State) emitRateEffects(effects []sibling.ShareEffect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case sibling.SendCount:
			s.emit(SendCount{e})
		case sibling.SendPull:
			s.emit(SendPull{e})
		case sibling.ConfirmInstances:
			s.emit(ConfirmInstances{})
		}
	}
}
