package caller

import (
	"sync/atomic"
	"time"
)

// TokenPool holds the tokens that one organisation may spend at this instance. Control deposits and withdraws;
// traffic spends. Tokens expire: a process that slept must not spend what it held before.
type TokenPool struct {
	tokens  atomic.Int64
	expires atomic.Int64 // Unix nanoseconds
	spent   atomic.Int64
	refused atomic.Int64
}

// Take spends one token and reports whether there was one. now must have been read right before the call.
func (p *TokenPool) Take(now time.Time) bool {
	for {
		n := p.tokens.Load()
		if n < 1 || now.UnixNano() >= p.expires.Load() {
			p.refused.Add(1)
			return false
		}
		if p.tokens.CompareAndSwap(n, n-1) {
			p.spent.Add(1)
			return true
		}
	}
}

// Deposit adds tokens that all expire at the given time. Only control calls it.
func (p *TokenPool) Deposit(tokens int64, expires time.Time) {
	p.expires.Store(expires.UnixNano())
	p.tokens.Add(tokens)
}

// Withdraw takes back all unspent tokens. Only control calls it.
func (p *TokenPool) Withdraw() int64 { return p.tokens.Swap(0) }

// Unspent returns how many tokens are left.
func (p *TokenPool) Unspent() int64 { return p.tokens.Load() }

// Spent returns how many tokens were spent since the start.
func (p *TokenPool) Spent() int64 { return p.spent.Load() }

// Refused returns how many requests found no token since the start.
func (p *TokenPool) Refused() int64 { return p.refused.Load() }
