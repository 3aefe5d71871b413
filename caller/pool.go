package caller

import (
	"slices"
	"sync/atomic"
	"time"
)

// Expiry is an instant after which tokens are void. Control may extend it while the instance keeps its lease;
// several lots may share one. It keeps the monotonic reading, so a step of the wall clock moves nothing.
type Expiry struct{ at atomic.Pointer[time.Time] }

// NewExpiry returns an expiry at t.
func NewExpiry(t time.Time) *Expiry {
	e := &Expiry{}
	e.Set(t)
	return e
}

// Set moves the expiry to t.
func (e *Expiry) Set(t time.Time) { e.at.Store(&t) }

// At returns the instant of expiry.
func (e *Expiry) At() time.Time { return *e.at.Load() }

func (e *Expiry) expired(now time.Time) bool { return !now.Before(*e.at.Load()) }

// TokenBatch is a number of tokens with one expiry. An expiry never changes hands: a taker that paused after it took a
// token checks the expiry of that token, never that of a later deposit.
type TokenBatch struct {
	tokens    atomic.Int64
	unchecked atomic.Int64 // takers that may hold a token but have not yet checked its expiry
	expires   *Expiry
}

// TokenPool holds the tokens that one organisation may spend at this instance. Control deposits and withdraws;
// traffic spends. Tokens are of two kinds: own tokens belong to this instance's share, pulled tokens to the
// share of a sibling.
type TokenPool struct {
	own     atomic.Pointer[TokenBatch]
	pulled  atomic.Pointer[[]*TokenBatch] // replaced, never changed in place
	spent   atomic.Int64
	refused atomic.Int64
	waiting atomic.Int64
}

// Take spends one token and reports whether there was one. It reads the clock after it has taken the token, so
// a process that paused in between does not spend an expired one; such a token is lost. The request counts as
// admitted at the instant of that reading.
func (p *TokenPool) Take(clock func() time.Time) bool {
	if p.RetryTake(clock) {
		return true
	}
	p.refused.Add(1)
	return false
}

// RetryTake is like Take for a request that has called Take before: its demand is counted already.
//
// It takes from the larger of the two stocks. A full stock accrues nothing: its owner's, if own tokens lie unused, or
// the givers', which count pulled tokens until they are spent.
func (p *TokenPool) RetryTake(clock func() time.Time) bool {
	own := p.own.Load()
	var pulled []*TokenBatch
	if lots := p.pulled.Load(); lots != nil {
		pulled = *lots
	}
	ownFirst := own != nil && own.tokens.Load() > sumTokens(pulled)
	if ownFirst && p.spend(own, clock) {
		return true
	}
	for _, l := range pulled {
		if p.spend(l, clock) {
			return true
		}
	}
	return !ownFirst && own != nil && p.spend(own, clock)
}

func sumTokens(lots []*TokenBatch) (n int64) {
	for _, l := range lots {
		n += l.tokens.Load()
	}
	return n
}

func (p *TokenPool) spend(l *TokenBatch, clock func() time.Time) bool {
	if !l.take(clock) {
		return false
	}
	p.spent.Add(1)
	return true
}

// maxWaitingForToken bounds the requests of an organisation that wait for a token, so that one far above its rate does not
// fill the instance with them.
const maxWaitingForToken = 16

// BeginWait counts a request as waiting for a token, unless too many are. EndWait must follow.
func (p *TokenPool) BeginWait() bool {
	if p.waiting.Add(1) > maxWaitingForToken {
		p.waiting.Add(-1)
		return false
	}
	return true
}

// EndWait ends the wait of a request.
func (p *TokenPool) EndWait() { p.waiting.Add(-1) }

func (l *TokenBatch) take(clock func() time.Time) bool {
	l.unchecked.Add(1)
	defer l.unchecked.Add(-1)
	for {
		n := l.tokens.Load()
		if n < 1 || l.expires.expired(clock()) {
			return false
		}
		if l.tokens.CompareAndSwap(n, n-1) {
			return !l.expires.expired(clock())
		}
	}
}

// Unspent returns the tokens that are left or may be about to be spent.
func (l *TokenBatch) Unspent() int64 {
	// The order matters: a token that left the first counter is in the second until it is spent.
	n := l.tokens.Load()
	return n + l.unchecked.Load()
}

// Withdraw takes back all tokens that are left.
func (l *TokenBatch) Withdraw() int64 { return l.tokens.Swap(0) }

// Deposit adds own tokens. Only control calls it. A change of the expiry's identity needs a Withdraw first.
func (p *TokenPool) Deposit(tokens int64, expires *Expiry) {
	if l := p.own.Load(); l != nil && l.expires == expires {
		l.tokens.Add(tokens)
		return
	}
	l := &TokenBatch{expires: expires}
	l.tokens.Store(tokens)
	p.own.Store(l)
}

// Withdraw takes back all own tokens that are left. Only control calls it.
func (p *TokenPool) Withdraw() int64 {
	if l := p.own.Load(); l != nil {
		return l.Withdraw()
	}
	return 0
}

// Unspent returns the own tokens that are left or may be about to be spent.
func (p *TokenPool) Unspent() int64 {
	if l := p.own.Load(); l != nil {
		return l.Unspent()
	}
	return 0
}

// DepositPulled adds tokens of a sibling's share that expire at the given time, and forgets the lots that have
// expired or are spent. Only control calls it.
func (p *TokenPool) DepositPulled(tokens int64, expires, now time.Time) *TokenBatch {
	l := &TokenBatch{expires: NewExpiry(expires)}
	l.tokens.Store(tokens)
	keep := []*TokenBatch{l}
	if lots := p.pulled.Load(); lots != nil {
		for _, old := range *lots {
			if old.tokens.Load() > 0 && !old.expires.expired(now) {
				keep = append(keep, old)
			}
		}
	}
	// The lot that expires first is spent first.
	slices.SortStableFunc(keep, func(a, b *TokenBatch) int { return a.expires.at.Load().Compare(*b.expires.at.Load()) })
	p.pulled.Store(&keep)
	return l
}

// UnspentPulled returns the unspent tokens of siblings' shares that have not expired.
func (p *TokenPool) UnspentPulled(now time.Time) int64 {
	var n int64
	if lots := p.pulled.Load(); lots != nil {
		for _, l := range *lots {
			if !l.expires.expired(now) {
				n += l.tokens.Load()
			}
		}
	}
	return n
}

// Spent returns how many tokens were spent since the start.
func (p *TokenPool) Spent() int64 { return p.spent.Load() }

// Refused returns how many requests found no token since the start.
func (p *TokenPool) Refused() int64 { return p.refused.Load() }
