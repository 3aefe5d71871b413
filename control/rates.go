package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/document"
	"dogwooddrift.org/drift/sibling"
)

// SendCount asks for a claim of membership to be sent to a sibling.
type SendCount struct{ sibling.SendCount }

// SendPull asks for a request for tokens to be sent to a sibling.
type SendPull struct{ sibling.SendPull }

// ConfirmInstances asks for a read of the instance list from the platform itself.
type ConfirmInstances struct{}

func (SendCount) effect()        {}
func (SendPull) effect()         {}
func (ConfirmInstances) effect() {}

// CountRequestReceived is a sibling's claim. Reply must have room for one value.
type CountRequestReceived struct {
	Request sibling.CountRequest
	Reply   chan<- sibling.CountReply
}

// CountReplyReceived is the reply to a claim. Sent was read before the claim was sent.
type CountReplyReceived struct {
	Reply sibling.CountReply
	Sent  time.Time
}

// PullRequestReceived is a sibling's request for tokens. Reply must have room for one value.
type PullRequestReceived struct {
	Request sibling.PullRequest
	Reply   chan<- sibling.PullReply
}

// PullReplyReceived is the reply to a request for tokens. Sent was read before the request was sent.
type PullReplyReceived struct {
	From  string
	Reply sibling.PullReply
	Sent  time.Time
}

// InstancesConfirmed says that the platform itself answered a read of the instance list, which was sent at Sent,
// with the given revision, and that the list was posted before.
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

func (e PullReplyReceived) apply(s *State, now time.Time) { s.rates.pulled(e, now) }

func (e InstancesConfirmed) apply(s *State, _ time.Time) {
	if s.list == nil || s.list.Revision.Supersedes(e.Revision) {
		// A stale read confirms nothing.
		return
	}
	s.rates.shares.InstancesConfirmed(e.Sent)
}

const (
	// idleSettleInterval is how often an organisation without traffic is settled. Its pool is refilled by then.
	idleSettleInterval = 250 * time.Millisecond
	busyTime           = 2 * time.Second
	// returnPart is the last part of a token's life, in which it goes back to its giver.
	returnPart = 0.25
)

// rates joins the rate shares with the token pools that traffic spends from.
type rates struct {
	shares *sibling.Shares
	purses map[string]*purse
	leases [sibling.RateGroups]lease
	due    time.Time
}

// lease is the expiry of a group's own tokens. Tokens of different memberships never share one, so that a taker
// of a token of an earlier membership finds it expired.
type lease struct {
	epoch  uint64
	expiry *caller.Expiry
}

type purse struct {
	pool      *caller.TokenPool
	account   *sibling.Account
	requests  int64 // spent and refused at the last settlement
	settled   time.Time
	busyUntil time.Time
	lots      []*pulledLot
}

// pulledLot is a whole grant of a sibling that can be settled before it expires.
type pulledLot struct {
	lot      *caller.TokenBatch
	giver    string
	loan     uint64
	returned int64
	back     time.Time // when unspent tokens go back
	expires  time.Time
}

// requested returns how many requests asked for a token since the start.
func (p *purse) requested() int64 { return p.pool.Spent() + p.pool.Refused() }

func newRates() *rates {
	return &rates{purses: map[string]*purse{}}
}

// start creates the shares at the first step, since the state machine has no clock before.
func (r *rates) start(self Identity, rng *rand.Rand, now time.Time) {
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
		if p := r.purses[name]; p == nil || p.account != a {
			r.purses[name] = &purse{pool: &caller.TokenPool{}, account: a, settled: now}
		}
	}
	for name, p := range r.purses {
		if accounts[name] == nil {
			// A request that loaded an older snapshot must not spend what is left.
			p.pool.Withdraw()
			delete(r.purses, name)
		}
	}
	r.due = now
}

// step does what is due and returns messages to send.
func (r *rates) step(now time.Time) []sibling.ShareEffect {
	if now.Before(r.due) {
		return nil
	}
	r.due = now.Add(refillInterval)
	effects := r.shares.Tick(now)
	r.renew()
	for _, p := range r.purses {
		requests := p.requested()
		if requests != p.requests {
			p.busyUntil = now.Add(busyTime)
		}
		if now.Before(p.busyUntil) || now.Sub(p.settled) >= idleSettleInterval {
			r.settle(p, requests, now)
		}
	}
	return effects
}

// TokensNeeded says that a request waits for a token of the organisation.
type TokensNeeded struct{ Organisation string }

func (e TokensNeeded) apply(s *State, now time.Time) { s.rates.want(e.Organisation, now) }

// RequestTokens tells control that a request waits for a token of the organisation.
func (l *Loop) RequestTokens(organisation string) { l.Post(TokensNeeded{Organisation: organisation}) }

// want has the next step ask siblings for tokens at once.
func (r *rates) want(organisation string, now time.Time) {
	p := r.purses[organisation]
	if p == nil || !r.shares.RequestUrgentPull(p.account, now) {
		return
	}
	p.busyUntil = now.Add(busyTime)
	r.settle(p, p.requested(), now)
	r.due = now
}

// renew moves the expiries of own tokens to the end of the leases.
func (r *rates) renew() {
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

func (r *rates) settle(p *purse, requests int64, now time.Time) {
	a := p.account
	r.settleLots(p, now)
	stock := sibling.PoolState{
		OwnTokens: p.pool.Unspent(), PulledTokens: p.pool.UnspentPulled(now),
		Requests: float64(requests - p.requests), Elapsed: now.Sub(p.settled),
	}
	p.requests, p.settled = requests, now
	tokens := r.shares.Accrue(a, stock, now)
	if tokens < 0 {
		// What is left after a cut goes back at once: the pool would otherwise be empty until the next refill, and
		// requests far below the rate would be refused.
		r.withdraw(p)
		tokens = r.shares.Accrue(a, sibling.PoolState{OwnTokens: p.pool.Unspent(), PulledTokens: stock.PulledTokens}, now)
	}
	if tokens > 0 {
		p.pool.Deposit(tokens, r.leases[a.Group()].expiry)
	}
	r.combine(p, now)
}

// grant answers a request for tokens. Own tokens leave the pool before any are promised to a sibling.
func (r *rates) grant(request sibling.PullRequest, now time.Time) sibling.PullReply {
	r.renew()
	var reply sibling.PullReply
	for _, want := range request.Wants {
		p := r.purses[want.Organisation]
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

func (r *rates) pulled(e PullReplyReceived, now time.Time) {
	for _, grant := range e.Reply.Grants {
		p := r.purses[grant.Organisation]
		if p == nil {
			continue
		}
		if n, expires := r.shares.ReceiveGrant(grant, e.Sent, now); n > 0 {
			lot := p.pool.DepositPulled(n, expires, now)
			if grant.LoanID != 0 {
				back := expires.Add(-time.Duration(float64(grant.Lifetime) * returnPart))
				p.lots = append(p.lots, &pulledLot{lot: lot, giver: e.From, loan: grant.LoanID, back: back, expires: expires})
			}
		}
		r.combine(p, now)
	}
}

// combine deposits the whole tokens that pulled fractions add up to.
func (r *rates) combine(p *purse, now time.Time) {
	if n, expires := r.shares.CombineFractions(p.account, now); n > 0 {
		p.pool.DepositPulled(n, expires, now)
	}
}

// withdraw takes the own tokens back from traffic.
func (r *rates) withdraw(p *purse) {
	n := p.pool.Withdraw()
	r.shares.ReclaimTokens(p.account, n, p.pool.Unspent())
}

// settleLots reports lots that are spent, and takes back and reports those that traffic will hardly spend.
func (r *rates) settleLots(p *purse, now time.Time) {
	p.lots = slices.DeleteFunc(p.lots, func(l *pulledLot) bool {
		if !now.Before(l.expires) {
			return true
		}
		if !now.Before(l.back) {
			l.returned += l.lot.Withdraw()
		}
		if l.lot.Unspent() > 0 {
			return false
		}
		r.shares.RecordSettlement(p.account, l.giver, sibling.Settlement{LoanID: l.loan, ReturnedTokens: l.returned})
		return true
	})
}

func (r *rates) pool(organisation string) *caller.TokenPool {
	if p := r.purses[organisation]; p != nil {
		return p.pool
	}
	return nil
}

func (r *rates) pools() map[string]*caller.TokenPool {
	out := make(map[string]*caller.TokenPool, len(r.purses))
	for name, p := range r.purses {
		out[name] = p.pool
	}
	return out
}

// rateEffects wraps the messages of the shares.
func (s *State) rateEffects(effects []sibling.ShareEffect) {
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
