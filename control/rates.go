package control

import (
	"maps"
	"math/rand/v2"
	"time"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/platform"
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

// CountHeard is a sibling's claim. Reply must have room for one value.
type CountHeard struct {
	Request sibling.CountRequest
	Reply   chan<- sibling.CountReply
}

// CountAnswered is the reply to a claim. Sent was read before the claim was sent.
type CountAnswered struct {
	Reply sibling.CountReply
	Sent  time.Time
}

// PullHeard is a sibling's request for tokens. Reply must have room for one value.
type PullHeard struct {
	Request sibling.PullRequest
	Reply   chan<- sibling.PullReply
}

// PullAnswered is the reply to a request for tokens. Sent was read before the request was sent.
type PullAnswered struct {
	Reply sibling.PullReply
	Sent  time.Time
}

// InstancesConfirmed says that the platform itself answered a read of the instance list, which was sent at Sent,
// with the given revision, and that the list was posted before.
type InstancesConfirmed struct {
	Revision platform.Revision
	Sent     time.Time
}

func (e CountHeard) apply(s *State, now time.Time) { e.Reply <- s.rates.shares.Count(e.Request, now) }

func (e CountAnswered) apply(s *State, now time.Time) {
	s.rates.shares.Counted(e.Reply, e.Sent, now)
}

func (e PullHeard) apply(s *State, now time.Time) { e.Reply <- s.rates.grant(e.Request, now) }

func (e PullAnswered) apply(s *State, now time.Time) { s.rates.pulled(e.Reply, e.Sent, now) }

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
)

// rates joins the rate shares with the token pools that traffic spends from.
type rates struct {
	shares  *sibling.Shares
	purses  map[string]*purse
	expiry  map[epoch]*caller.Expiry
	due     time.Time
	settled bool
}

// epoch names one membership in one group's set. Tokens of different memberships never share an expiry.
type epoch struct {
	group  int
	number uint64
}

type purse struct {
	pool      *caller.TokenPool
	account   *sibling.Account
	requests  int64 // spent and refused at the last settlement
	settled   time.Time
	busyUntil time.Time
}

func newRates() *rates {
	return &rates{purses: map[string]*purse{}, expiry: map[epoch]*caller.Expiry{}}
}

// start creates the shares at the first step, since the state machine has no clock before.
func (r *rates) start(self Identity, rng *rand.Rand, now time.Time) {
	if r.shares == nil {
		r.shares = sibling.NewShares(self.ID, self.Zone, rng, now)
	}
}

func (r *rates) configure(doc *platform.Document, members sibling.Members, now time.Time) {
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
		requests := p.pool.Spent() + p.pool.Refused()
		if requests != p.requests {
			p.busyUntil = now.Add(busyTime)
		}
		if now.Before(p.busyUntil) || now.Sub(p.settled) >= idleSettleInterval {
			r.settle(p, requests, now)
		}
	}
	return effects
}

// renew moves the expiries of own tokens to the end of the leases.
func (r *rates) renew() {
	valid := make(map[epoch]bool, sibling.RateGroups)
	for g := range sibling.RateGroups {
		number, until := r.shares.Lease(g)
		key := epoch{g, number}
		valid[key] = true
		if x := r.expiry[key]; x != nil {
			x.Set(until)
		} else {
			r.expiry[key] = caller.NewExpiry(until)
		}
	}
	for key, x := range r.expiry {
		if !valid[key] {
			x.Set(time.Time{})
		}
	}
	maps.DeleteFunc(r.expiry, func(key epoch, _ *caller.Expiry) bool { return !valid[key] })
}

func (r *rates) settle(p *purse, requests int64, now time.Time) {
	a := p.account
	stock := sibling.Stock{
		Own: p.pool.Unspent(), Pulled: p.pool.Pulled(now),
		Demand: float64(requests - p.requests), Elapsed: now.Sub(p.settled),
	}
	p.requests, p.settled = requests, now
	r.deposit(p, r.shares.Settle(a, stock, now), now)
}

func (r *rates) deposit(p *purse, tokens int64, now time.Time) {
	switch {
	case tokens < 0:
		r.shares.Returned(p.account, p.pool.Withdraw())
	case tokens > 0:
		number, _ := r.shares.Lease(p.account.Group())
		p.pool.Deposit(tokens, r.expiry[epoch{p.account.Group(), number}])
	}
	if n, expires := r.shares.Combine(p.account, now); n > 0 {
		p.pool.DepositPulled(n, expires, now)
	}
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
		r.settle(p, p.pool.Spent()+p.pool.Refused(), now)
		r.shares.Returned(p.account, p.pool.Withdraw())
		if want.Amount = r.shares.Grant(want, now); want.Amount > 0 {
			reply.Grants = append(reply.Grants, want)
		}
		r.settle(p, p.requests, now)
	}
	return reply
}

func (r *rates) pulled(reply sibling.PullReply, sent, now time.Time) {
	for _, grant := range reply.Grants {
		p := r.purses[grant.Organisation]
		if p == nil {
			continue
		}
		if n, expires := r.shares.Pulled(grant, sent, now); n > 0 {
			p.pool.DepositPulled(n, expires, now)
		}
		if n, expires := r.shares.Combine(p.account, now); n > 0 {
			p.pool.DepositPulled(n, expires, now)
		}
	}
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
