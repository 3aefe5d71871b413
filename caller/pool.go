package caller

import (
	"slices"
	"sync/atomic"
	"time"
)

// Expiry is the time at which tokens expire. Control may extend it while the instance holds its lease; several
// batches may share one Expiry. The time includes the monotonic clock reading, so a step of the wall clock has no
// effect. It is safe for concurrent use.
type Expiry struct{ at atomic.Pointer[time.Time] }

// NewExpiry returns an expiry at t.
func NewExpiry(t time.Time) *Expiry {
	e := &Expiry{}
	e.Set(t)
	return e
}

// Set moves the expiry to t.
func (e *Expiry) Set(t time.Time) { e.at.Store(&t) }

// At returns the time of expiry.
func (e *Expiry) At() time.Time { return *e.at.Load() }

func (e *Expiry) expired(now time.Time) bool { return !now.Before(*e.at.Load()) }

// TokenBatch is a number of tokens with a common expiry. A batch keeps its Expiry for its lifetime, so a goroutine that
// was paused after taking a token checks the expiry of that token and not that of a later deposit.
type TokenBatch struct {
	tokens          atomic.Int64
	takesInProgress atomic.Int64 // calls of take that may have taken a token but have not yet checked its expiry
	expires         *Expiry
}

// TokenPool holds the tokens that one organisation may spend at this instance, one for each request. The control
// goroutine deposits and withdraws tokens; request goroutines spend them. Own tokens belong to this instance's share of
// the organisation's rate; pulled tokens were obtained from the share of a sibling.
type TokenPool struct {
	own     atomic.Pointer[TokenBatch]
	pulled  atomic.Pointer[[]*TokenBatch] // replaced as a whole, never modified in place; ordered by expiry
	spent   atomic.Int64
	refused atomic.Int64
	waiting atomic.Int64
}

// Take spends one token and reports whether one was available. It reads the clock again after taking the token, so
// that a process paused in between does not spend an expired token; such a token is lost. The request counts as
// admitted at the time of that reading.
func (p *TokenPool) Take(clock func() time.Time) bool {
	if p.RetryTake(clock) {
		return true
	}
	p.refused.Add(1)
	return false
}

// RetryTake is like Take for a request whose first Take failed: the request is already counted as demand.
//
// It spends from the larger of the own and the pulled stock, because a full stock accrues no tokens: unused own tokens
// stop the accrual of this instance's share, and unused pulled tokens that of the siblings that granted them, which
// count them until they are spent.
func (p *TokenPool) RetryTake(clock func() time.Time) bool {
	own := p.own.Load()
	var pulled []*TokenBatch
	if batches := p.pulled.Load(); batches != nil {
		pulled = *batches
	}
	ownFirst := own != nil && own.tokens.Load() > sumTokens(pulled)
	if ownFirst && p.spend(own, clock) {
		return true
	}
	for _, b := range pulled {
		if p.spend(b, clock) {
			return true
		}
	}
	return !ownFirst && own != nil && p.spend(own, clock)
}

func sumTokens(batches []*TokenBatch) (n int64) {
	for _, b := range batches {
		n += b.tokens.Load()
	}
	return n
}

func (p *TokenPool) spend(b *TokenBatch, clock func() time.Time) bool {
	if !b.take(clock) {
		return false
	}
	p.spent.Add(1)
	return true
}

// maxWaitingForToken is the maximum number of requests of an organisation that wait for a token, so that an
// organisation far above its rate does not fill the instance with waiting requests.
const maxWaitingForToken = 16

// BeginWait counts a request as waiting for a token. It reports false if too many requests wait already; otherwise
// EndWait must be called.
func (p *TokenPool) BeginWait() bool {
	if p.waiting.Add(1) > maxWaitingForToken {
		p.waiting.Add(-1)
		return false
	}
	return true
}

// EndWait ends a wait that BeginWait began.
func (p *TokenPool) EndWait() { p.waiting.Add(-1) }

func (b *TokenBatch) take(clock func() time.Time) bool {
	b.takesInProgress.Add(1)
	defer b.takesInProgress.Add(-1)
	for {
		n := b.tokens.Load()
		if n < 1 || b.expires.expired(clock()) {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-1) {
			return !b.expires.expired(clock())
		}
	}
}

// Unspent returns the number of tokens that remain or are being taken.
func (b *TokenBatch) Unspent() int64 {
	// The order of the loads matters: a token that was removed from the first counter is included in the second until
	// its expiry is checked.
	n := b.tokens.Load()
	return n + b.takesInProgress.Load()
}

// Withdraw removes all remaining tokens and returns their number.
func (b *TokenBatch) Withdraw() int64 { return b.tokens.Swap(0) }

// Deposit adds own tokens. Only the control goroutine calls it. It must call Withdraw before a deposit with another
// Expiry, since the remaining tokens would be dropped.
func (p *TokenPool) Deposit(tokens int64, expires *Expiry) {
	if b := p.own.Load(); b != nil && b.expires == expires {
		b.tokens.Add(tokens)
		return
	}
	b := &TokenBatch{expires: expires}
	b.tokens.Store(tokens)
	p.own.Store(b)
}

// Withdraw removes all remaining own tokens and returns their number. Only the control goroutine calls it.
func (p *TokenPool) Withdraw() int64 {
	if b := p.own.Load(); b != nil {
		return b.Withdraw()
	}
	return 0
}

// Unspent returns the number of own tokens that remain or are being taken.
func (p *TokenPool) Unspent() int64 {
	if b := p.own.Load(); b != nil {
		return b.Unspent()
	}
	return 0
}

// DepositPulled adds a batch of tokens that were pulled from a sibling and removes the pulled batches that are expired
// or spent. Only the control goroutine calls it.
func (p *TokenPool) DepositPulled(tokens int64, expires, now time.Time) *TokenBatch {
	b := &TokenBatch{expires: NewExpiry(expires)}
	b.tokens.Store(tokens)
	kept := []*TokenBatch{b}
	if batches := p.pulled.Load(); batches != nil {
		for _, old := range *batches {
			if old.tokens.Load() > 0 && !old.expires.expired(now) {
				kept = append(kept, old)
			}
		}
	}
	// The batch that expires first is spent first.
	slices.SortStableFunc(kept, func(x, y *TokenBatch) int { return x.expires.at.Load().Compare(*y.expires.at.Load()) })
	p.pulled.Store(&kept)
	return b
}

// UnspentPulled returns the number of pulled tokens that are neither spent nor expired.
func (p *TokenPool) UnspentPulled(now time.Time) int64 {
	var n int64
	if batches := p.pulled.Load(); batches != nil {
		for _, b := range *batches {
			if !b.expires.expired(now) {
				n += b.tokens.Load()
			}
		}
	}
	return n
}

// Spent returns the number of tokens spent since the pool was created.
func (p *TokenPool) Spent() int64 { return p.spent.Load() }

// Refused returns the number of requests whose Take found no token since the pool was created.
func (p *TokenPool) Refused() int64 { return p.refused.Load() }
